"""Interrupt the first start of a core at any write; oracle: exactly one cluster forms."""

import random
import unittest

import msgspec

from bendwind_core.consensus import Append, Entry, FormCluster, Head, Received, Voter, VoterSet
from bendwind_core.consensus.replica import Role
from bendwind_node.storage.tests.fake_cluster import SETTINGS, FakeCluster

SEED_NAMES = ("a", "b", "c")
OPEN = msgspec.structs.replace(SETTINGS, open_to=5)
# Opening an empty store and forming a cluster take fewer operations.
MAX_OPERATIONS = 40
# Far beyond the time that a formation without faults takes.
TICKS = 60
SEEDS = 150


class FirstStart:
    """Start five members, of which three are listed, and end their processes meanwhile."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.cluster = FakeCluster(0, seed, OPEN, has_first_start=True)
        self.cluster.listed_names = SEED_NAMES
        self.lost_disk = None

    def start(self, name, operations):
        """Start a member, whose process ends after some operations on its disk."""
        self.cluster.add_member(name, operations)

    def run(self, loses_disk):
        names = list("abcde")
        self.rng.shuffle(names)
        ended = self.rng.sample(names, self.rng.randint(0, 5))
        self.cluster.loss_rate = self.rng.choice([0.0, 0.3, 0.6])
        for name in names:
            operations = self.rng.randint(0, MAX_OPERATIONS) if name in ended else None
            self.start(name, operations)
            self.cluster.run(self.rng.choice([0, 0, 1, 5]))
        for _ in range(TICKS):
            self.cluster.run(1)
            self.disturb()
            if loses_disk and self.lost_disk is None and self.rng.random() < 0.05:
                self.lose_disk()

    def disturb(self):
        for member in self.cluster.members.values():
            if member.replica is None:
                if self.rng.random() < 0.3:
                    member.start()
            elif self.rng.random() < 0.01:
                member.crash()

    def lose_disk(self):
        self.lost_disk = self.rng.choice(SEED_NAMES)
        self.cluster.replace_disk(self.lost_disk)

    def may_form(self):
        """Return whether the disks of listed members show that no cluster existed before."""
        members = [self.cluster.members[name] for name in SEED_NAMES]
        first_disks = sum(member.store.identity.is_first_starter for member in members)
        is_formed = any(member.store.identity.is_formed for member in members)
        return is_formed or members[0].may_form or 2 * first_disks > len(members)

    def allow_forming(self):
        """Let a listed member form a cluster, as an operator does by its settings."""
        self.cluster.has_first_start = False
        member = self.cluster.members["a"]
        member.may_form = True
        member.crash()
        member.start()


class FirstStartTest(unittest.TestCase):
    def check(self, seed, *, loses_disk):
        start = FirstStart(seed)
        with self.subTest(seed=seed):
            start.run(loses_disk)
            start.cluster.heal()
            if not start.may_form():
                start.allow_forming()
            start.cluster.settle()

    # Guards against a core that never forms since a process ended during the first start.
    def test_one_cluster_forms_whichever_processes_end_meanwhile(self):
        for seed in range(SEEDS):
            self.check(seed, loses_disk=False)

    def test_one_cluster_forms_though_a_disk_is_lost_meanwhile(self):
        for seed in range(SEEDS):
            self.check(seed, loses_disk=True)

    def test_first_listed_member_forms_the_cluster_after_its_first_start_was_ended(self):
        # The process ends before it has created its identity.
        for operations in range(4):
            start = FirstStart(operations)
            for name in "abcde":
                start.start(name, operations if name == "a" else None)
            start.cluster.settle()

    def test_cluster_forms_though_all_processes_ended_before_it_did(self):
        for seed in range(10):
            start = FirstStart(seed)
            for name in "abcde":
                start.start(name, None)
            for member in start.cluster.members.values():
                member.crash()
            start.cluster.settle()

    def test_empty_disks_without_a_first_start_form_no_cluster(self):
        start = FirstStart(1)
        for name in "abcde":
            start.start(name, 0)
        start.cluster.run(200)
        self.assertEqual(start.cluster.list_leaders(), [])


def is_first_entry(sent):
    return isinstance(sent[2], FormCluster)


class LateFirstDiskTest(unittest.TestCase):
    # Guards against a second cluster where one disk of the first start was never used.
    def test_one_disk_of_the_first_start_forms_no_second_cluster(self):
        for seed in range(12):
            cluster = FakeCluster(0, seed, OPEN, has_first_start=True)
            cluster.listed_names = SEED_NAMES
            for name in SEED_NAMES:
                cluster.add_member(name)
            while cluster.members["a"].replica.role is Role.UNFORMED:
                cluster.run(1)
            late = cluster.members["b"]
            if late.replica.role is not Role.UNFORMED or late.store.identity.is_formed:
                continue
            late.crash()
            cluster.remove_member("b")
            for name in "defgh":
                cluster.add_member(name)
            cluster.run_with_requests(600)
            cluster.names = (*cluster.names, "b")
            cluster.members["b"] = late
            for name in ("a", "c"):
                cluster.replace_disk(name)
            late.start()
            with self.subTest(seed=seed):
                cluster.run_with_requests(400)


class HoldingCluster(FakeCluster):
    """Hold back the first entries that are sent, by receiver."""

    def __init__(self, seed):
        super().__init__(3, seed, OPEN, has_first_start=True)
        self.held = {}
        self.is_holding = True

    def deliver(self):
        if self.is_holding:
            self.held |= {sent[1]: sent for sent in self.network if is_first_entry(sent)}
            self.network = [sent for sent in self.network if not is_first_entry(sent)]
        super().deliver()

    def hold_first_entries(self):
        """Run until first entries to both other members are held, and return them."""
        self.held = {}
        for _ in range(TICKS):
            self.run(1)
            if len(self.held) == 2:
                return self.held
        raise AssertionError(f"no first entries: {self.describe()}")


class TwoFirstEntriesTest(unittest.TestCase):
    """Lose the disk of the forming member while its first entries are in transit."""

    def form_twice(self, seed):
        """Return a cluster in which `a` has formed twice, and both sets of first entries."""
        cluster = HoldingCluster(seed)
        first = cluster.hold_first_entries()
        cluster.replace_disk("a")
        return cluster, first, cluster.hold_first_entries()

    def check(self, former, later):
        for seed in range(8):
            with self.subTest(seed=seed):
                cluster, first, second = self.form_twice(seed)
                delivered = [*(first[name] for name in former), *(second[name] for name in later)]
                for sender, to, message in delivered:
                    cluster.members[to].handle(Received(sender, message))
                cluster.is_holding = False
                cluster.settle()

    def test_member_of_the_lost_cluster_gives_way(self):
        self.check("b", "c")

    def test_forming_member_gives_way_to_a_majority_of_the_lost_cluster(self):
        self.check("bc", "")

    def test_cluster_of_the_new_disk_forms(self):
        self.check("", "bc")


class GivesWayTest(unittest.TestCase):
    def receive(self, commit, prepare=lambda replica: None):
        """Let a member with its first entry receive a message of another cluster."""
        cluster, first, _ = TwoFirstEntriesTest().form_twice(1)
        member = cluster.members["b"]
        sender, _, message = first["b"]
        member.handle(Received(sender, message))
        before = member.replica.hard_state.cluster
        prepare(member.replica)
        leader = Voter("c", 77)
        voters = VoterSet(before + 1, (leader, member.replica.voter))
        head = Head(before + 1, leader, member.replica.voter.voter_id, 5)
        entries = (Entry(1, 1, voters=voters), Entry(2, 5))
        member.handle(Received("c", Append(head, 0, 0, entries, commit, 1)))
        return member.replica.hard_state.cluster != before

    def test_first_entry_gives_way_to_a_committed_one(self):
        self.assertTrue(self.receive(1))

    def test_first_entry_does_not_give_way_to_an_uncommitted_one(self):
        self.assertFalse(self.receive(0))

    def test_committed_entry_never_gives_way(self):
        def commit(replica):
            replica.commit = 1

        self.assertFalse(self.receive(1, commit))

    def test_longer_log_never_gives_way(self):
        def lengthen(replica):
            replica.log.append(Entry(2, 2))

        self.assertFalse(self.receive(1, lengthen))

    def test_first_entry_for_the_former_disk_is_ignored(self):
        cluster, first, _ = TwoFirstEntriesTest().form_twice(2)
        sender, to, message = first["b"]
        cluster.replace_disk(to)
        cluster.members[to].handle(Received(sender, message))
        self.assertEqual(cluster.members[to].replica.hard_state.cluster, 0)


if __name__ == "__main__":
    unittest.main()
