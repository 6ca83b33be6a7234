import unittest

import msgspec

from bendwind_core.consensus.replica import FIRST_TIMEOUT_SHARE, Role
from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster

# Timeouts that are long against the time messages and writes take here, as between instances.
SLOW_SETTINGS = msgspec.structs.replace(SETTINGS, election_s=2.0)


class FirstElectionTest(unittest.TestCase):
    def form(self, seed, settings=SETTINGS):
        cluster = FakeCluster(3, seed, settings)
        cluster.settle()
        return cluster

    def test_replicas_that_restart_wait_less_than_an_election_timeout(self):
        cluster = self.form(1)
        for member in cluster.members.values():
            member.crash()
            member.start()
            waits = member.replica.deadline - member.now()
            self.assertLessEqual(waits, 2 * SETTINGS.election_s * FIRST_TIMEOUT_SHARE)

    def test_replica_whose_first_trial_came_too_early_soon_tries_again(self):
        # It waited a whole election timeout, though the others had only taken longer to start.
        for seed in range(6):
            cluster = self.form(seed, SLOW_SETTINGS)
            behind, *current = sorted(
                cluster.members.values(), key=lambda member: member.replica.is_leader
            )
            behind.crash()
            for _ in range(5):
                cluster.propose(current[-1].name)
                cluster.run(20)
            for member in current:
                member.crash()
            # Only the one that holds all may lead, and it alone asked before the other started.
            first = current[-1]
            first.start()
            while first.replica.role is not Role.PRE_CANDIDATE:
                cluster.run(1)
            behind.start()
            started_at = first.now()
            while not first.replica.is_leader and first.now() < started_at + 9.0:
                cluster.run(1)
            self.assertLess(first.now() - started_at, SLOW_SETTINGS.election_s, seed)

    def test_replica_that_restarts_takes_no_leadership_from_a_living_leader(self):
        for seed in range(6):
            cluster = self.form(seed)
            leader = cluster.leaders()[-1]
            other = next(m for m in cluster.members.values() if m is not leader)
            term = leader.replica.hard_state.term
            other.crash()
            other.start()
            cluster.run(60)
            self.assertEqual(cluster.leaders()[-1].replica.hard_state.term, term, seed)


if __name__ == "__main__":
    unittest.main()
