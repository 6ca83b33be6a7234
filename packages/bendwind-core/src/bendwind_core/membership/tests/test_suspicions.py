import random
import unittest

from bendwind_core.membership import (
    Heartbeat,
    LeaseTimes,
    MessageReceived,
    QuorumConfirmed,
    SendTo,
    SuspectReports,
    Tick,
    VoterPlace,
    Watch,
    create_voter_registry,
    step_registry,
)
from bendwind_core.membership.suspicions import REPEAT_INTERVAL
from bendwind_core.suspicion import (
    Quarantined,
    SuspectTable,
    UpstreamEndId,
    clear_suspect,
    find_restriction,
    list_restricted,
    merge_report,
    pop_unreported,
    record_end,
)
from bendwind_core.world import Instance

VOTERS = ("v0", "v1", "v2")
PLACES = tuple(VoterPlace(name) for name in VOTERS)
TICK = 0.05
POISON = b"poison"
# Nodes that reach their voters have to know within this time.
CONTACT = 3.0


class World:
    """Carry what nodes and voters tell; `cut` names voters that no other voter reaches."""

    def __init__(self):
        self.now = 0.0
        self.rng = random.Random(1)
        self.cut = set()
        self.sent = 0
        self.registries = {
            name: create_voter_registry(name, PLACES, LeaseTimes(), 0.0) for name in VOTERS
        }
        self.nodes = {f"n{number}": SuspectTable(f"n{number}") for number in range(6)}
        self.homes = {name: VOTERS[number % 3] for number, name in enumerate(self.nodes)}
        self.watched = dict.fromkeys(self.nodes, ("s",))
        for name in self.nodes:
            self.attach(name)

    def attach(self, node, sequence=1):
        instance = Instance(node, "dc", "", 0, 1)
        self.to_voter(self.homes[node], node, Heartbeat(instance, sequence, 0, sequence))
        self.to_voter(self.homes[node], node, Watch(node, self.watched[node], 1, sequence))

    def renew(self):
        for node, voter in self.homes.items():
            client = self.registries[voter].clients.get(node)
            if client is not None:
                instance = Instance(node, "dc", "", 0, 1)
                beat = Heartbeat(instance, client.sequence + 1, 0, client.watch)
                self.to_voter(voter, node, beat)

    def to_voter(self, voter, sender, message):
        self.step(voter, MessageReceived(sender, message))

    def step(self, voter, event):
        effects = step_registry(self.registries[voter], event, self.now, self.rng)
        for effect in effects:
            if isinstance(effect, SendTo):
                self.carry(voter, effect.to, effect.message)

    def carry(self, sender, to, message):
        self.sent += isinstance(message, SuspectReports)
        if to in self.registries:
            if not {sender, to} & self.cut:
                self.to_voter(to, sender, message)
        elif isinstance(message, SuspectReports):
            for told in message.suspects:
                merge_report(self.nodes[to], told, self.now)

    def end(self, node, number):
        table = self.nodes[node]
        record_end(table, POISON, "s", UpstreamEndId(node, 1, f"u-{node}", number), self.now)
        self.tell(node, pop_unreported(table, self.now))

    def tell(self, node, suspects):
        if suspects:
            self.to_voter(self.homes[node], node, SuspectReports(suspects))

    def pass_time(self, seconds):
        for count in range(round(seconds / TICK)):
            self.now += TICK
            if count % round(1.0 / TICK) == 0:
                self.renew()
            for voter in self.registries:
                self.step(voter, QuorumConfirmed(self.now))
                self.step(voter, Tick())

    def refuses(self, node):
        return isinstance(find_restriction(self.nodes[node], POISON, self.now), Quarantined)


class SuspicionsTest(unittest.TestCase):
    def setUp(self):
        self.world = World()

    def list_refusing(self):
        return [name for name in self.world.nodes if self.world.refuses(name)]

    def end_three(self):
        for node in ("n0", "n1", "n2"):
            self.world.end(node, 1)

    def test_nodes_at_any_voter_know_soon_what_three_of_them_saw(self):
        self.end_three()
        self.world.pass_time(0.3)
        self.assertEqual(self.list_refusing(), list(self.world.nodes))

    def test_nodes_that_watch_other_services_are_told_nothing(self):
        self.world.watched["n5"] = ("other",)
        self.world.attach("n5", 2)
        self.end_three()
        self.world.pass_time(CONTACT)
        self.assertEqual(self.list_refusing(), list(self.world.nodes)[:-1])

    def test_what_the_sides_of_a_cut_saw_is_put_together_once_it_heals(self):
        self.world.cut = {"v1"}
        self.world.end("n0", 1)
        self.world.end("n1", 1)
        self.world.end("n1", 2)
        self.world.pass_time(10.0)
        self.assertEqual(self.list_refusing(), [])
        self.world.cut = set()
        self.world.pass_time(CONTACT)
        self.assertEqual(self.list_refusing(), list(self.world.nodes))

    def test_node_that_starts_later_is_told_with_its_first_watch(self):
        self.end_three()
        self.world.pass_time(1.0)
        self.world.nodes["n9"] = SuspectTable("n9")
        self.world.homes["n9"] = "v2"
        self.world.watched["n9"] = ("s",)
        self.world.attach("n9")
        self.assertTrue(self.world.refuses("n9"))

    def test_voters_that_forgot_all_are_told_again_by_the_owners(self):
        self.end_three()
        self.world.pass_time(1.0)
        for name in VOTERS:
            self.world.registries[name] = create_voter_registry(
                name, PLACES, LeaseTimes(), self.world.now
            )
        self.world.nodes["n4"] = SuspectTable("n4")
        for name in self.world.nodes:
            self.world.attach(name, 2)
        self.assertFalse(self.world.refuses("n4"))
        self.world.tell("n0", list_restricted(self.world.nodes["n0"], self.world.now))
        self.world.pass_time(CONTACT)
        self.assertTrue(self.world.refuses("n4"))

    def test_answer_at_one_node_clears_it_at_all(self):
        self.end_three()
        self.world.pass_time(1.0)
        table = self.world.nodes["n4"]
        clear_suspect(table, POISON, self.world.now)
        self.world.tell("n4", pop_unreported(table, self.world.now))
        self.world.pass_time(1.0)
        self.assertEqual(self.list_refusing(), [])

    def test_nothing_is_sent_in_calm_times_and_little_afterwards(self):
        self.world.pass_time(60.0)
        self.assertEqual(self.world.sent, 0)
        self.end_three()
        self.world.pass_time(1.0)
        self.world.sent = 0
        self.world.pass_time(10 * REPEAT_INTERVAL)
        # Each of three voters tells the two others once in a while.
        self.assertLessEqual(self.world.sent, 3 * 2 * 11)


if __name__ == "__main__":
    unittest.main()
