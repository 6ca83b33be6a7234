"""Measure the cost of a change of one route for a voter and a node, for growing sets of routes."""

import itertools
from collections.abc import Iterator

from msgspec.structs import replace

from bendwind_bench.slopes_membership.fixture import (
    LEASE_TIMES,
    VOTERS,
    RegistryFixture,
    apply_event,
    build_registry_fixture,
)
from bendwind_bench.slopes_membership.slope import Point, Slope, decode, encode, fit, time_median
from bendwind_core.membership import (
    ConfigurationAccepted,
    ConfigurationChanged,
    MessageReceived,
    NodeView,
    SendTo,
    Tick,
    VoterPlace,
    Watch,
    create_node_view,
    step_view,
)
from bendwind_core.world import Route, Routing, Rule, SplitPart

ROUTE_COUNTS = (100, 400, 1_400)
NODES = 500
CHANGES = 50


def make_routes(count: int) -> tuple[Route, ...]:
    """Make routes of typical size."""
    return tuple(
        Route(
            f"route-{number}",
            f"host-{number % 200}.example",
            f"/part-{number}/",
            (SplitPart(f"service-{number % 40:03d}"),),
            Rule("*", longest_wait_ms=800.0, attempts=2, name=f"route-{number}"),
        )
        for number in range(count)
    )


def accept_change(
    fixture: RegistryFixture, routes: tuple[Route, ...], version: int
) -> dict[str, bytes]:
    """Let a voter accept a version with one other route; return what it sends to each node."""
    parts = (SplitPart(f"service-{version % 40:03d}", version),)
    routes = (replace(routes[0], parts=parts), *routes[1:])
    configuration = replace(
        fixture.registry.configuration, version=version, routing=Routing(version, routes)
    )
    apply_event(fixture, ConfigurationAccepted(configuration))
    sent = [effect for effect in apply_event(fixture, Tick()) if isinstance(effect, SendTo)]
    return {
        effect.to: encode(effect.message)
        for effect in sent
        if isinstance(effect.message, ConfigurationChanged)
    }


def attach_view(fixture: RegistryFixture) -> NodeView:
    """Return the view of the first node, which holds all that the voter does."""
    node = fixture.nodes[0]
    services = fixture.watched[node.name]
    place = (VoterPlace(VOTERS[0]),)
    view = create_node_view(node, place, LEASE_TIMES, 0.0, fixture.rng, services)
    watch = Watch(node.name, services, node.incarnation, 1)
    for effect in apply_event(fixture, MessageReceived(node.name, watch)):
        step_view(view, MessageReceived(VOTERS[0], effect.message), 0.5, fixture.rng)
    return view


def receive_pushes(fixture: RegistryFixture, view: NodeView, pushes: Iterator[bytes]) -> int:
    """Decode and apply pushes at a node."""
    for push in itertools.islice(pushes, CHANGES):
        step_view(view, MessageReceived(VOTERS[0], decode(push)), 0.5, fixture.rng)
    return CHANGES


def measure_route_changes() -> dict[str, Slope]:
    """Measure processor time and bytes of a change of one route."""
    voters, nodes, sizes = [], [], []
    for count in ROUTE_COUNTS:
        fixture = build_registry_fixture(NODES)
        routes = make_routes(count)
        accept_change(fixture, routes, 8)
        view = attach_view(fixture)
        versions = itertools.count(9)
        sent = []

        def change(f=fixture, r=routes, v=versions, s=sent) -> int:
            s.extend(accept_change(f, r, next(v))[f.nodes[0].name] for _ in range(CHANGES))
            return CHANGES

        voters.append(Point(count, time_median(change)))
        pushes = iter(sent)
        nodes.append(
            Point(count, time_median(lambda f=fixture, v=view, p=pushes: receive_pushes(f, v, p)))
        )
        sizes.append(Point(count, len(sent[-1])))
        assert view.version == next(versions) - 1, "a push was not applied"
    return {
        "voter_route_change": fit(f"us for {NODES // len(VOTERS)} nodes", "route", voters),
        "node_route_change": fit("us each, codec included", "route", nodes),
        "bytes_route_change": fit("bytes", "route", sizes),
    }
