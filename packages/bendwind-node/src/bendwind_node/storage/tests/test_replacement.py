import unittest

import msgspec

from bendwind_core.consensus import Append, Committed, Refused, SnapshotChunk
from bendwind_node.storage.tests.fake_cluster import SETTINGS, form

SEEDS = range(4)


def forget_joint_sets(message):
    """Return a message as a process reads it that knows no joint sets."""
    match message:
        case Append(entries=entries):
            read = [msgspec.structs.replace(e, voters=stay_only(e.voters)) for e in entries]
            return msgspec.structs.replace(message, entries=tuple(read))
        case SnapshotChunk(voters=voters):
            return msgspec.structs.replace(message, voters=stay_only(voters))
    return message


def stay_only(voters):
    return voters and msgspec.structs.replace(voters, leaving=(), joining=())


class ReplacementTest(unittest.TestCase):
    """Replace a voter while faults fall into the middle of it; the oracle judges."""

    def run_until(self, cluster, is_so, ticks=600):
        for _ in range(ticks):
            if is_so():
                return
            cluster.run(1)
        self.fail(cluster.describe())

    def run_to_voters(self, cluster, names):
        self.run_until(cluster, lambda: cluster.voter_names() == names)

    def join_as_learner(self, cluster, name):
        cluster.join(name)
        self.run_until(cluster, lambda: cluster.oracle.voters[1].learners)

    def run_to_joint(self, cluster, down):
        """End a voter, let a newcomer take its place, and stop once the joint set is committed."""
        cluster.run_busy(5)
        cluster.members[down].crash()
        cluster.join("x")
        self.run_until(cluster, lambda: self.joint_leader(cluster))
        return self.joint_leader(cluster)

    def joint_leader(self, cluster):
        found = [m for m in cluster.leaders() if m.replica.committed_voters.is_joint]
        return found[-1] if found else None

    def follower(self, cluster):
        return next(name for name in cluster.names if not cluster.members[name].replica.is_leader)

    def test_successor_that_loses_its_disk_is_given_up_when_the_voter_is_back(self):
        # Otherwise a set that waits for a disk which is gone would hold up each further change.
        for seed in SEEDS:
            cluster = form(seed)
            down = self.follower(cluster)
            self.run_to_joint(cluster, down)
            cluster.lose("x")
            cluster.members[down].start()
            self.run_to_voters(cluster, set("abcde"))
            self.assertFalse(cluster.oracle.voters[1].is_joint)
            cluster.join("y")
            cluster.lose(down)
            self.run_to_voters(cluster, set(cluster.names))
            cluster.settle()

    def test_successor_and_voter_both_gone_hold_up_no_further_replacement(self):
        for seed in SEEDS:
            cluster = form(seed)
            down = self.follower(cluster)
            self.run_to_joint(cluster, down)
            cluster.lose("x")
            cluster.lose(down)
            cluster.join("y")
            self.run_to_voters(cluster, set(cluster.names))
            cluster.settle()

    def test_leader_lost_in_the_middle_leaves_a_change_that_another_leader_ends(self):
        for seed in SEEDS:
            cluster = form(seed)
            down = self.follower(cluster)
            leader = self.run_to_joint(cluster, down)
            cluster.lose(leader.name)
            wanted = set(cluster.names) - {down}
            self.run_until(
                cluster,
                lambda c=cluster, w=wanted: not c.oracle.voters[1].is_joint and w < c.voter_names(),
            )
            cluster.members[down].start()
            cluster.settle()

    def test_joint_set_that_was_not_committed_is_undone_with_its_entry(self):
        # A set counts from the moment that it stands in a log, and no longer than it does.
        for seed in SEEDS:
            cluster = form(seed)
            down = self.follower(cluster)
            cluster.members[down].crash()
            cluster.join("x")
            self.run_until(
                cluster, lambda c=cluster: any(m.replica.voters.learners for m in c.leaders())
            )
            leader = cluster.leaders()[-1]
            self.run_until(cluster, lambda m=leader, c=cluster: self.cut_if_joint(c, m.name))
            others = [name for name in cluster.names if name not in (leader.name, down)]
            cluster.members[down].start()
            self.assertIn(cluster.run_to_new_leader(), [*others, down])
            cluster.cut.clear()
            self.run_until(cluster, lambda m=leader: not m.replica.is_leader)
            cluster.run(20)
            cluster.settle()

    def cut_if_joint(self, cluster, name):
        """Cut a member off as soon as a leader's log holds a joint set, before anyone else's."""
        is_joint = any(member.replica.voters.is_joint for member in cluster.leaders())
        if is_joint:
            cluster.network.clear()
            cluster.cut = {name}
        return is_joint

    def test_snapshot_and_restart_inside_the_change_go_on_with_it(self):
        for seed in SEEDS:
            cluster = form(seed)
            down = self.follower(cluster)
            cluster.members[down].crash()
            cluster.join("x")
            self.run_until(cluster, lambda c=cluster: self.cut_if_joint(c, "x"))
            self.run_until(cluster, lambda c=cluster: self.joint_leader(c))
            leader = self.joint_leader(cluster)
            for _ in range(12):
                cluster.propose(leader.name)
                cluster.run(1)
            self.assertTrue(leader.replica.log.snapshot.voters.is_joint, cluster.describe())
            for member in cluster.members.values():
                member.lose_power()
                member.start()
            sets = [member.replica.voters for member in cluster.members.values()]
            self.assertTrue(any(voters.is_joint for voters in sets))
            cluster.cut.clear()
            self.run_until(cluster, lambda c=cluster: not c.oracle.voters[1].is_joint)
            cluster.settle()

    def test_voter_removed_by_an_operator_makes_room_for_a_learner_in_one_change(self):
        # Taken out first, it left four voters of which three had to live.
        for seed in SEEDS:
            cluster = form(seed)
            self.join_as_learner(cluster, "x")
            leader = cluster.leaders()[-1]
            cluster.run(20)
            removed = leader.name if seed % 2 else self.follower(cluster)
            request = cluster.remove_voter(leader.name, removed)
            self.assertIsNone(leader.removals[request])
            sizes = set()
            for _ in range(100):
                cluster.run(1)
                sizes |= {len(half) for half in cluster.oracle.voters[1].list_quorum_groups()}
            self.assertEqual(sizes, {5})
            self.assertIsInstance(leader.removals[request], Committed)
            self.assertEqual(cluster.voter_names(), set("abcdex") - {removed})

    def test_removed_leader_leads_until_the_set_without_it_is_committed_and_no_longer(self):
        for seed in SEEDS:
            cluster = form(seed)
            self.join_as_learner(cluster, "x")
            leader = cluster.leaders()[-1]
            cluster.run(20)
            former = leader.replica.voter
            cluster.remove_voter(leader.name, leader.name)
            while former.voter_id not in leader.replica.committed_voters.removed:
                self.assertTrue(leader.replica.is_leader)
                cluster.run(1)
            self.assertFalse(leader.replica.is_leader)
            self.assertIsNotNone(cluster.run_to_new_leader())

    def test_removal_whose_learner_falls_silent_is_refused_and_the_voter_stays(self):
        for seed in SEEDS:
            cluster = form(seed)
            self.join_as_learner(cluster, "x")
            leader = cluster.leaders()[-1]
            cluster.run(20)
            cluster.lose("x")
            request = cluster.remove_voter(leader.name, self.follower(cluster))
            self.run_until(cluster, lambda m=leader, r=request: m.removals[r])
            self.assertIsInstance(leader.removals[request], Refused)
            self.run_until(cluster, lambda c=cluster: not c.oracle.voters[1].is_joint)
            self.assertEqual(cluster.voter_names(), set("abcde"))

    def test_voters_that_know_no_joint_sets_stand_beside_others(self):
        # They take those that stay for all voters: each majority of these is one of both halves.
        for seed in range(12):
            cluster = form(seed)
            for name in cluster.rng.sample("abcdex", 3):
                cluster.read_by[name] = forget_joint_sets
            down = self.follower(cluster)
            cluster.run_busy(5)
            cluster.members[down].crash()
            cluster.join("x")
            for _ in range(8):
                cluster.run_busy(20)
                for leader in cluster.leaders()[seed % 2 :]:
                    leader.crash()
                    leader.start()
            cluster.lose(down)
            cluster.settle()

    def test_cluster_of_three_listed_names_bears_a_loss_while_a_disk_is_replaced(self):
        for seed in SEEDS:
            cluster = form(seed, size=3, settings=SETTINGS)
            emptied = self.follower(cluster)
            cluster.replace_disk(emptied)
            self.run_until(cluster, lambda c=cluster: self.joint_leader(c))
            second = next(
                n for n in cluster.names if n not in (emptied, self.joint_leader(cluster).name)
            )
            cluster.members[second].crash()
            cluster.run(100)
            cluster.settle()


if __name__ == "__main__":
    unittest.main()
