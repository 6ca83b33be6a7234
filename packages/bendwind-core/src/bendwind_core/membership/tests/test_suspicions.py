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
# Nodes that reach their voters must receive the reports within this time.
PROPAGATION_LIMIT = 3.0


class World:
    """Deliver messages of nodes and voters; `cut` holds voters cut off from all other voters."""

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
                self.deliver(voter, effect.to, effect.message)

    def deliver(self, sender, to, message):
        self.sent += isinstance(message, SuspectReports)
        if to in self.registries:
            if not {sender, to} & self.cut:
                self.to_voter(to, sender, message)
        elif isinstance(message, SuspectReports):
            for report in message.suspects:
                merge_report(self.nodes[to], report, self.now)

    def record_end_at(self, node, number):
        table = self.nodes[node]
        record_end(table, POISON, "s", UpstreamEndId(node, 1, f"u-{node}", number), self.now)
        self.send_reports(node, pop_unreported(table, self.now))

    def send_reports(self, node, suspects):
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

    def record_ends_at_three_nodes(self):
        for node in ("n0", "n1", "n2"):
            self.world.record_end_at(node, 1)

    def test_reports_of_three_nodes_reach_nodes_of_all_voters(self):
        self.record_ends_at_three_nodes()
        self.world.pass_time(0.3)
        self.assertEqual(self.list_refusing(), list(self.world.nodes))

    def test_nodes_watching_other_services_receive_no_reports(self):
        self.world.watched["n5"] = ("other",)
        self.world.attach("n5", 2)
        self.record_ends_at_three_nodes()
        self.world.pass_time(PROPAGATION_LIMIT)
        self.assertEqual(self.list_refusing(), list(self.world.nodes)[:-1])

    def test_reports_from_both_sides_of_partition_are_merged_after_it_heals(self):
        self.world.cut = {"v1"}
        self.world.record_end_at("n0", 1)
        self.world.record_end_at("n1", 1)
        self.world.record_end_at("n1", 2)
        self.world.pass_time(10.0)
        self.assertEqual(self.list_refusing(), [])
        self.world.cut = set()
        self.world.pass_time(PROPAGATION_LIMIT)
        self.assertEqual(self.list_refusing(), list(self.world.nodes))

    def test_new_node_receives_reports_with_its_first_watch(self):
        self.record_ends_at_three_nodes()
        self.world.pass_time(1.0)
        self.world.nodes["n9"] = SuspectTable("n9")
        self.world.homes["n9"] = "v2"
        self.world.watched["n9"] = ("s",)
        self.world.attach("n9")
        self.assertTrue(self.world.refuses("n9"))

    def test_owners_restore_reports_at_restarted_voters(self):
        self.record_ends_at_three_nodes()
        self.world.pass_time(1.0)
        for name in VOTERS:
            self.world.registries[name] = create_voter_registry(
                name, PLACES, LeaseTimes(), self.world.now
            )
        self.world.nodes["n4"] = SuspectTable("n4")
        for name in self.world.nodes:
            self.world.attach(name, 2)
        self.assertFalse(self.world.refuses("n4"))
        self.world.send_reports("n0", list_restricted(self.world.nodes["n0"], self.world.now))
        self.world.pass_time(PROPAGATION_LIMIT)
        self.assertTrue(self.world.refuses("n4"))

    def test_answer_at_one_node_clears_suspect_at_all_nodes(self):
        self.record_ends_at_three_nodes()
        self.world.pass_time(1.0)
        table = self.world.nodes["n4"]
        clear_suspect(table, POISON, self.world.now)
        self.world.send_reports("n4", pop_unreported(table, self.world.now))
        self.world.pass_time(1.0)
        self.assertEqual(self.list_refusing(), [])

    def test_no_reports_are_sent_without_suspects_and_few_afterwards(self):
        self.world.pass_time(60.0)
        self.assertEqual(self.world.sent, 0)
        self.record_ends_at_three_nodes()
        self.world.pass_time(1.0)
        self.world.sent = 0
        self.world.pass_time(10 * REPEAT_INTERVAL)
        # Each of the three voters repeats the reports to the two others once per interval.
        self.assertLessEqual(self.world.sent, 3 * 2 * 11)


if __name__ == "__main__":
    unittest.main()
