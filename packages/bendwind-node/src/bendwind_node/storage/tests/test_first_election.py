import unittest

from bendwind_core.consensus.replica import FIRST_TIMEOUT_SHARE
from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster


class FirstElectionTest(unittest.TestCase):
    def form(self, seed):
        cluster = FakeCluster(3, seed)
        cluster.settle()
        return cluster

    def test_replicas_that_restart_wait_less_than_an_election_timeout(self):
        cluster = self.form(1)
        for member in cluster.members.values():
            member.crash()
            member.start()
            waits = member.replica.deadline - member.now()
            self.assertLessEqual(waits, 2 * SETTINGS.election_s * FIRST_TIMEOUT_SHARE)

    def test_replica_that_restarts_takes_no_leadership_from_a_living_leader(self):
        for seed in range(6):
            cluster = self.form(seed)
            leader = cluster.leaders()[-1]
            other = next(m for m in cluster.members.values() if m is not leader)
            term = leader.replica.hard.term
            other.crash()
            other.start()
            cluster.run(60)
            self.assertEqual(cluster.leaders()[-1].replica.hard.term, term, seed)


if __name__ == "__main__":
    unittest.main()
