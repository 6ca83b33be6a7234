"""Check that no configuration and no upstream, whatever it holds, ends voters or nodes."""

import random
import unittest

from hypothesis import example, given
from hypothesis import strategies as st
from msgspec.structs import replace

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.admission.warm_up import WarmUpLimits, find_spacing
from bendwind_core.core import MAX_INT64, MAX_SLOTS
from bendwind_core.membership import DrainMarksAccepted, UpstreamAnnounced, WatchUpdate
from bendwind_core.membership.tests.fakes import SERVICES, World
from bendwind_core.messages import decode_message, encode_message
from bendwind_core.plans import PutRevision, encode_command
from bendwind_core.plans.tests.extremes import draw_commands, has_non_finite
from bendwind_core.quotas import QuotaBounds, create_share
from bendwind_core.routing.route_table import RouteTable, choose_part, find_route, set_routing
from bendwind_core.world import Configuration, Upstream, find_rule, may_serve

# Numbers that no message about an upstream may hold.
REFUSED = (-(2**70), -(2**63) - 1, -1, 2**63, 2**64, 2**70, 10**400)
NUMBERS = st.sampled_from((0, 1, MAX_SLOTS, MAX_INT64 - 1, MAX_INT64, *REFUSED))
NODES = ("n0", "n1")


class EncodedWorld(World):
    """Pass every message as the links do."""

    def send(self, name, effect):
        super().send(
            name, replace(effect, message=decode_message(encode_message(effect.message)).ok)
        )


def start_world():
    world = EncodedWorld(1)
    for name in NODES:
        world.start_node(name, name)
    world.advance(1)
    return world


def accept(world, command):
    """Accept the content of a command as the next version, the first service being watched."""
    services = command.services
    if services:
        services = (replace(services[0], name=SERVICES[0]), *services[1:])
    version = world.accepted[-1][1].version + 1
    configuration = Configuration(
        version, services, command.routing, ("a",) * (version % 2), command.customers
    )
    world.accepted.append((world.now, configuration))
    world.advance(1)
    return configuration


def use(configuration):
    """Do with a configuration what nodes and owners do for each request."""
    table, rng = RouteTable(), random.Random(1)
    set_routing(table, configuration.routing)
    for route in configuration.routing.routes:
        find_route(table, route.host.lower(), route.path_prefix)
        if route.parts and sum(part.weight for part in route.parts) > 0:
            choose_part(table, route, rng)
    for service in configuration.services:
        find_rule(service, "GET", "/a")
        may_serve(service, "a")
        if service.warm_up is not None:
            for limits in (WarmUpLimits(), WarmUpLimits(1.5, 2.0)):
                assert find_spacing(service.warm_up, limits) >= 0
    for customer in configuration.customers or ():
        create_share(customer, QuotaBounds(), 5)


class ExtremeContentTest(unittest.TestCase):
    @given(st.lists(draw_commands(PutRevision), min_size=1, max_size=3))
    def test_every_configuration_reaches_the_nodes_and_can_be_used(self, commands):
        world = start_world()
        for command in commands:
            is_refused = encode_command(command).is_error()
            self.assertEqual(is_refused, has_non_finite(command), command)
            if is_refused:
                continue
            configuration = accept(world, command)
            for name in NODES:
                self.assertEqual(world.nodes[name].view.version, configuration.version)
            use(configuration)

    @given(slots=NUMBERS, connections=NUMBERS, sequence=NUMBERS, born_ms=NUMBERS)
    @example(slots=MAX_SLOTS, connections=MAX_SLOTS, sequence=MAX_INT64, born_ms=MAX_INT64)
    @example(slots=2**64, connections=1, sequence=1, born_ms=0)
    @example(slots=4, connections=1, sequence=1, born_ms=2**64)
    def test_every_upstream_is_refused_or_known_beside_all_others(
        self, slots, connections, sequence, born_ms
    ):
        world = start_world()
        owner = world.nodes["n0"].view.instance
        extreme = Upstream(
            "u0", SERVICES[0], owner, slots, connections, sequence=sequence, born_ms=born_ms
        )
        update = WatchUpdate(SERVICES[0], (extreme,))
        if decode_message(encode_message(update)).is_error():
            out_of_range = {slots, connections, sequence, born_ms} & {*REFUSED}
            self.assertTrue(out_of_range or max(slots, connections) > MAX_SLOTS)
            return
        world.step("n0", UpstreamAnnounced(extreme))
        world.step(
            "n1",
            UpstreamAnnounced(Upstream("u1", SERVICES[0], world.nodes["n1"].view.instance, 4, 10)),
        )
        world.advance(2)
        for name in NODES:
            known = world.nodes[name].view.upstreams(SERVICES[0])
            self.assertEqual({"u0", "u1"}, {upstream.name for upstream in known})
        for name in world.voters:
            world.step(name, DrainMarksAccepted(frozenset(("n0", "")), frozenset(("u0",))))
        world.advance(1)


if __name__ == "__main__":
    unittest.main()
