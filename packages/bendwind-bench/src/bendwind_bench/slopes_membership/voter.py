"""Measure what membership costs a voter."""

import gc
import time
import tracemalloc

from bendwind_bench.slopes_membership.scene import (
    TARGET_NODES,
    VOTERS,
    Scene,
    attach,
    build_scene,
    deliver,
    make_instance,
    make_upstream,
    service_of,
    settle,
)
from bendwind_bench.slopes_membership.slope import Point, Slope, decode, encode, fit, time_median
from bendwind_core.membership import (
    Announce,
    ConfigurationAccepted,
    Heartbeat,
    MemberGossip,
    MemberState,
    MessageReceived,
    SendTo,
    Tick,
)
from bendwind_core.world import Configuration, Instance, Service, Upstream

SIZES = (1_500, 3_750, 7_500, 15_000)
WATCHER_COUNTS = (10, 46, 230, 1_000)
DATA_CENTRE = 2_100
BATCH = 300


def beat_nodes(scene: Scene) -> int:
    """Take heartbeats as bytes and reply in bytes, as a voter does."""
    own = scene.nodes[: len(scene.watched)][:BATCH]
    sequence = next(scene.beats)
    for node in own:
        beat = Heartbeat(node, sequence, 7, 1, 1, digest_for(scene, node))
        received = decode(encode(beat))
        for effect in deliver(scene, MessageReceived(node.name, received)):
            encode(effect.message)
    return len(own)


def digest_for(scene: Scene, node: Instance) -> int:
    """Return the digest that a node in step with the voter states."""
    digest = 0
    for service in scene.watched[node.name]:
        digest ^= scene.registry.services[service].digest
    return digest


def measure_registries() -> dict[str, Slope]:
    """Measure memory and heartbeats over growing deployments."""
    memory, beats, expiry = [], [], []
    for size in SIZES:
        gc.collect()
        tracemalloc.start()
        scene = build_scene(size)
        gc.collect()
        memory.append(Point(size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        beats.append(Point(size, time_median(lambda scene=scene: beat_nodes(scene))))
        expiry.append(
            Point(size, time_median(lambda scene=scene: len(deliver(scene, Tick())) or 1))
        )
    return {
        "voter_memory": fit("bytes", "node of the deployment", memory),
        "voter_heartbeat": fit("us each, codec included", "node of the deployment", beats),
        "voter_tick": fit("us each", "node of the deployment", expiry),
    }


def measure_watchers() -> dict[str, Slope]:
    """Measure what a changed upstream and a changed service cost for their watchers."""
    updates, changes, memory = [], [], []
    for count in WATCHER_COUNTS:
        scene = build_scene(1_500)
        service = scene.services[0]
        gc.collect()
        tracemalloc.start()
        for index in range(count):
            node = make_instance(50_000 + index)
            scene.watched[node.name] = (service,)
            attach(scene, node)
        settle(scene)
        gc.collect()
        memory.append(Point(count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        count = len(scene.registry.services[service].watchers)
        updates.append(Point(count, time_median(lambda s=scene, n=service: push_upstream(s, n))))
        changes.append(Point(count, time_median(lambda s=scene, n=service: push_service(s, n))))
    return {
        "voter_watcher_memory": fit("bytes", "attached node watching one service", memory),
        "voter_upstream_change": fit("us for all watchers", "watcher", updates),
        "voter_service_change": fit("us for all watchers", "watcher", changes),
    }


def push_upstream(scene: Scene, service: str) -> int:
    """Change one upstream and push it, encoding one message for all."""
    node = next(node for node in scene.nodes if service_of(scene, node) == service)
    sequence = next(scene.beats)
    upstream = make_upstream(node, service)
    announce = Announce(node.name, node.incarnation, sequence, (renumber(upstream, sequence),))
    deliver(scene, MessageReceived(node.name, announce))
    encode_all(deliver(scene, Tick()))
    return 1


def renumber(upstream: Upstream, sequence: int) -> Upstream:
    """Return the upstream as announced under another sequence."""
    return Upstream(
        upstream.name, upstream.service, upstream.owner, 12, 200, upstream.state, sequence
    )


def push_service(scene: Scene, service: str) -> int:
    """Change one service and push it, encoding a message for each watcher."""
    configuration = scene.registry.configuration
    version = configuration.version + 1
    changed = Service(service, ("*",), longest_wait_ms=1000.0 + version)
    services = tuple(changed if old.name == service else old for old in configuration.services)
    deliver(scene, ConfigurationAccepted(Configuration(version, services)))
    while scene.registry.outdated_clients:
        encode_all(deliver(scene, Tick()))
    return 1


def encode_all(effects: list) -> None:
    """Encode the messages of effects."""
    for effect in effects:
        if isinstance(effect, SendTo):
            encode(effect.message)


def measure_data_centre() -> dict[str, float]:
    """Measure what a voter does when a data centre's nodes are reported dead and come back."""
    scene = build_scene(TARGET_NODES)
    others = scene.nodes[-DATA_CENTRE:]
    result = {}
    for name, is_alive in (("lost", False), ("returned", True)):
        started = time.process_time()
        beat = next(scene.beats)
        for node in others:
            upstreams = (make_upstream(node, service_of(scene, node)),)
            state = MemberState(node, VOTERS[1], beat, is_alive, 1, upstreams)
            deliver(scene, MessageReceived(VOTERS[1], MemberGossip(VOTERS[1], (state,))))
        pushes, ticks = 0, 0
        registry = scene.registry
        while registry.dirty_services or registry.urgent_services:
            effects = deliver(scene, Tick())
            encode_all(effects)
            pushes += len(effects)
            ticks += 1
        result[f"{name}_pushes"] = pushes
        result[f"{name}_flushes"] = ticks
        result[f"{name}_processor_s"] = time.process_time() - started
    return result
