"""Measure the cost of membership for a node."""

import gc
import itertools
import random
import tracemalloc

from bendwind_bench.slopes_membership.fixture import (
    LEASE_TIMES,
    VOTERS,
    WATCHED_SERVICES,
    make_instance,
    make_service,
    make_upstream,
)
from bendwind_bench.slopes_membership.slope import Point, Slope, decode, encode, fit, time_median
from bendwind_bench.slopes_membership.voter import BATCH, replace_sequence
from bendwind_core.membership import (
    Announce,
    ConfigurationChanged,
    Heartbeat,
    HeartbeatReply,
    MemberDigest,
    MemberGossip,
    MemberState,
    MessageReceived,
    NodeView,
    SendTo,
    Tick,
    VoterPlace,
    Watch,
    WatchUpdate,
    create_node_view,
    step_view,
)

UPSTREAM_COUNTS = (6, 23, 50, 100)


def make_view(services: int, upstreams: int) -> NodeView:
    """Make the view of a node with this many upstreams of each watched service."""
    rng = random.Random(1)
    names = tuple(f"service-{index:03d}" for index in range(services))
    place = (VoterPlace(VOTERS[0]),)
    view = create_node_view(make_instance(0), place, LEASE_TIMES, 0.0, rng, names)
    configuration = ConfigurationChanged(7, tuple(map(make_service, names)), watch=1)
    step_view(view, MessageReceived(VOTERS[0], configuration), 0.0, rng)
    for name in names:
        members = tuple(make_upstream(make_instance(index), name) for index in range(upstreams))
        update = decode(encode(WatchUpdate(name, members)))
        step_view(view, MessageReceived(VOTERS[0], update), 0.0, rng)
    return view


def exchange_node_heartbeats(view: NodeView, rng: random.Random) -> int:
    """Send heartbeats and process their replies, with the encoding and decoding of a node."""
    for _ in range(BATCH):
        now = view.attachment.next_heartbeat_at
        for effect in step_view(view, Tick(), now, rng):
            if isinstance(effect, SendTo):
                heartbeat = effect.message
                encode(heartbeat)
                reply = encode(HeartbeatReply(heartbeat.sequence, 7, 130.0, True))
                received = MessageReceived(VOTERS[0], decode(reply))
                step_view(view, received, now, rng)
    return BATCH


def receive_updates(view: NodeView, sequence: itertools.count, rng: random.Random) -> int:
    """Process encoded updates of one upstream."""
    for _ in range(BATCH):
        upstream = replace_sequence(make_upstream(make_instance(0), "service-000"), next(sequence))
        update = encode(WatchUpdate("service-000", (upstream,), False))
        received = MessageReceived(VOTERS[0], decode(update))
        step_view(view, received, 1.0, rng)
    return BATCH


def measure_nodes() -> dict[str, Slope]:
    """Measure memory and processor time of a node for growing numbers of upstreams."""
    memory, heartbeats, updates = [], [], []
    rng = random.Random(1)
    for count in UPSTREAM_COUNTS:
        gc.collect()
        tracemalloc.start()
        view = make_view(WATCHED_SERVICES, count)
        gc.collect()
        memory.append(Point(count * WATCHED_SERVICES, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        heartbeats.append(
            Point(
                count * WATCHED_SERVICES,
                time_median(lambda v=view: exchange_node_heartbeats(v, rng)),
            )
        )
        numbers = itertools.count(2)
        updates.append(
            Point(
                count * WATCHED_SERVICES,
                time_median(lambda v=view, n=numbers: receive_updates(v, n, rng)),
            )
        )
    return {
        "node_memory": fit("bytes", "watched upstream", memory),
        "node_heartbeat": fit("us each, codec included", "watched upstream", heartbeats),
        "node_upstream_change": fit("us each, codec included", "watched upstream", updates),
    }


def measure_bytes() -> dict[str, int]:
    """Return the encoded size of each kind of message."""
    node = make_instance(1)
    upstream = make_upstream(node, "service-001")
    fleet = tuple(make_upstream(make_instance(index), "service-001") for index in range(23))
    state = MemberState(node, VOTERS[0], 77_000, True, 1, (upstream,))
    names = tuple(f"service-{index:03d}" for index in range(WATCHED_SERVICES))
    service = make_service("service-001")
    messages = {
        "Heartbeat": Heartbeat(node, 77_000, 120_000, 3, 2, 2**63),
        "HeartbeatReply": HeartbeatReply(77_000, 120_000, 130.123456, True),
        "Announce": Announce(node.name, node.incarnation, 2, (upstream,)),
        "Watch of 10 services": Watch(node.name, names, node.incarnation, 3),
        "WatchUpdate of 1 upstream": WatchUpdate("service-001", (upstream,), False),
        "WatchUpdate of 23 upstreams": WatchUpdate("service-001", fleet),
        "ConfigurationChanged of 1 service": ConfigurationChanged(120_000, (service,), base=1),
        "ConfigurationChanged of 10 services": ConfigurationChanged(
            120_000, tuple(map(make_service, names))
        ),
        "MemberGossip, empty": MemberGossip(VOTERS[0]),
        "MemberGossip of 1 member": MemberGossip(VOTERS[0], (state,)),
        "MemberDigest": MemberDigest(VOTERS[0], (2**63,) * 256),
    }
    return {name: len(encode(message)) for name, message in messages.items()}
