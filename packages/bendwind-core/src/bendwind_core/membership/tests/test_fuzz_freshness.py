import itertools
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, precondition, rule

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.membership.tests.fakes import SERVICES, TIMES, VOTERS
from bendwind_core.membership.tests.faulty_world import NODE, NODES, FaultyWorldMachine
from bendwind_core.world import Route, Rule, Service, SplitPart

# Nodes are in contact once processes and links have been whole for this long.
CONTACT = 1.5 * TIMES.lease


class FreshnessMachine(FaultyWorldMachine):
    @initialize(seed=st.integers(0, 2**32), former=st.frozensets(st.sampled_from(VOTERS)))
    def start(self, seed, former):
        self.content = dict.fromkeys(SERVICES, 0)
        self.start_world(seed)
        self.world.former_voters = former

    @rule(service=st.sampled_from(SERVICES), number=st.integers(1, 9), ends=st.booleans())
    def accept_change(self, service, number, ends):
        content = self.content | {service: 0 if ends else number}
        services = tuple(Service(name, (str(value),)) for name, value in content.items() if value)
        if self.world.accept(services):
            self.content = content

    @rule(evacuated=st.sets(st.sampled_from(("dc0", "dc1", "dc2"))))
    def evacuate(self, evacuated):
        services = self.world.accepted[-1][1].services
        self.world.accept(services, tuple(sorted(evacuated)))

    @rule(number=st.integers(0, 3), part=st.sampled_from((None, *SERVICES)))
    def change_route(self, number, part):
        held = self.world.accepted[-1][1]
        place = f"/{number}/"
        routes = [route for route in held.routing.routes if route.path_prefix != place]
        if part is not None:
            routes.append(Route(place, "h", place, (SplitPart(part),), Rule("*")))
        self.world.accept(held.services, routes=tuple(routes))

    # A voter that lags skips the version between the two changes. The nodes attached to it hear of
    # that version from other voters.
    @rule(
        voter=st.sampled_from(VOTERS),
        number=st.integers(0, 3),
        part=st.sampled_from((None, *SERVICES)),
        wait=st.sampled_from((0.1, 0.6, 1.2)),
    )
    def change_route_there_and_back_behind_a_voter(self, voter, number, part, wait):
        before = self.world.accepted[-1][1]
        self.cut_voter_from_voters(voter)
        self.change_route(number, part)
        for _ in range(3):
            self.pass_time(wait)
            for one, other in itertools.permutations(NODES, 2):
                self.world.exchange_hello(one, other)
        self.world.accept(before.services, routes=before.routing.routes)
        self.heal()
        self.pass_time(1.0)

    @rule(number=st.integers(0, len(VOTERS) - 1))
    def cut_data_centre(self, number):
        inside = {f"v{number}", *(name for name in NODES if name.endswith(str(number)))}
        outside = {*VOTERS, *NODES} - inside
        self.world.cut |= {frozenset((one, other)) for one in inside for other in outside}

    @rule(number=st.integers(0, len(VOTERS) - 1), delay=st.sampled_from((0.02, 1.2)))
    def change_behind_a_cut(self, number, delay):
        self.world.heal()
        self.world.longest_delay = delay
        self.pass_time(2.0)
        self.cut_data_centre(number)
        self.accept_change(SERVICES[0], number + 1, False)
        self.pass_time(6.0)

    @rule(one=NODE, other=NODE)
    def exchange_hello(self, one, other):
        self.world.exchange_hello(one, other)

    @precondition(lambda self: hasattr(self, "world"))
    @invariant()
    def check(self):
        world = self.world
        for name, node in world.nodes.items():
            view = node.view
            assert view.version >= node.highest, f"{name} went back from {node.highest}"
            node.highest = view.version
            in_contact = world.now - world.disturbed_at >= CONTACT
            if in_contact:
                # Also without a proof: a service may be served by the version held.
                oldest = world.newest_before(world.now - TIMES.lease)
                assert view.version >= oldest, f"{name} goes by {view.version}, not {oldest}"
            if world.is_fresh(name):
                oldest = world.newest_before(world.now - TIMES.lease)
                assert view.version >= oldest, f"{name} serves {view.version}, not {oldest}"
            # At any time, in contact or not, with or without a proof.
            self.check_content(view)

    def check_content(self, view):
        configurations = [config for _, config in self.world.accepted]
        truth = next(config for config in configurations if config.version == view.version)
        assert view.evacuated == set(truth.evacuated), f"{view.evacuated} at {view.version}"
        assert view.routing.revision == truth.routing.revision, f"routes at {view.version}"
        routes = set(map(repr, view.routing.routes))
        assert routes == set(map(repr, truth.routing.routes)), f"routes at {view.version}"
        for service in view.cache.watched.keys() - view.pending:
            expected = truth.find_service(service)
            assert view.services.get(service) == expected, f"{service} at {view.version}"

    def teardown(self):
        if not hasattr(self, "world"):
            return
        self.world.heal()
        self.world.advance(12)
        newest = self.world.accepted[-1][1].version
        for name, node in self.world.nodes.items():
            assert self.world.is_fresh(name), f"{name} stays stale"
            assert node.view.version == newest, f"{name} stays at {node.view.version}"
            assert not node.view.pending, f"{name} never received {node.view.pending}"
            self.check_content(node.view)


class FuzzFreshness(FreshnessMachine.TestCase):
    settings = settings(max_examples=settings().max_examples)


if __name__ == "__main__":
    unittest.main()
