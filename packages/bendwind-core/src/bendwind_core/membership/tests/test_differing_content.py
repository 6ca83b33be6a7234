"""Check what becomes of a node that holds something else than its version contains."""

import unittest

from msgspec.structs import replace

from bendwind_core.membership import (
    ConfigurationApplied,
    ConfigurationChanged,
    ConfigurationDiffers,
    ConfigurationDropped,
    HeartbeatReply,
    MessageReceived,
)
from bendwind_core.membership.routing_changes import HeldRouting, RoutingChange, digest_routing
from bendwind_core.membership.tests.fakes import SERVICES, TIMES
from bendwind_core.membership.tests.two_voters import BRIEF, KEPT, TwoVotersTest
from bendwind_core.world import CallerLimits, Routing, Service


class DifferingContentTest(TwoVotersTest):
    def hold(self, routes):
        """Let the node hold other routes under its version, as after a fault."""
        self.is_checked = False
        cache = self.view.cache
        routing = replace(cache.content.routing.routing, routes=routes)
        held = HeldRouting(routing, digest_routing(routing))
        cache.content = replace(cache.content, routing=held)
        self.effects.clear()

    def hold_service(self, service):
        self.is_checked = False
        cache = self.view.cache
        cache.content = replace(cache.content, services={service.name: service}, services_digest=7)
        self.effects.clear()

    # Failure: a node that held other routes than its version contains kept them, with a proof,
    # until the same routes changed again.
    def test_wrong_routes_are_found_and_replaced_at_the_next_heartbeat(self):
        self.hold((KEPT, BRIEF))
        self.advance(1.2 * TIMES.heartbeat)
        self.assertIn(ConfigurationDiffers(1), self.effects)
        self.assertEqual(self.view.routing.routes, (KEPT,))
        self.assertTrue(self.view.is_fresh(self.now))

    # Failure: the tables that requests go by are made anew when a version is applied, so that a
    # repair of the version in force did not reach them.
    def test_replaced_routes_are_reported_as_applied(self):
        self.hold((KEPT, BRIEF))
        self.advance(1.2 * TIMES.heartbeat)
        self.assertIn(ConfigurationApplied(1), self.effects)

    def test_replaced_service_is_reported_as_applied(self):
        self.hold_service(Service(SERVICES[0], ("other-*",)))
        self.advance(1.2 * TIMES.heartbeat)
        self.assertIn(ConfigurationApplied(1), self.effects)

    def test_node_that_holds_other_routes_gets_no_proof(self):
        confirmed_at = self.view.confirmed_at
        self.hold((KEPT, BRIEF))
        self.deaf.add("n0")
        self.advance(1.2 * TIMES.heartbeat)
        replies = [one for one in self.held if isinstance(one[2], HeartbeatReply)]
        self.deaf.clear()
        for sender, to, message in replies:
            self.deliver(sender, to, message)
        self.assertEqual(self.view.confirmed_at, confirmed_at)

    def push(self, **fields):
        change = RoutingChange(2, CallerLimits(), (BRIEF,), (), is_whole=False)
        push = ConfigurationChanged(2, (), base=1, watch=1, routing=change)
        push = replace(push, customers=replace(push.customers, base=1), **fields)
        self.is_checked = False
        self.effects.clear()
        self.step("n0", MessageReceived("v0", push))

    def test_change_with_another_result_than_stated_is_dropped(self):
        self.push(content=7)
        self.assertIn(ConfigurationDropped(2, "another content results"), self.effects)
        self.assertEqual((self.view.version, self.view.routing.routes), (1, (KEPT,)))

    # A process of a former release states no digest, so that its base has to be the version held.
    def test_change_without_a_digest_is_applied_to_its_base_only(self):
        self.push()
        self.assertEqual(self.view.version, 2)
        self.assertEqual(self.view.routing, Routing(2, (KEPT, BRIEF)))
        self.push(version=4, base=1)
        self.assertEqual(self.view.version, 2)
        self.assertIn(ConfigurationDropped(4, "base 1, not 2"), self.effects)

    # Failure: a release that computes other digests would make each node of another release ask
    # for everything at every heartbeat.
    def test_digests_of_another_release_are_not_compared(self):
        registry = self.registries["v0"]
        registry.shared_digest ^= 1
        self.advance(1.2 * TIMES.heartbeat)
        self.assertIn(ConfigurationDiffers(1), self.effects)
        self.effects.clear()
        self.advance(5 * TIMES.heartbeat)
        self.assertEqual(self.effects.count(ConfigurationDiffers(1)), 0)
        self.assertTrue(self.view.is_fresh(self.now))
        self.define(2, (KEPT, BRIEF))
        self.accept("v0", 2)
        self.accept("v1", 2)
        self.advance(2 * TIMES.heartbeat)
        self.assertEqual(self.view.version, 2)


if __name__ == "__main__":
    unittest.main()
