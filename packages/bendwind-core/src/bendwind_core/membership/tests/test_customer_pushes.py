import random
import unittest
import unittest.mock

from bendwind_core.customers import CustomersChange, find_customer
from bendwind_core.membership import (
    ConfigurationAccepted,
    ConfigurationChanged,
    CustomersChanged,
    Heartbeat,
    HeartbeatReply,
    MessageReceived,
    ServiceWatched,
    Tick,
    Watch,
    create_voter_registry,
    customer_history,
    step_registry,
    step_view,
)
from bendwind_core.membership.attachment import SentHeartbeat
from bendwind_core.membership.customer_history import (
    CustomerHistory,
    make_customers_change,
    update_customers,
)
from bendwind_core.membership.routing_changes import RoutingChange
from bendwind_core.membership.tests.fakes import PLACES, SERVICES, TIMES, World
from bendwind_core.world import (
    EMPTY_ROUTING,
    Configuration,
    Customer,
    Instance,
    Route,
    Routing,
    Rule,
    Service,
    SplitPart,
    digest_key,
)

SERVED = (Service(SERVICES[0], ("*",)),)
# Time limit for a push: a voter receives a version with its next round, and a push is collected and
# crosses one link.
PUSH = 0.6


def make_customers(count, **changed):
    """Return customers c0, c1... with the keys k0, k1..., unless `changed` names another key."""
    keys = {f"c{index}": f"k{index}" for index in range(count)} | changed
    return tuple(
        Customer(name, (digest_key(key.encode()),)) for name, key in sorted(keys.items()) if key
    )


class CustomerHistoryTest(unittest.TestCase):
    def test_one_changed_key_sends_one_customer(self):
        history = CustomerHistory()
        update_customers(history, make_customers(100), 10)
        self.assertTrue(update_customers(history, make_customers(100, c7="new"), 11))
        change = make_customers_change(history, 10)
        self.assertEqual((change.base, change.removed), (10, ()))
        self.assertEqual(change.put, make_customers(0, c7="new"))
        self.assertEqual(make_customers_change(history, 11).put, ())

    def test_removed_customers_are_listed_for_nodes_that_may_hold_them(self):
        history = CustomerHistory()
        update_customers(history, make_customers(3), 10)
        update_customers(history, make_customers(3, c1=""), 12)
        update_customers(history, make_customers(3, c1="again"), 14)
        self.assertEqual(make_customers_change(history, 10).put, make_customers(0, c1="again"))
        self.assertEqual(make_customers_change(history, 10).removed, ())
        update_customers(history, make_customers(3, c1=""), 16)
        self.assertEqual(make_customers_change(history, 14).removed, ("c1",))
        self.assertEqual(make_customers_change(history, 16).removed, ())

    def test_nodes_missing_an_evicted_removal_receive_all_customers(self):
        history = CustomerHistory()
        with unittest.mock.patch.object(customer_history, "MAX_REMEMBERED_REMOVALS", 2):
            update_customers(history, make_customers(5), 10)
            for version, ended in ((11, "c0"), (12, "c1"), (13, "c2")):
                held = tuple(c for c in history.customers.values() if c.name != ended)
                update_customers(history, held, version)
        self.assertEqual(len(history.removed_at), 2)
        whole = make_customers_change(history, 10)
        self.assertEqual((whole.base, len(whole.put)), (0, 2))
        self.assertEqual(set(make_customers_change(history, 11).removed), {"c1", "c2"})

    def test_introducing_and_ending_customers_sends_all_to_every_node(self):
        history = CustomerHistory()
        self.assertFalse(update_customers(history, None, 5))
        self.assertTrue(update_customers(history, (), 7))
        self.assertEqual(make_customers_change(history, 5), CustomersChange(is_key_needed=True))
        self.assertTrue(update_customers(history, None, 9))
        self.assertEqual(make_customers_change(history, 7), CustomersChange())

    def test_incremental_digest_equals_digest_of_full_set(self):
        history, other = CustomerHistory(), CustomerHistory()
        update_customers(history, make_customers(4, c9="x"), 3)
        update_customers(history, make_customers(4, c1="new", c2=""), 4)
        update_customers(other, make_customers(4, c1="new", c2=""), 4)
        self.assertEqual(history.digest, other.digest)


class PushTest(unittest.TestCase):
    """Test one voter that accepts versions with one node that reports what it holds."""

    def setUp(self):
        self.rng = random.Random(4)
        self.node = Instance("n0", "dc0", "127.0.0.1", 1, 1)
        self.start_voter()

    def start_voter(self):
        self.registry = create_voter_registry("v0", PLACES, TIMES, 0.0)
        self.sequence = 0

    def accept(self, version, customers, routing=EMPTY_ROUTING):
        configuration = Configuration(version, SERVED, routing, customers=customers)
        step_registry(self.registry, ConfigurationAccepted(configuration), 0.0, self.rng)

    def beat(self, version, customers):
        """Report what a node holds; return the customers pushed to it and the reply."""
        self.sequence += 1
        beat = Heartbeat(self.node, self.sequence, version, 1, customers=customers)
        if self.sequence == 1:
            watch = Watch("n0", SERVICES[:1], 1, 1, version, customers=customers)
            for message in (beat, watch):
                step_registry(self.registry, MessageReceived("n0", message), 0.0, self.rng)
            return self.beat(version, customers)
        effects = step_registry(self.registry, MessageReceived("n0", beat), 0.0, self.rng)
        sent = [effect.message for effect in effects]
        pushes = [message for message in sent if isinstance(message, ConfigurationChanged)]
        (reply,) = (message for message in sent if isinstance(message, HeartbeatReply))
        return (pushes[0].customers if pushes else None), reply

    def test_node_with_older_version_receives_the_difference(self):
        self.accept(10, make_customers(50))
        self.accept(12, make_customers(50, c3="new"))
        change, reply = self.beat(10, 10)
        self.assertEqual((change.base, change.put), (10, make_customers(0, c3="new")))
        self.assertFalse(reply.is_current)

    def test_key_change_sends_only_changed_routes(self):
        route = Route("r", "h", "/", (SplitPart(SERVICES[0]),), Rule("*"))
        sent = []
        self.accept(10, make_customers(5), Routing(1, (route,)))
        self.beat(10, 10)
        client = self.registry.clients["n0"]
        for version, routing in ((12, Routing(2, (route,))), (14, Routing(3, ()))):
            self.accept(version, make_customers(5, c3=f"new-{version}"), routing)
            effects = step_registry(self.registry, Tick(), 0.1, self.rng)
            sent += [e.message for e in effects if isinstance(e.message, ConfigurationChanged)]
            self.assertEqual(client.version, 10)
        unchanged, changed = [message.routing for message in sent]
        limits = Routing().limits
        self.assertEqual(unchanged, RoutingChange(2, limits, (), is_whole=False))
        ended = ((route.host, route.path_prefix),)
        self.assertEqual(changed, RoutingChange(3, limits, (), ended, is_whole=False))
        self.assertEqual([len(message.customers.put) for message in sent], [1, 1])

    def test_change_is_resent_until_node_reports_the_version(self):
        self.accept(10, make_customers(5))
        self.accept(12, make_customers(5, c3="new"))
        for _ in range(3):
            change, _ = self.beat(10, 10)
            self.assertEqual(change.put, make_customers(0, c3="new"))
        change, reply = self.beat(12, 12)
        self.assertIsNone(change)
        self.assertTrue(reply.is_current)

    def test_node_with_new_watch_is_not_resent_customers(self):
        self.accept(10, make_customers(50))
        change, _ = self.beat(-1, 10)
        self.assertEqual((change.base, change.put), (10, ()))

    def test_restarted_voter_sends_all_for_versions_it_never_held(self):
        self.accept(10, make_customers(5))
        self.accept(12, make_customers(5, c1=""))
        self.start_voter()
        self.accept(12, make_customers(5, c1=""))
        change, reply = self.beat(10, 10)
        self.assertEqual((change.base, change.put), (0, make_customers(5, c1="")))
        self.assertFalse(reply.is_current)

    def test_voter_that_skipped_a_reverted_change_sends_all_to_nodes_holding_it(self):
        self.accept(10, make_customers(5))
        self.accept(17, make_customers(5))
        change, reply = self.beat(15, 15)
        self.assertEqual(change.base, 0)
        self.assertFalse(reply.is_current)

    def test_node_with_uncertain_customers_receives_all_at_newest_version(self):
        self.accept(10, make_customers(5))
        change, reply = self.beat(10, -1)
        self.assertEqual((change.base, len(change.put)), (0, 5))
        self.assertFalse(reply.is_current)

    def test_node_without_customers_is_current_if_none_ever_existed(self):
        self.accept(10, None)
        change, reply = self.beat(10, 0)
        self.assertIsNone(change)
        self.assertTrue(reply.is_current)

    def test_voter_without_customers_removes_those_held_by_node(self):
        self.accept(20, None)
        change, reply = self.beat(15, 15)
        self.assertEqual(change, CustomersChange())
        self.assertFalse(reply.is_current)


class NodeTest(unittest.TestCase):
    def setUp(self):
        self.world = World(seed=6)
        self.world.start_node("n0", "dc0")
        self.world.advance(2)
        self.put(make_customers(5))

    def put(self, customers):
        self.world.accept(SERVED, customers=customers)
        self.world.advance(PUSH)

    @property
    def view(self):
        return self.world.nodes["n0"].view

    def find(self, key):
        found = find_customer(self.view.customers, key)
        return found and found.name

    def assert_holds(self, customers):
        self.assertEqual(sorted(self.view.customers.by_name), [c.name for c in customers])
        self.assertEqual(tuple(sorted(self.view.customers.by_name.values(), key=str)), customers)

    def receive(self, message):
        self.world.step("n0", MessageReceived(self.view.voter, message))

    def test_change_reaches_node_within_one_push(self):
        self.assertEqual(self.find(b"k3"), "c3")
        self.put(make_customers(5, c3="new", c4=""))
        self.assertEqual([self.find(key) for key in (b"k3", b"new", b"k4")], [None, "c3", None])

    def test_each_change_is_reported_once_with_names_and_counts(self):
        reported = []

        def step(event):
            effects = step_view(self.view, event, 0.0, self.world.rng)
            reported.extend(effect for effect in effects if isinstance(effect, CustomersChanged))

        version = self.view.version
        history = CustomerHistory()
        update_customers(history, make_customers(5), version)
        update_customers(history, make_customers(5, c3="new", c4=""), version + 1)
        change = make_customers_change(history, version)
        message = ConfigurationChanged(version + 1, SERVED, watch=1, customers=change)
        for _ in range(2):
            step(MessageReceived(self.view.voter, message))
        whole = ConfigurationChanged(
            version + 2, SERVED, watch=1, customers=make_customers_change(history, 0)
        )
        step(MessageReceived(self.view.voter, whole))
        self.assertEqual(reported, [CustomersChanged(("c3", "c4"), 4, 4)])
        none = ConfigurationChanged(version + 3, SERVED, watch=1)
        step(MessageReceived(self.view.voter, none))
        self.assertEqual(reported[1:], [CustomersChanged(("c0", "c1", "c2", "c3"), None, None)])

    def test_no_customers_need_no_key_and_empty_list_accepts_no_key(self):
        self.put(())
        self.assertEqual(self.view.customers.by_name, {})
        self.put(None)
        self.assertIsNone(self.view.customers)

    def test_lost_push_is_repeated_after_next_heartbeat(self):
        self.world.loss = 1.0
        self.put(make_customers(5, c3="new"))
        self.assertEqual(self.find(b"k3"), "c3")
        self.world.loss = 0.0
        self.world.advance(2 * TIMES.heartbeat)
        self.assert_holds(make_customers(5, c3="new"))

    def test_node_moving_to_restarted_voter_misses_no_change(self):
        self.world.cut.add(frozenset(("n0", self.view.voter)))
        self.put(make_customers(5, c1="", c2="new"))
        for voter in self.world.voters:
            self.world.voters[voter] = self.world.start_voter(voter)
        self.world.advance(10)
        self.assert_holds(make_customers(5, c1="", c2="new"))

    def test_change_for_other_customers_is_rejected_and_all_are_requested(self):
        view = self.view
        held = dict(view.customers.by_name)
        wrong = CustomersChange(view.version, make_customers(0, c2="new"), ("c7",), True, 123)
        message = ConfigurationChanged(
            view.version + 1, (), base=view.version, watch=view.watch_sequence, customers=wrong
        )
        version = view.version
        self.receive(message)
        self.assertEqual((view.customers.by_name, view.version), (held, version))
        self.assertTrue(view.has_uncertain_customers)
        self.world.advance(2 * TIMES.heartbeat)
        self.assertFalse(view.has_uncertain_customers)
        self.assert_holds(make_customers(5))

    def test_difference_for_version_of_earlier_run_is_not_applied(self):
        version = self.view.version
        message = ConfigurationChanged(
            version + 1, (), watch=1, customers=CustomersChange(version, (), (), True, 1)
        )
        self.world.loss = 1.0
        self.world.start_node("n0", "dc0")
        self.receive(message)
        self.assertEqual((self.view.version, self.view.customers), (0, None))

    def test_reply_to_outdated_heartbeat_does_not_apply_later_version(self):
        view = self.view
        version = view.version
        for stated, expected in ((version - 1, version), (version, version + 5)):
            view.attachment.unanswered[99] = SentHeartbeat(0.0, view.watch_sequence, stated)
            self.receive(HeartbeatReply(99, version + 5, 0.0, is_current=True))
            self.assertEqual(view.version, expected)

    def test_new_watch_receives_no_customers_again(self):
        sent = []
        send = self.world.send
        self.world.send = lambda name, effect: (sent.append(effect.message), send(name, effect))
        self.world.step("n0", ServiceWatched(SERVICES[1]))
        self.world.advance(PUSH)
        pushes = [message for message in sent if isinstance(message, ConfigurationChanged)]
        self.assertEqual([push.base for push in pushes], [0])
        self.assertEqual([push.customers.put for push in pushes], [()])
        self.assertTrue(self.view.is_complete)


if __name__ == "__main__":
    unittest.main()
