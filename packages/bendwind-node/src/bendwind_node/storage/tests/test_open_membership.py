import unittest

import msgspec

from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster

OPEN = msgspec.structs.replace(SETTINGS, open_to=3)
OPEN_TO_FIVE = msgspec.structs.replace(SETTINGS, open_to=5)


def form(seed, size=3, settings=OPEN):
    cluster = FakeCluster(size, seed, settings)
    cluster.settle()
    for member in cluster.members.values():
        member.disk_speed = 1.0
    return cluster


class OpenMembershipTest(unittest.TestCase):
    """Voters that no settings list join, replace what is lost, and come back; the oracle judges."""

    def run_until(self, cluster, is_so, ticks=400):
        for _ in range(ticks):
            if is_so():
                return
            cluster.run(1)
        self.fail(cluster.describe())

    def test_newcomer_becomes_a_voter_while_there_are_too_few(self):
        for seed in range(4):
            cluster = form(seed, settings=OPEN_TO_FIVE)
            cluster.join("x")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("abcx"))

    def test_newcomer_replaces_a_lost_voter_of_another_name(self):
        for seed in range(4):
            cluster = form(seed)
            lost = cluster.leaders()[-1].name if seed % 2 else "b"
            cluster.lose(lost)
            cluster.join("x")
            wanted = set(cluster.names)
            self.run_until(cluster, lambda c=cluster, w=wanted: c.voter_names() == w)

    def test_newcomer_takes_the_place_of_a_lost_voter_while_there_is_another_place(self):
        # Three voters of at most five, and one is gone for good. Its successor was made a fourth
        # voter and the lost one was kept, so that three of four had to live: after one more loss
        # nobody could be elected, and all that had been accepted was out of reach.
        for seed in range(4):
            cluster = form(seed, settings=OPEN_TO_FIVE)
            cluster.lose("b")
            cluster.join("x")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("acx"))

    def test_disk_lost_after_a_machine_was_replaced_loses_nothing_at_a_loss_of_power(self):
        for seed in range(8):
            cluster = form(seed, settings=OPEN_TO_FIVE)
            cluster.lose("b")
            cluster.join("x")
            self.run_until(cluster, lambda c=cluster: "x" in c.voter_names())
            cluster.run(100)
            cluster.run_busy(5)
            for member in cluster.members.values():
                member.crash()
            cluster.replace_disk("ac"[seed % 2])
            for member in cluster.members.values():
                if member.replica is None:
                    member.start()
            accepted = dict(cluster.oracle.accepted)
            self.run_until(cluster, lambda c=cluster: c.leaders() and c.is_whole())
            self.run_until(
                cluster,
                lambda c=cluster, a=accepted: all(m.applied >= max(a) for m in c.members.values()),
            )

    def test_two_silent_voters_of_five_are_kept(self):
        # They may come back; without them three would be left, of which none may be lost.
        for seed in range(4):
            cluster = form(seed, size=5, settings=OPEN_TO_FIVE)
            leader = cluster.leaders()[-1].name
            for name in [name for name in "abcde" if name != leader][:2]:
                cluster.lose(name)
            cluster.run(300)
            self.assertEqual(cluster.voter_names(), set("abcde"))

    def test_silent_voter_of_four_is_dropped_and_joins_again_under_a_new_identity(self):
        for seed in range(4):
            cluster = form(seed, settings=OPEN_TO_FIVE)
            cluster.join("x")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("abcx"))
            leader = cluster.leaders()[-1].name
            silent = next(name for name in "abc" if name != leader)
            member = cluster.members[silent]
            former = member.store.identity.voter_id
            member.crash()
            left = set("abcx") - {silent}
            self.run_until(cluster, lambda c=cluster, w=left: c.voter_names() == w)
            member.start()
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("abcx"))
            self.assertNotEqual(member.store.identity.voter_id, former)

    def test_newcomer_waits_as_a_learner_while_all_voters_live(self):
        cluster = form(1)
        cluster.join("x")
        cluster.run(200)
        self.assertEqual(cluster.voter_names(), set("abc"))
        self.assertEqual([v.name for v in cluster.oracle.voters[1].learners], ["x"])

    def test_replaced_voter_that_comes_back_joins_under_a_new_identity(self):
        for seed in range(4):
            cluster = form(seed)
            member = cluster.members["b"]
            former = member.store.identity.voter_id
            member.crash()
            cluster.join("x")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("acx"))
            member.start()
            self.run_until(
                cluster,
                lambda c=cluster: "b" in [v.name for v in c.oracle.voters[1].learners],
            )
            self.assertNotEqual(member.store.identity.voter_id, former)
            self.assertIn(former, cluster.oracle.voters[1].removed)

    def test_replaced_voter_that_knows_no_present_leader_joins_again(self):
        # A voter was down while another took its place, and that one led when it came back. It
        # asked the voters of its own log for votes; those passed it over, and only a leader tells
        # a replaced voter so. It was out for good, though it ran, and after two more such as it
        # the others were too few.
        for seed in range(4):
            cluster = form(seed, size=5, settings=OPEN_TO_FIVE)
            member = cluster.members["b"]
            former = member.store.identity.voter_id
            member.crash()
            cluster.join("x")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("acdex"))
            self.lead_by(cluster, "x")
            member.start()
            self.run_until(
                cluster,
                lambda c=cluster: "b" in [v.name for v in c.oracle.voters[1].learners],
            )
            self.assertIn(former, cluster.oracle.voters[1].removed)

    def lead_by(self, cluster, name):
        """Restart the leader until the member of this name leads."""
        for _ in range(100):
            self.run_until(cluster, lambda c=cluster: c.leaders())
            leader = cluster.leaders()[-1]
            if leader.name == name:
                return
            leader.crash()
            self.assertIsNotNone(cluster.run_to_new_leader())
            leader.start()
        self.fail(f"{name} never led")

    def test_second_loss_after_the_repair_of_the_first_loses_nothing(self):
        for seed in range(4):
            cluster = form(seed)
            cluster.run_busy(10)
            cluster.lose("a")
            cluster.join("x")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("bcx"))
            cluster.run_busy(10)
            cluster.lose("b")
            cluster.join("y")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("cxy"))
            cluster.run_busy(20)
            member = cluster.members["c"]
            accepted = cluster.oracle.accepted
            self.run_until(cluster, lambda m=member, a=accepted: m.applied >= max(a))
            held = {command for _, command in member.state}
            self.assertGreaterEqual(held, set(cluster.oracle.accepted.values()))

    def test_empty_voters_form_no_cluster_where_there_was_one(self):
        cluster = FakeCluster(3, 5, msgspec.structs.replace(OPEN, may_form=False))
        cluster.run(200)
        self.assertEqual(cluster.leaders(), [])


if __name__ == "__main__":
    unittest.main()
