import unittest

import msgspec

from bendwind_core.consensus.replica import FIRST_TIMEOUT_SHARE, Role
from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster

# Election timeouts are long compared with the time that messages and writes take in this test,
# as they are between real instances.
SLOW_SETTINGS = msgspec.structs.replace(SETTINGS, election_s=2.0)


class FirstElectionTest(unittest.TestCase):
    def form_cluster(self, seed, settings=SETTINGS):
        cluster = FakeCluster(3, seed, settings)
        cluster.settle()
        return cluster

    def test_replicas_that_restart_wait_less_than_an_election_timeout(self):
        cluster = self.form_cluster(1)
        for member in cluster.members.values():
            member.crash()
            member.start()
            waits = member.replica.deadline - member.now()
            self.assertLessEqual(waits, 2 * SETTINGS.election_s * FIRST_TIMEOUT_SHARE)

    def test_replica_whose_first_pre_vote_was_too_early_soon_retries(self):
        # Guards against a replica that waits a whole election timeout before it retries, although
        # the others only took longer to start.
        for seed in range(6):
            cluster = self.form_cluster(seed, SLOW_SETTINGS)
            behind, *current = sorted(
                cluster.members.values(), key=lambda member: member.replica.is_leader
            )
            behind.crash()
            for _ in range(5):
                cluster.propose(current[-1].name)
                cluster.run(20)
            for member in current:
                member.crash()
            # Only the replica with all entries can be elected. It alone requests votes, before the
            # other one has started.
            first = current[-1]
            first.start()
            while first.replica.role is not Role.PRE_CANDIDATE:
                cluster.run(1)
            behind.start()
            started_at = first.now()
            while not first.replica.is_leader and first.now() < started_at + 9.0:
                cluster.run(1)
            self.assertLess(first.now() - started_at, SLOW_SETTINGS.election_s, seed)

    def test_restarted_replica_does_not_displace_a_running_leader(self):
        for seed in range(6):
            cluster = self.form_cluster(seed)
            leader = cluster.list_leaders()[-1]
            other = next(m for m in cluster.members.values() if m is not leader)
            term = leader.replica.hard_state.term
            other.crash()
            other.start()
            cluster.run(60)
            self.assertEqual(cluster.list_leaders()[-1].replica.hard_state.term, term, seed)


if __name__ == "__main__":
    unittest.main()
