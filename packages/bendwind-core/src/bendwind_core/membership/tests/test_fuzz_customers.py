"""Check that nodes hold exactly the customers of their version under message faults."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, precondition, rule

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.customers import find_customer
from bendwind_core.membership.tests.fakes import SERVICES, TIMES, VOTERS
from bendwind_core.membership.tests.faulty_world import NODE, FaultyWorldMachine
from bendwind_core.world import Customer, Service, digest_key

NAMES = ("c0", "c1", "c2", "c3", "c4")
KEYS = ("k0", "k1", "k2", "k3", "k4", "k5", "k6")
SERVED = (Service(SERVICES[0], ("*",)),)
# Once no message is lost any more, a node that left its voter attaches to one, reports what it
# holds and is sent what it lacks. This takes up to eight heartbeats.
SETTLE_BEATS = 8


def make_customers(held):
    """Return the customers of a map from keys to customer names; an empty name is ignored."""
    names = sorted({name for name in held.values() if name})
    keys = {name: [key for key in sorted(held) if held[key] == name] for name in names}
    return tuple(
        Customer(name, tuple(digest_key(key.encode()) for key in keys[name])) for name in names
    )


class CustomersMachine(FaultyWorldMachine):
    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.start_world(seed)
        self.held = {"k0": "c0", "k1": "c1"}
        self.before = dict(self.held)
        self.accept(self.held)

    def accept(self, held):
        customers = None if held is None else make_customers(held)
        if self.world.accept(SERVED, customers=customers):
            self.before, self.held = self.held, held

    @rule(key=st.sampled_from(KEYS), name=st.sampled_from((*NAMES, "")))
    def give_key(self, key, name):
        """Assign a key to a customer, move it from another customer, or withdraw it."""
        held = dict(self.held or {})
        held.pop(key, None)
        self.accept(held | {key: name} if name else held)

    @rule(name=st.sampled_from(NAMES))
    def end_customer(self, name):
        self.accept({key: other for key, other in (self.held or {}).items() if other != name})

    @rule()
    def restore_previous(self):
        """Revert to the previous customers, which a voter that skips a version cannot detect."""
        self.accept(self.before)

    @rule(held=st.sampled_from((None, {})))
    def end_all(self, held):
        self.accept(held)

    @rule(changes=st.lists(st.tuples(st.sampled_from(KEYS), st.sampled_from(NAMES)), max_size=6))
    def change_quickly(self, changes):
        """Accept versions faster than voters receive each, so that voters skip some."""
        for key, name in changes:
            self.accept((self.held or {}) | {key: name})
            self.world.advance(0.05)
            self.check()

    @rule(node=NODE, service=st.sampled_from(SERVICES), delay=st.sampled_from((0.5, 1.2)))
    def restart_node_that_watches(self, node, service, delay):
        """Deliver messages sent to an older run of a node to a newer run."""
        self.world.heal()
        self.world.longest_delay = delay
        for _ in range(2):
            self.watch(node, service)
            self.pass_time(0.4)
            self.restart_node(node)
            self.watch(node, service)
            self.pass_time(0.4)

    @rule(key=st.sampled_from(KEYS), name=st.sampled_from(NAMES), wait=st.sampled_from((0.2, 0.5)))
    def restart_voters_between(self, key, name, wait):
        """Deliver heartbeats to restarted voters that never held a version in between."""
        self.world.heal()
        self.pass_time(2.0)
        self.world.longest_delay = 1.2
        self.pass_time(wait)
        known = len(self.world.accepted) - 1
        self.give_key(key, name)
        self.pass_time(wait)
        for voter in VOTERS:
            self.world.voters[voter] = self.world.start_voter(voter)
            self.world.apply(voter, known)
        self.restore_previous()
        self.pass_time(2.0)

    @precondition(lambda self: hasattr(self, "world"))
    @invariant()
    def check(self):
        truths = {config.version: config.customers for _, config in self.world.accepted}
        for name, node in self.world.nodes.items():
            view = node.view
            assert view.version >= node.highest, f"{name} went back from {node.highest}"
            node.highest = view.version
            self.check_table(view.customers, truths[view.version], f"{name} at {view.version}")

    def check_table(self, table, truth, place):
        if truth is None:
            assert table is None, f"{place} requires keys"
            return
        assert table is not None, f"{place} requires no key"
        held = tuple(table.by_name[name] for name in sorted(table.by_name))
        assert held == truth, f"{place} holds {held}, not {truth}"
        owners = {key: customer.name for customer in truth for key in customer.keys}
        found = {key: customer.name for key, customer in table.by_key.items()}
        assert found == owners, f"{place}: keys of {found}, not of {owners}"
        for key in KEYS:
            customer = find_customer(table, key.encode())
            assert (customer and customer.name) == owners.get(digest_key(key.encode())), place

    @rule()
    def settle(self):
        self.world.heal()
        self.pass_time(SETTLE_BEATS * TIMES.heartbeat)
        newest = self.world.accepted[-1][1].version
        for name, node in self.world.nodes.items():
            assert self.world.is_fresh(name), f"{name} stays stale"
            assert node.view.version == newest, f"{name} stays at {node.view.version}"
            assert not node.view.has_uncertain_customers, f"{name} stays uncertain of its customers"

    def teardown(self):
        if hasattr(self, "world"):
            self.settle()


class FuzzCustomers(CustomersMachine.TestCase):
    settings = settings(max_examples=settings().max_examples)


if __name__ == "__main__":
    unittest.main()
