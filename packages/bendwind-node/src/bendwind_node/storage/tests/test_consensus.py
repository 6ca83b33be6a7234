import unittest

from bendwind_core.consensus import TransferLeadership
from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster


def form_cluster(seed: int, size: int = 3) -> FakeCluster:
    cluster = FakeCluster(size, seed)
    cluster.settle()
    for member in cluster.members.values():
        member.disk_speed = 1.0
    return cluster


class ConsensusTest(unittest.TestCase):
    """Create faults that random rules rarely produce; the oracle checks the results."""

    def test_entries_of_an_older_term_are_not_committed_by_counting_replicas(self):
        # Ongaro 2014, figure 3.7: a later term may still overwrite an entry that is on a quorum.
        for seed in range(8):
            for ticks in (4, 6, 8):
                cluster = form_cluster(seed)
                leader = cluster.list_leaders()[-1].name
                for wait, count in ((0, 8), (0, 0), (ticks, 0), (8, 0)):
                    cluster.run(wait)
                    cluster.partition = {leader}
                    for _ in range(count):
                        cluster.propose(leader)
                    cluster.run(2)
                    leader = cluster.run_until_new_leader()
                    self.assertIsNotNone(leader)
                cluster.settle()

    def test_replaced_leader_does_not_confirm_barriers(self):
        for seed in range(8):
            cluster = form_cluster(seed)
            old = cluster.list_leaders()[-1]
            for member in cluster.members.values():
                member.change_clock_rate(0.1 if member is old else 1.0)
            cluster.partition = {old.name}
            new = cluster.run_until_new_leader()
            for _ in range(20):
                self.assertTrue(old.replica.is_leader)
                cluster.propose(new)
                cluster.request_barrier(old.name)
                cluster.run(1)
            cluster.settle()

    def test_lagging_member_catches_up_by_snapshot_after_hundreds_of_changes(self):
        cluster = form_cluster(1)
        cluster.partition = {"b"}
        cluster.run(40)
        cluster.run_with_requests(300)
        behind = cluster.members["b"].applied
        cluster.settle()
        self.assertGreater(cluster.members["b"].applied, behind + 200)

    def test_learner_is_admitted_again_after_its_entry_was_overwritten(self):
        cluster = form_cluster(3, size=5)
        leader = cluster.list_leaders()[-1]
        name = next(name for name in cluster.names if name != leader.name)
        cluster.replace_disk(name)
        while not leader.replica.voters.learners:
            cluster.run(1)
        cluster.partition = {leader.name, name}
        cluster.run(40)
        learner = cluster.members[name].replica
        self.assertIn(learner.voter, learner.voters.learners)
        cluster.partition = {leader.name}
        cluster.run_with_requests(60)
        cluster.settle()

    def test_leadership_transfer_elects_a_successor_within_an_election_timeout(self):
        for seed in range(8):
            cluster = form_cluster(seed)
            old = cluster.list_leaders()[-1]
            cluster.run(10)
            old.handle(TransferLeadership())
            started = cluster.time
            self.assertNotEqual(cluster.run_until_new_leader(), old.name)
            self.assertLess(cluster.time - started, SETTINGS.election_s)
            cluster.settle()

    def test_two_voters_with_empty_disks_form_no_second_cluster(self):
        cluster = form_cluster(2)
        formed = cluster.members["c"].replica.hard_state.cluster
        cluster.partition = {"c"}
        for name in ("a", "b"):
            cluster.replace_disk(name)
        cluster.run(200)
        for name in ("a", "b"):
            self.assertEqual(cluster.members[name].replica.role, "unformed")
        self.assertEqual(cluster.members["c"].replica.hard_state.cluster, formed)


if __name__ == "__main__":
    unittest.main()
