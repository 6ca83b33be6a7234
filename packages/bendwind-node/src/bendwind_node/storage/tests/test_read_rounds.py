"""Test which members a leader contacts before it answers a read."""

import unittest

import msgspec

from bendwind_core.consensus import Append, BarrierRequested
from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster

LEARNERS = ("x", "y", "z")


class ReadRoundTest(unittest.TestCase):
    def form_with_learners(self):
        cluster = FakeCluster(3, 1, msgspec.structs.replace(SETTINGS, open_to=3))
        cluster.settle()
        for name in LEARNERS:
            cluster.add_member(name)
        cluster.run(200)
        learners = [voter.name for voter in cluster.oracle.voters[1].learners]
        self.assertEqual(sorted(learners), sorted(LEARNERS))
        return cluster

    def test_read_round_omits_learners_since_their_replies_confirm_nothing(self):
        cluster = self.form_with_learners()
        leader = cluster.list_leaders()[-1]
        cluster.network.clear()
        cluster.request_barrier(leader.name)
        receivers = [to for _, to, message in cluster.network if isinstance(message, Append)]
        self.assertEqual(sorted(receivers), sorted(set("abc") - {leader.name}))

    def test_reads_do_not_delay_heartbeats_to_learners(self):
        cluster = self.form_with_learners()
        leader = cluster.list_leaders()[-1]
        due = leader.replica.heartbeat_at
        cluster.request_barrier(leader.name)
        leader.handle(BarrierRequested(10**6))
        self.assertEqual(leader.replica.heartbeat_at, due)
