"""Measure the cost of membership for a voter."""

import gc
import time
import tracemalloc

from bendwind_bench.slopes_membership.fixture import (
    TARGET_NODES,
    VOTERS,
    RegistryFixture,
    apply_event,
    attach_node,
    build_registry_fixture,
    find_service,
    flush_pushes,
    make_instance,
    make_upstream,
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

NODE_COUNTS = (1_500, 3_750, 7_500, 15_000)
WATCHER_COUNTS = (10, 46, 230, 1_000)
DATA_CENTRE_NODES = 2_100
BATCH = 300


def exchange_heartbeats(fixture: RegistryFixture) -> int:
    """Process encoded heartbeats and encode the replies, as a voter does."""
    attached_nodes = fixture.nodes[: len(fixture.watched)][:BATCH]
    sequence = next(fixture.sequences)
    for node in attached_nodes:
        heartbeat = Heartbeat(node, sequence, 7, 1, 1, compute_watch_digest(fixture, node))
        received = decode(encode(heartbeat))
        for effect in apply_event(fixture, MessageReceived(node.name, received)):
            encode(effect.message)
    return len(attached_nodes)


def compute_watch_digest(fixture: RegistryFixture, node: Instance) -> int:
    """Return the watch digest that an up-to-date node sends in its heartbeats."""
    digest = 0
    for service in fixture.watched[node.name]:
        digest ^= fixture.registry.services[service].digest
    return digest


def measure_registries() -> dict[str, Slope]:
    """Measure memory, heartbeats and ticks for growing deployments."""
    memory, heartbeats, ticks_us = [], [], []
    for size in NODE_COUNTS:
        gc.collect()
        tracemalloc.start()
        fixture = build_registry_fixture(size)
        gc.collect()
        memory.append(Point(size, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        heartbeats.append(
            Point(size, time_median(lambda fixture=fixture: exchange_heartbeats(fixture)))
        )
        ticks_us.append(
            Point(size, time_median(lambda fixture=fixture: len(apply_event(fixture, Tick())) or 1))
        )
    return {
        "voter_memory": fit("bytes", "node of the deployment", memory),
        "voter_heartbeat": fit("us each, codec included", "node of the deployment", heartbeats),
        "voter_tick": fit("us each", "node of the deployment", ticks_us),
    }


def measure_watchers() -> dict[str, Slope]:
    """Measure the cost of pushing a changed upstream and a changed service to their watchers."""
    updates, changes, memory = [], [], []
    for count in WATCHER_COUNTS:
        fixture = build_registry_fixture(1_500)
        service = fixture.services[0]
        gc.collect()
        tracemalloc.start()
        for index in range(count):
            node = make_instance(50_000 + index)
            fixture.watched[node.name] = (service,)
            attach_node(fixture, node)
        flush_pushes(fixture)
        gc.collect()
        memory.append(Point(count, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        count = len(fixture.registry.services[service].watchers)
        updates.append(Point(count, time_median(lambda s=fixture, n=service: push_upstream(s, n))))
        changes.append(Point(count, time_median(lambda s=fixture, n=service: push_service(s, n))))
    return {
        "voter_watcher_memory": fit("bytes", "attached node watching one service", memory),
        "voter_upstream_change": fit("us for all watchers", "watcher", updates),
        "voter_service_change": fit("us for all watchers", "watcher", changes),
    }


def push_upstream(fixture: RegistryFixture, service: str) -> int:
    """Change one upstream and push it; one message is encoded for all watchers."""
    node = next(node for node in fixture.nodes if find_service(fixture, node) == service)
    sequence = next(fixture.sequences)
    upstream = make_upstream(node, service)
    announce = Announce(
        node.name, node.incarnation, sequence, (replace_sequence(upstream, sequence),)
    )
    apply_event(fixture, MessageReceived(node.name, announce))
    encode_messages(apply_event(fixture, Tick()))
    return 1


def replace_sequence(upstream: Upstream, sequence: int) -> Upstream:
    """Return the upstream with another sequence of its announcement."""
    return Upstream(
        upstream.name, upstream.service, upstream.owner, 12, 200, upstream.state, sequence
    )


def push_service(fixture: RegistryFixture, service: str) -> int:
    """Change one service and push it; a message is encoded for each watcher."""
    configuration = fixture.registry.configuration
    version = configuration.version + 1
    changed = Service(service, ("*",), longest_wait_ms=1000.0 + version)
    services = tuple(changed if old.name == service else old for old in configuration.services)
    apply_event(fixture, ConfigurationAccepted(Configuration(version, services)))
    while fixture.registry.outdated_clients:
        encode_messages(apply_event(fixture, Tick()))
    return 1


def encode_messages(effects: list) -> None:
    """Encode the messages that the effects send."""
    for effect in effects:
        if isinstance(effect, SendTo):
            encode(effect.message)


def measure_data_centre() -> dict[str, float]:
    """Measure a voter while a data centre's nodes are reported dead, and then alive again."""
    fixture = build_registry_fixture(TARGET_NODES)
    reported_nodes = fixture.nodes[-DATA_CENTRE_NODES:]
    result = {}
    for name, is_alive in (("lost", False), ("returned", True)):
        started = time.process_time()
        sequence = next(fixture.sequences)
        for node in reported_nodes:
            upstreams = (make_upstream(node, find_service(fixture, node)),)
            state = MemberState(node, VOTERS[1], sequence, is_alive, 1, upstreams)
            apply_event(fixture, MessageReceived(VOTERS[1], MemberGossip(VOTERS[1], (state,))))
        pushes, ticks = 0, 0
        registry = fixture.registry
        while registry.dirty_services or registry.urgent_services:
            effects = apply_event(fixture, Tick())
            encode_messages(effects)
            pushes += len(effects)
            ticks += 1
        result[f"{name}_pushes"] = pushes
        result[f"{name}_flushes"] = ticks
        result[f"{name}_processor_s"] = time.process_time() - started
    return result
