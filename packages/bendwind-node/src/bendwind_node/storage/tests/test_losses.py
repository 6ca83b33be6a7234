import unittest

import msgspec

from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster

OPEN_TO_FIVE = msgspec.structs.replace(SETTINGS, open_to=5)


def form_cluster(seed):
    cluster = FakeCluster(5, seed, OPEN_TO_FIVE)
    cluster.settle()
    cluster.settings = msgspec.structs.replace(OPEN_TO_FIVE, may_form=False)
    for member in cluster.members.values():
        member.disk_speed = 1.0
    return cluster


class LossesTest(unittest.TestCase):
    """Create losses that random steps rarely produce; the oracle checks the results."""

    def test_learner_does_not_count_towards_the_commit_quorum(self):
        for seed in range(8):
            cluster = form_cluster(seed)
            cluster.add_member("x")
            cluster.run(100)
            leader = cluster.list_leaders()[-1]
            self.assertEqual([v.name for v in leader.replica.voters.learners], ["x"])
            voters = [name for name in cluster.names if name not in (leader.name, "x")]
            acknowledged = dict(cluster.oracle.acknowledged)
            cluster.partition = set(voters[1:])
            for _ in range(4):
                cluster.propose(leader.name)
                cluster.run(1)
            self.assertEqual(cluster.oracle.acknowledged, acknowledged)
            self.assertGreater(cluster.members["x"].replica.log.last_index, max(acknowledged))

    def test_voter_that_lost_its_disk_does_not_vote_for_an_outdated_log(self):
        # Two of the three disks that hold an entry are lost. The member with the third disk leads
        # for a short time, reaches the members with empty disks, and is then isolated. The two
        # members that lack the entry are not a majority and must not elect a leader.
        for seed in range(8):
            cluster = form_cluster(seed)
            leader = cluster.list_leaders()[-1].name
            others = [name for name in cluster.names if name != leader]
            behind, emptied = others[:2], others[2:]
            cluster.partition = set(behind)
            for _ in range(6):
                cluster.propose(leader)
                cluster.run(3)
            acknowledged = dict(cluster.oracle.acknowledged)
            self.assertGreater(max(acknowledged), cluster.members[behind[0]].replica.log.last_index)
            cluster.partition.clear()
            for name in (leader, *behind):
                cluster.members[name].lose_power()
                cluster.members[name].start()
            for name in emptied:
                cluster.replace_disk(name)
            self.assertEqual(cluster.run_until_new_leader(), leader)
            cluster.blocked_links = {(name, leader) for name in others}
            cluster.run(4)
            cluster.partition = {leader}
            cluster.run(300)
            newest = max(cluster.oracle.leaders)
            self.assertEqual(cluster.oracle.leaders[newest].name, leader)
            cluster.settle()

    def test_losing_two_disks_while_a_stopped_voter_is_replaced_loses_no_data(self):
        # Guards against a replacement in two changes. Between the removal of the silent voter and
        # the addition of its successor, there are four voters, and a quorum needs three. If two
        # disks and all power are lost at that moment, two voters are left. The voter that was only
        # down has the log and restarts, but it is no longer a voter. Then no leader can be elected,
        # and all acknowledged commands are unavailable.
        for seed in range(4):
            cluster = form_cluster(seed)
            cluster.run_with_requests(5)
            down = next(n for n in cluster.names if not cluster.members[n].replica.is_leader)
            cluster.members[down].crash()
            cluster.add_member("x")
            leader = self.run_until_voter_removed(cluster, down)
            others = [name for name in cluster.names if name not in (leader, down, "x")]
            left = (leader, others[2], "x")
            cluster.listed_names = left
            for name in others[:2]:
                cluster.replace_disk(name)
            for name in left:
                cluster.members[name].lose_power()
                cluster.members[name].start()
            cluster.members[down].start()
            cluster.run(1000)
            self.assertTrue(cluster.list_leaders(), cluster.describe())

    def run_until_voter_removed(self, cluster, name):
        """Run until the removal of a voter is committed, and return the name of the leader."""
        for _ in range(600):
            cluster.run(1)
            leaders = cluster.list_leaders()
            voters = leaders[-1].replica.committed_voters.voters if leaders else ()
            if len(voters) == 4 and name not in [voter.name for voter in voters]:
                return leaders[-1].name
        self.fail(cluster.describe())


if __name__ == "__main__":
    unittest.main()
