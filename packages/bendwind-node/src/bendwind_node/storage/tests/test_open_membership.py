import unittest

import msgspec

from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster

OPEN = msgspec.structs.replace(SETTINGS, open_to=3)
OPEN_TO_FIVE = msgspec.structs.replace(SETTINGS, open_to=5)


def form_cluster(seed, size=3, settings=OPEN):
    cluster = FakeCluster(size, seed, settings)
    cluster.settle()
    for member in cluster.members.values():
        member.disk_speed = 1.0
    return cluster


class OpenMembershipTest(unittest.TestCase):
    """Voters that no settings list join, replace lost voters and rejoin; the oracle checks all."""

    def run_until(self, cluster, condition, ticks=400):
        for _ in range(ticks):
            if condition():
                return
            cluster.run(1)
        self.fail(cluster.describe())

    def test_newcomer_becomes_a_voter_while_there_are_too_few(self):
        for seed in range(4):
            cluster = form_cluster(seed, settings=OPEN_TO_FIVE)
            cluster.add_member("x")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("abcx"))

    def test_newcomer_replaces_a_lost_voter_of_another_name(self):
        for seed in range(4):
            cluster = form_cluster(seed)
            lost = cluster.list_leaders()[-1].name if seed % 2 else "b"
            cluster.remove_member(lost)
            cluster.add_member("x")
            wanted = set(cluster.names)
            self.run_until(cluster, lambda c=cluster, w=wanted: c.voter_names() == w)

    def test_newcomer_replaces_a_lost_voter_although_there_is_room_for_another(self):
        # One of three voters, of at most five, is lost permanently. If its successor became a
        # fourth voter and the lost one were kept, three of four would have to be alive. After one
        # more loss no leader could be elected, and all acknowledged commands would be unavailable.
        for seed in range(4):
            cluster = form_cluster(seed, settings=OPEN_TO_FIVE)
            cluster.remove_member("b")
            cluster.add_member("x")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("acx"))

    def test_disk_and_power_loss_after_a_machine_was_replaced_lose_no_data(self):
        for seed in range(8):
            cluster = form_cluster(seed, settings=OPEN_TO_FIVE)
            cluster.remove_member("b")
            cluster.add_member("x")
            self.run_until(cluster, lambda c=cluster: "x" in c.voter_names())
            cluster.run(100)
            cluster.run_with_requests(5)
            for member in cluster.members.values():
                member.crash()
            cluster.replace_disk("ac"[seed % 2])
            for member in cluster.members.values():
                if member.replica is None:
                    member.start()
            acknowledged = dict(cluster.oracle.acknowledged)
            self.run_until(cluster, lambda c=cluster: c.list_leaders() and c.has_full_voter_set())
            self.run_until(
                cluster,
                lambda c=cluster, a=acknowledged: all(
                    m.applied >= max(a) for m in c.members.values()
                ),
            )

    def test_two_silent_voters_of_five_are_kept(self):
        # They may restart. Without them three voters would be left, of which none could be lost.
        for seed in range(4):
            cluster = form_cluster(seed, size=5, settings=OPEN_TO_FIVE)
            leader = cluster.list_leaders()[-1].name
            for name in [name for name in "abcde" if name != leader][:2]:
                cluster.remove_member(name)
            cluster.run(300)
            self.assertEqual(cluster.voter_names(), set("abcde"))

    def test_silent_voter_of_four_is_removed_and_rejoins_with_a_new_identity(self):
        for seed in range(4):
            cluster = form_cluster(seed, settings=OPEN_TO_FIVE)
            cluster.add_member("x")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("abcx"))
            leader = cluster.list_leaders()[-1].name
            silent = next(name for name in "abc" if name != leader)
            member = cluster.members[silent]
            former = member.store.identity.voter_id
            member.crash()
            left = set("abcx") - {silent}
            self.run_until(cluster, lambda c=cluster, w=left: c.voter_names() == w)
            member.start()
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("abcx"))
            self.assertNotEqual(member.store.identity.voter_id, former)

    def test_newcomer_remains_a_learner_while_all_voters_are_alive(self):
        cluster = form_cluster(1)
        cluster.add_member("x")
        cluster.run(200)
        self.assertEqual(cluster.voter_names(), set("abc"))
        self.assertEqual([v.name for v in cluster.oracle.voters[1].learners], ["x"])

    def test_replaced_voter_that_restarts_joins_with_a_new_identity(self):
        for seed in range(4):
            cluster = form_cluster(seed)
            member = cluster.members["b"]
            former = member.store.identity.voter_id
            member.crash()
            cluster.add_member("x")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("acx"))
            member.start()
            self.run_until(
                cluster,
                lambda c=cluster: "b" in [v.name for v in c.oracle.voters[1].learners],
            )
            self.assertNotEqual(member.store.identity.voter_id, former)
            self.assertIn(former, cluster.oracle.voters[1].removed)

    def test_replaced_voter_that_does_not_know_the_leader_rejoins(self):
        # A voter is down while another one replaces it, and the new voter leads when the former
        # one restarts. The former voter requests votes from the voters in its own log, which ignore
        # it, and only a leader informs a replaced voter of its removal. Without a way to find the
        # leader it would never rejoin although it runs, and after two more such cases too few
        # voters would be left.
        for seed in range(4):
            cluster = form_cluster(seed, size=5, settings=OPEN_TO_FIVE)
            member = cluster.members["b"]
            former = member.store.identity.voter_id
            member.crash()
            cluster.add_member("x")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("acdex"))
            self.run_until_leader_is(cluster, "x")
            member.start()
            self.run_until(
                cluster,
                lambda c=cluster: "b" in [v.name for v in c.oracle.voters[1].learners],
            )
            self.assertIn(former, cluster.oracle.voters[1].removed)

    def run_until_leader_is(self, cluster, name):
        """Restart leaders until the named member leads."""
        for _ in range(100):
            self.run_until(cluster, lambda c=cluster: c.list_leaders())
            leader = cluster.list_leaders()[-1]
            if leader.name == name:
                return
            leader.crash()
            self.assertIsNotNone(cluster.run_until_new_leader())
            leader.start()
        self.fail(f"{name} never led")

    def test_second_loss_after_the_repair_of_the_first_loses_no_data(self):
        for seed in range(4):
            cluster = form_cluster(seed)
            cluster.run_with_requests(10)
            cluster.remove_member("a")
            cluster.add_member("x")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("bcx"))
            cluster.run_with_requests(10)
            cluster.remove_member("b")
            cluster.add_member("y")
            self.run_until(cluster, lambda c=cluster: c.voter_names() == set("cxy"))
            cluster.run_with_requests(20)
            member = cluster.members["c"]
            acknowledged = cluster.oracle.acknowledged
            self.run_until(cluster, lambda m=member, a=acknowledged: m.applied >= max(a))
            held = {command for _, command in member.state}
            self.assertGreaterEqual(held, set(cluster.oracle.acknowledged.values()))

    def test_empty_voters_form_no_cluster_if_one_existed_before(self):
        cluster = FakeCluster(3, 5, msgspec.structs.replace(OPEN, may_form=False))
        cluster.run(200)
        self.assertEqual(cluster.list_leaders(), [])


if __name__ == "__main__":
    unittest.main()
