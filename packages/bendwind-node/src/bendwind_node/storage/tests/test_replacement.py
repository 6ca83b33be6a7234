import unittest

import msgspec

from bendwind_core.consensus import Append, Committed, Refused, SnapshotChunk
from bendwind_node.storage.tests.fake_cluster import SETTINGS, form_cluster

SEEDS = range(4)


def remove_joint_sets(message):
    """Return a message as it is decoded by a process without support for joint sets."""
    match message:
        case Append(entries=entries):
            read = [
                msgspec.structs.replace(e, voters=keep_staying_voters(e.voters)) for e in entries
            ]
            return msgspec.structs.replace(message, entries=tuple(read))
        case SnapshotChunk(voters=voters):
            return msgspec.structs.replace(message, voters=keep_staying_voters(voters))
    return message


def keep_staying_voters(voters):
    return voters and msgspec.structs.replace(voters, leaving=(), joining=())


class ReplacementTest(unittest.TestCase):
    """Replace a voter while faults occur; the oracle checks the results."""

    def run_until(self, cluster, condition, ticks=600):
        for _ in range(ticks):
            if condition():
                return
            cluster.run(1)
        self.fail(cluster.describe())

    def run_until_voters_are(self, cluster, names):
        self.run_until(cluster, lambda: cluster.voter_names() == names)

    def join_as_learner(self, cluster, name):
        cluster.add_member(name)
        self.run_until(cluster, lambda: cluster.oracle.voters[1].learners)

    def run_until_joint_committed(self, cluster, down):
        """Stop a voter, add a successor, and run until the joint set is committed."""
        cluster.run_with_requests(5)
        cluster.members[down].crash()
        cluster.add_member("x")
        self.run_until(cluster, lambda: self.find_joint_leader(cluster))
        return self.find_joint_leader(cluster)

    def find_joint_leader(self, cluster):
        found = [m for m in cluster.list_leaders() if m.replica.committed_voters.is_joint]
        return found[-1] if found else None

    def find_follower(self, cluster):
        return next(name for name in cluster.names if not cluster.members[name].replica.is_leader)

    def test_lost_successor_is_abandoned_when_the_voter_restarts(self):
        # Otherwise a joint set that waits for a lost disk would block every later change.
        for seed in SEEDS:
            cluster = form_cluster(seed)
            down = self.find_follower(cluster)
            self.run_until_joint_committed(cluster, down)
            cluster.remove_member("x")
            cluster.members[down].start()
            self.run_until_voters_are(cluster, set("abcde"))
            self.assertFalse(cluster.oracle.voters[1].is_joint)
            cluster.add_member("y")
            cluster.remove_member(down)
            self.run_until_voters_are(cluster, set(cluster.names))
            cluster.settle()

    def test_loss_of_successor_and_voter_does_not_block_later_replacements(self):
        for seed in SEEDS:
            cluster = form_cluster(seed)
            down = self.find_follower(cluster)
            self.run_until_joint_committed(cluster, down)
            cluster.remove_member("x")
            cluster.remove_member(down)
            cluster.add_member("y")
            self.run_until_voters_are(cluster, set(cluster.names))
            cluster.settle()

    def test_new_leader_completes_the_change_of_a_lost_leader(self):
        for seed in SEEDS:
            cluster = form_cluster(seed)
            down = self.find_follower(cluster)
            leader = self.run_until_joint_committed(cluster, down)
            cluster.remove_member(leader.name)
            wanted = set(cluster.names) - {down}
            self.run_until(
                cluster,
                lambda c=cluster, w=wanted: not c.oracle.voters[1].is_joint and w < c.voter_names(),
            )
            cluster.members[down].start()
            cluster.settle()

    def test_uncommitted_joint_set_is_reverted_with_its_entry(self):
        # A voter set is in force exactly as long as its entry is in the log.
        for seed in SEEDS:
            cluster = form_cluster(seed)
            down = self.find_follower(cluster)
            cluster.members[down].crash()
            cluster.add_member("x")
            self.run_until(
                cluster, lambda c=cluster: any(m.replica.voters.learners for m in c.list_leaders())
            )
            leader = cluster.list_leaders()[-1]
            self.run_until(cluster, lambda m=leader, c=cluster: self.isolate_if_joint(c, m.name))
            others = [name for name in cluster.names if name not in (leader.name, down)]
            cluster.members[down].start()
            self.assertIn(cluster.run_until_new_leader(), [*others, down])
            cluster.partition.clear()
            self.run_until(cluster, lambda m=leader: not m.replica.is_leader)
            cluster.run(20)
            cluster.settle()

    def isolate_if_joint(self, cluster, name):
        """Isolate a member as soon as the log of a leader, and no other log, has a joint set."""
        is_joint = any(member.replica.voters.is_joint for member in cluster.list_leaders())
        if is_joint:
            cluster.network.clear()
            cluster.partition = {name}
        return is_joint

    def test_change_continues_after_snapshot_and_restart(self):
        for seed in SEEDS:
            cluster = form_cluster(seed)
            down = self.find_follower(cluster)
            cluster.members[down].crash()
            cluster.add_member("x")
            self.run_until(cluster, lambda c=cluster: self.isolate_if_joint(c, "x"))
            self.run_until(cluster, lambda c=cluster: self.find_joint_leader(c))
            leader = self.find_joint_leader(cluster)
            for _ in range(12):
                cluster.propose(leader.name)
                cluster.run(1)
            self.assertTrue(leader.replica.log.snapshot.voters.is_joint, cluster.describe())
            for member in cluster.members.values():
                member.lose_power()
                member.start()
            sets = [member.replica.voters for member in cluster.members.values()]
            self.assertTrue(any(voters.is_joint for voters in sets))
            cluster.partition.clear()
            self.run_until(cluster, lambda c=cluster: not c.oracle.voters[1].is_joint)
            cluster.settle()

    def test_voter_removed_by_an_operator_is_replaced_by_a_learner_in_one_change(self):
        # If the voter were removed first, three of the four voters left would have to be alive.
        for seed in SEEDS:
            cluster = form_cluster(seed)
            self.join_as_learner(cluster, "x")
            leader = cluster.list_leaders()[-1]
            cluster.run(20)
            removed = leader.name if seed % 2 else self.find_follower(cluster)
            request = cluster.remove_voter(leader.name, removed)
            self.assertIsNone(leader.removal_outcomes[request])
            sizes = set()
            for _ in range(100):
                cluster.run(1)
                sizes |= {len(group) for group in cluster.oracle.voters[1].list_quorum_groups()}
            self.assertEqual(sizes, {5})
            self.assertIsInstance(leader.removal_outcomes[request], Committed)
            self.assertEqual(cluster.voter_names(), set("abcdex") - {removed})

    def test_removed_leader_leads_exactly_until_the_set_without_it_is_committed(self):
        for seed in SEEDS:
            cluster = form_cluster(seed)
            self.join_as_learner(cluster, "x")
            leader = cluster.list_leaders()[-1]
            cluster.run(20)
            former = leader.replica.voter
            cluster.remove_voter(leader.name, leader.name)
            while former.voter_id not in leader.replica.committed_voters.removed:
                self.assertTrue(leader.replica.is_leader)
                cluster.run(1)
            self.assertFalse(leader.replica.is_leader)
            self.assertIsNotNone(cluster.run_until_new_leader())

    def test_removal_is_refused_and_the_voter_stays_if_the_learner_becomes_silent(self):
        for seed in SEEDS:
            cluster = form_cluster(seed)
            self.join_as_learner(cluster, "x")
            leader = cluster.list_leaders()[-1]
            cluster.run(20)
            cluster.remove_member("x")
            request = cluster.remove_voter(leader.name, self.find_follower(cluster))
            self.run_until(cluster, lambda m=leader, r=request: m.removal_outcomes[r])
            self.assertIsInstance(leader.removal_outcomes[request], Refused)
            self.run_until(cluster, lambda c=cluster: not c.oracle.voters[1].is_joint)
            self.assertEqual(cluster.voter_names(), set("abcde"))

    def test_voters_without_support_for_joint_sets_work_with_others(self):
        # Such voters treat the staying voters as the complete set. Each majority of these is also a
        # majority of both quorum groups.
        for seed in range(12):
            cluster = form_cluster(seed)
            for name in cluster.rng.sample("abcdex", 3):
                cluster.decoders[name] = remove_joint_sets
            down = self.find_follower(cluster)
            cluster.run_with_requests(5)
            cluster.members[down].crash()
            cluster.add_member("x")
            for _ in range(8):
                cluster.run_with_requests(20)
                for leader in cluster.list_leaders()[seed % 2 :]:
                    leader.crash()
                    leader.start()
            cluster.remove_member(down)
            cluster.settle()

    def test_cluster_of_three_listed_names_tolerates_a_loss_while_a_disk_is_replaced(self):
        for seed in SEEDS:
            cluster = form_cluster(seed, size=3, settings=SETTINGS)
            emptied = self.find_follower(cluster)
            cluster.replace_disk(emptied)
            self.run_until(cluster, lambda c=cluster: self.find_joint_leader(c))
            second = next(
                n for n in cluster.names if n not in (emptied, self.find_joint_leader(cluster).name)
            )
            cluster.members[second].crash()
            cluster.run(100)
            cluster.settle()


if __name__ == "__main__":
    unittest.main()
