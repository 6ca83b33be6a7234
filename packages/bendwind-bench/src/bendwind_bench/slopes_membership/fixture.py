"""Build the registry of a voter with the nodes of a deployment."""

import dataclasses
import itertools
import random
from collections.abc import Iterable

from bendwind_core.membership import (
    Announce,
    ConfigurationAccepted,
    Heartbeat,
    LeaseTimes,
    MemberGossip,
    MemberState,
    MessageReceived,
    QuorumConfirmed,
    Tick,
    VoterPlace,
    VoterRegistry,
    Watch,
    create_voter_registry,
    step_registry,
)
from bendwind_core.world import Configuration, Instance, Rule, Service, Upstream, UpstreamState

TARGET_NODES = 15_000
TARGET_SERVICES = 650
NODE_COUNTS = (1_500, 3_750, 7_500, 15_000)
VOTERS = tuple(f"voter-{index}" for index in range(5))
WATCHED_SERVICES = 10
LEASE_TIMES = LeaseTimes()


@dataclasses.dataclass(slots=True)
class RegistryFixture:
    """Hold a voter's registry with the nodes of a deployment; a fifth are attached to it."""

    registry: VoterRegistry
    nodes: tuple[Instance, ...]
    services: tuple[str, ...]
    watched: dict[str, tuple[str, ...]]
    rng: random.Random
    sequences: itertools.count


def make_instance(index: int) -> Instance:
    """Make the instance that a node runs on."""
    return Instance(
        f"node-{index:05d}", f"data-centre-{index % 7}", "10.20.30.40", 7101, 1764685000123
    )


def make_upstream(owner: Instance, service: str, state=UpstreamState.READY) -> Upstream:
    """Make the upstream on the instance of a node."""
    return Upstream(f"{service}-{owner.name}", service, owner, 12, 200, state, 1)


def make_service(name: str) -> Service:
    """Make a service of typical size."""
    rules = (
        Rule("/issue/*", ("POST",), "never", True),
        Rule("/*", ("GET",), longest_wait_ms=800.0),
    )
    return Service(name, (f"{name}-*",), (f"{name}.example",), rules)


def build_registry_fixture(size: int) -> RegistryFixture:
    """Build a registry by the events that fill it in operation."""
    rng = random.Random(size)
    count = max(1, TARGET_SERVICES * size // TARGET_NODES)
    services = tuple(f"service-{index:03d}" for index in range(count))
    registry = create_voter_registry(VOTERS[0], tuple(map(VoterPlace, VOTERS)), LEASE_TIMES, 0.0)
    nodes = tuple(make_instance(index) for index in range(size))
    attached_nodes = nodes[: size // len(VOTERS)]
    watched = {
        node.name: tuple(rng.sample(services, min(WATCHED_SERVICES, count)))
        for node in attached_nodes
    }
    fixture = RegistryFixture(registry, nodes, services, watched, rng, itertools.count(3))
    configuration = Configuration(7, tuple(make_service(name) for name in services))
    apply_event(fixture, ConfigurationAccepted(configuration))
    apply_event(fixture, QuorumConfirmed(0.0))
    add_members(fixture, nodes[len(attached_nodes) :])
    for node in attached_nodes:
        attach_node(fixture, node)
    flush_pushes(fixture)
    return fixture


def find_service(fixture: RegistryFixture, node: Instance) -> str:
    """Return the service of the node's upstream."""
    return fixture.services[int(node.name[-5:]) % len(fixture.services)]


def add_members(fixture: RegistryFixture, nodes: Iterable[Instance]) -> None:
    """Add nodes that are registered with other voters, by gossip."""
    for index, node in enumerate(nodes):
        voter = VOTERS[1 + index % (len(VOTERS) - 1)]
        upstreams = (make_upstream(node, find_service(fixture, node)),)
        state = MemberState(node, voter, 1, True, 1, upstreams)
        apply_event(fixture, MessageReceived(voter, MemberGossip(voter, (state,))))


def attach_node(fixture: RegistryFixture, node: Instance) -> None:
    """Attach a node with its upstream and the services that it watches."""
    upstreams = (make_upstream(node, find_service(fixture, node)),)
    heartbeat = Heartbeat(node, 1, -1, 1, 1)
    watch = Watch(node.name, fixture.watched[node.name], node.incarnation, 1)
    for message in (heartbeat, Announce(node.name, node.incarnation, 1, upstreams), watch):
        apply_event(fixture, MessageReceived(node.name, message))
    apply_event(fixture, MessageReceived(node.name, Heartbeat(node, 2, 7, 1, 1)))


def apply_event(fixture: RegistryFixture, event) -> list:
    """Apply an event to the registry at a fixed time and return the effects."""
    return step_registry(fixture.registry, event, 0.5, fixture.rng)


def flush_pushes(fixture: RegistryFixture) -> int:
    """Tick until nothing is left to push; return the number of messages sent."""
    registry = fixture.registry
    sent = 0
    while registry.dirty_services or registry.urgent_services or registry.outdated_clients:
        sent += len(apply_event(fixture, Tick()))
    return sent
