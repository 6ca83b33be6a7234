import unittest

import msgspec

from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster

OPEN_TO_FIVE = msgspec.structs.replace(SETTINGS, open_to=5)


def form(seed):
    cluster = FakeCluster(5, seed, OPEN_TO_FIVE)
    cluster.settle()
    cluster.settings = msgspec.structs.replace(OPEN_TO_FIVE, may_form=False)
    for member in cluster.members.values():
        member.disk_speed = 1.0
    return cluster


class LossesTest(unittest.TestCase):
    """Lead the cluster into losses that random steps seldom meet; the oracle judges."""

    def test_learner_that_holds_an_entry_does_not_count(self):
        for seed in range(8):
            cluster = form(seed)
            cluster.join("x")
            cluster.run(100)
            leader = cluster.leaders()[-1]
            self.assertEqual([v.name for v in leader.replica.voters.learners], ["x"])
            voters = [name for name in cluster.names if name not in (leader.name, "x")]
            accepted = dict(cluster.oracle.accepted)
            cluster.cut = set(voters[1:])
            for _ in range(4):
                cluster.propose(leader.name)
                cluster.run(1)
            self.assertEqual(cluster.oracle.accepted, accepted)
            self.assertGreater(cluster.members["x"].replica.log.last_index, max(accepted))

    def test_voter_that_lost_its_disk_gives_no_vote_to_a_log_that_is_behind(self):
        # Two of three disks that hold an entry are lost. The one that is left leads for a moment,
        # is heard by the empty ones, and is cut off: the two that lack the entry are no majority.
        for seed in range(8):
            cluster = form(seed)
            leader = cluster.leaders()[-1].name
            others = [name for name in cluster.names if name != leader]
            behind, emptied = others[:2], others[2:]
            cluster.cut = set(behind)
            for _ in range(6):
                cluster.propose(leader)
                cluster.run(3)
            accepted = dict(cluster.oracle.accepted)
            self.assertGreater(max(accepted), cluster.members[behind[0]].replica.log.last_index)
            cluster.cut.clear()
            for name in (leader, *behind):
                cluster.members[name].lose_power()
                cluster.members[name].start()
            for name in emptied:
                cluster.replace_disk(name)
            self.assertEqual(cluster.run_to_new_leader(), leader)
            cluster.cut_one_way = {(name, leader) for name in others}
            cluster.run(4)
            cluster.cut = {leader}
            cluster.run(300)
            newest = max(cluster.oracle.leaders)
            self.assertEqual(cluster.oracle.leaders[newest].name, leader)
            cluster.settle()

    def test_two_disks_lost_while_a_voter_that_is_down_is_replaced_lose_nothing(self):
        # Between the change that takes a silent voter out and the one that adds its successor, four
        # voters need three. With two disks lost and all power gone at that moment two are left; the
        # voter that was only down holds the log and comes back, but it has been taken out. Nobody
        # is elected any more, and all that was accepted is out of reach.
        for seed in range(4):
            cluster = form(seed)
            cluster.run_busy(5)
            down = next(n for n in cluster.names if not cluster.members[n].replica.is_leader)
            cluster.members[down].crash()
            cluster.join("x")
            leader = self.run_to_change(cluster, down)
            others = [name for name in cluster.names if name not in (leader, down, "x")]
            left = (leader, others[2], "x")
            cluster.listed = left
            for name in others[:2]:
                cluster.replace_disk(name)
            for name in left:
                cluster.members[name].lose_power()
                cluster.members[name].start()
            cluster.members[down].start()
            cluster.run(1000)
            self.assertTrue(cluster.leaders(), cluster.describe())

    def run_to_change(self, cluster, name):
        """Run until a committed change has taken a voter out, and return the leader's name."""
        for _ in range(600):
            cluster.run(1)
            leaders = cluster.leaders()
            voters = leaders[-1].replica.committed_voters.voters if leaders else ()
            if len(voters) == 4 and name not in [voter.name for voter in voters]:
                return leaders[-1].name
        self.fail(cluster.describe())


if __name__ == "__main__":
    unittest.main()
