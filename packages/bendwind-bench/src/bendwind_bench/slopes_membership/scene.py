"""Fill a voter's registry with the nodes of a deployment."""

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
SIZES = (1_500, 3_750, 7_500, 15_000)
VOTERS = tuple(f"voter-{index}" for index in range(5))
WATCHED = 10
TIMES = LeaseTimes()


@dataclasses.dataclass(slots=True)
class Scene:
    """Hold a voter's registry with the nodes of a deployment; a fifth are its own."""

    registry: VoterRegistry
    nodes: tuple[Instance, ...]
    services: tuple[str, ...]
    watched: dict[str, tuple[str, ...]]
    rng: random.Random
    beats: itertools.count


def make_instance(index: int) -> Instance:
    """Make the instance of a node."""
    return Instance(
        f"node-{index:05d}", f"data-centre-{index % 7}", "10.20.30.40", 7101, 1764685000123
    )


def make_upstream(owner: Instance, service: str, state=UpstreamState.READY) -> Upstream:
    """Make the upstream beside a node."""
    return Upstream(f"{service}-{owner.name}", service, owner, 12, 200, state, 1)


def make_service(name: str) -> Service:
    """Make a service of usual size."""
    rules = (
        Rule("/issue/*", ("POST",), "never", True),
        Rule("/*", ("GET",), longest_wait_ms=800.0),
    )
    return Service(name, (f"{name}-*",), (f"{name}.example",), rules)


def build_scene(size: int) -> Scene:
    """Fill a registry by the events that would fill it."""
    rng = random.Random(size)
    count = max(1, TARGET_SERVICES * size // TARGET_NODES)
    services = tuple(f"service-{index:03d}" for index in range(count))
    registry = create_voter_registry(VOTERS[0], tuple(map(VoterPlace, VOTERS)), TIMES, 0.0)
    nodes = tuple(make_instance(index) for index in range(size))
    own = nodes[: size // len(VOTERS)]
    watched = {node.name: tuple(rng.sample(services, min(WATCHED, count))) for node in own}
    scene = Scene(registry, nodes, services, watched, rng, itertools.count(3))
    configuration = Configuration(7, tuple(make_service(name) for name in services))
    deliver(scene, ConfigurationAccepted(configuration))
    deliver(scene, QuorumConfirmed(0.0))
    add_members(scene, nodes[len(own) :])
    for node in own:
        attach(scene, node)
    settle(scene)
    return scene


def service_of(scene: Scene, node: Instance) -> str:
    """Return the service that the node's upstream serves."""
    return scene.services[int(node.name[-5:]) % len(scene.services)]


def add_members(scene: Scene, nodes: Iterable[Instance]) -> None:
    """Gossip nodes that other voters registered."""
    for index, node in enumerate(nodes):
        home = VOTERS[1 + index % (len(VOTERS) - 1)]
        upstreams = (make_upstream(node, service_of(scene, node)),)
        state = MemberState(node, home, 1, True, 1, upstreams)
        deliver(scene, MessageReceived(home, MemberGossip(home, (state,))))


def attach(scene: Scene, node: Instance) -> None:
    """Attach a node, with its upstream and what it watches."""
    upstreams = (make_upstream(node, service_of(scene, node)),)
    beat = Heartbeat(node, 1, -1, 1, 1)
    watch = Watch(node.name, scene.watched[node.name], node.incarnation, 1)
    for message in (beat, Announce(node.name, node.incarnation, 1, upstreams), watch):
        deliver(scene, MessageReceived(node.name, message))
    deliver(scene, MessageReceived(node.name, Heartbeat(node, 2, 7, 1, 1)))


def deliver(scene: Scene, event) -> list:
    """Step the registry at a fixed time."""
    return step_registry(scene.registry, event, 0.5, scene.rng)


def settle(scene: Scene) -> int:
    """Tick until nothing is left to push and return how many messages went out."""
    registry = scene.registry
    sent = 0
    while registry.dirty_services or registry.urgent_services or registry.outdated_clients:
        sent += len(deliver(scene, Tick()))
    return sent
