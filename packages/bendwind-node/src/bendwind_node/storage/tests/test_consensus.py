import unittest

from bendwind_core.consensus import TransferLeadership
from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster


def form(seed: int, size: int = 3) -> FakeCluster:
    cluster = FakeCluster(size, seed)
    cluster.settle()
    for member in cluster.members.values():
        member.disk_speed = 1.0
    return cluster


class ConsensusTest(unittest.TestCase):
    """Lead the cluster into faults that random rules seldom meet; the oracle judges."""

    def test_entries_of_an_older_term_are_not_committed_by_count(self):
        # Ongaro 2014, figure 3.7: an entry on a quorum may still be overwritten by a later term.
        for seed in range(8):
            for ticks in (4, 6, 8):
                cluster = form(seed)
                leader = cluster.leaders()[-1].name
                for wait, count in ((0, 8), (0, 0), (ticks, 0), (8, 0)):
                    cluster.run(wait)
                    cluster.cut = {leader}
                    for _ in range(count):
                        cluster.propose(leader)
                    cluster.run(2)
                    leader = cluster.run_to_new_leader()
                    self.assertIsNotNone(leader)
                cluster.settle()

    def test_a_leader_that_was_replaced_confirms_no_barrier(self):
        for seed in range(8):
            cluster = form(seed)
            old = cluster.leaders()[-1]
            for member in cluster.members.values():
                member.change_skew(0.1 if member is old else 1.0)
            cluster.cut = {old.name}
            new = cluster.run_to_new_leader()
            for _ in range(20):
                self.assertTrue(old.replica.is_leader)
                cluster.propose(new)
                cluster.barrier(old.name)
                cluster.run(1)
            cluster.settle()

    def test_a_member_is_caught_up_by_snapshot_after_hundreds_of_changes(self):
        cluster = form(1)
        cluster.cut = {"b"}
        cluster.run(40)
        cluster.run_busy(300)
        behind = cluster.members["b"].applied
        cluster.settle()
        self.assertGreater(cluster.members["b"].applied, behind + 200)

    def test_a_learner_whose_entry_was_overwritten_is_admitted_again(self):
        cluster = form(3, size=5)
        leader = cluster.leaders()[-1]
        name = next(name for name in cluster.names if name != leader.name)
        cluster.replace_disk(name)
        while not leader.replica.voters.learners:
            cluster.run(1)
        cluster.cut = {leader.name, name}
        cluster.run(40)
        learner = cluster.members[name].replica
        self.assertIn(learner.voter, learner.voters.learners)
        cluster.cut = {leader.name}
        cluster.run_busy(60)
        cluster.settle()

    def test_a_leader_that_stops_as_planned_is_followed_within_an_election_timeout(self):
        for seed in range(8):
            cluster = form(seed)
            old = cluster.leaders()[-1]
            cluster.run(10)
            old.handle(TransferLeadership())
            started = cluster.time
            self.assertNotEqual(cluster.run_to_new_leader(), old.name)
            self.assertLess(cluster.time - started, SETTINGS.election_s)
            cluster.settle()

    def test_a_lone_voter_of_an_emptied_pair_forms_no_second_cluster(self):
        cluster = form(2)
        formed = cluster.members["c"].replica.hard_state.cluster
        cluster.cut = {"c"}
        for name in ("a", "b"):
            cluster.replace_disk(name)
        cluster.run(200)
        for name in ("a", "b"):
            self.assertEqual(cluster.members[name].replica.role, "unformed")
        self.assertEqual(cluster.members["c"].replica.hard_state.cluster, formed)


if __name__ == "__main__":
    unittest.main()
