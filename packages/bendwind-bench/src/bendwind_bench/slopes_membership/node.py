"""Measure what membership costs a node."""

import gc
import itertools
import random
import tracemalloc

from bendwind_bench.slopes_membership.scene import (
    TIMES,
    VOTERS,
    WATCHED,
    make_instance,
    make_service,
    make_upstream,
)
from bendwind_bench.slopes_membership.slope import Point, Slope, decode, encode, fit, time_median
from bendwind_bench.slopes_membership.voter import BATCH, renumber
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
    """Make the view of a node that holds some upstreams of each watched service."""
    rng = random.Random(1)
    names = tuple(f"service-{index:03d}" for index in range(services))
    place = (VoterPlace(VOTERS[0]),)
    view = create_node_view(make_instance(0), place, TIMES, 0.0, rng, names)
    configuration = ConfigurationChanged(7, tuple(map(make_service, names)), watch=1)
    step_view(view, MessageReceived(VOTERS[0], configuration), 0.0, rng)
    for name in names:
        members = tuple(make_upstream(make_instance(index), name) for index in range(upstreams))
        update = decode(encode(WatchUpdate(name, members)))
        step_view(view, MessageReceived(VOTERS[0], update), 0.0, rng)
    return view


def beat_view(view: NodeView, rng: random.Random) -> int:
    """Send heartbeats and take their replies in bytes, as a node does."""
    for _ in range(BATCH):
        now = view.attachment.next_heartbeat_at
        for effect in step_view(view, Tick(), now, rng):
            if isinstance(effect, SendTo):
                beat = effect.message
                encode(beat)
                reply = encode(HeartbeatReply(beat.sequence, 7, 130.0, True))
                received = MessageReceived(VOTERS[0], decode(reply))
                step_view(view, received, now, rng)
    return BATCH


def push_view(view: NodeView, sequence: itertools.count, rng: random.Random) -> int:
    """Take updates of one upstream in bytes."""
    for _ in range(BATCH):
        upstream = renumber(make_upstream(make_instance(0), "service-000"), next(sequence))
        update = encode(WatchUpdate("service-000", (upstream,), False))
        received = MessageReceived(VOTERS[0], decode(update))
        step_view(view, received, 1.0, rng)
    return BATCH


def measure_nodes() -> dict[str, Slope]:
    """Measure a node's memory and processor time over growing sets of upstreams."""
    memory, beats, updates = [], [], []
    rng = random.Random(1)
    for count in UPSTREAM_COUNTS:
        gc.collect()
        tracemalloc.start()
        view = make_view(WATCHED, count)
        gc.collect()
        memory.append(Point(count * WATCHED, tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        beats.append(Point(count * WATCHED, time_median(lambda v=view: beat_view(v, rng))))
        numbers = itertools.count(2)
        updates.append(
            Point(count * WATCHED, time_median(lambda v=view, n=numbers: push_view(v, n, rng)))
        )
    return {
        "node_memory": fit("bytes", "watched upstream", memory),
        "node_heartbeat": fit("us each, codec included", "watched upstream", beats),
        "node_upstream_change": fit("us each, codec included", "watched upstream", updates),
    }


def measure_bytes() -> dict[str, int]:
    """Measure each kind of message as encoded."""
    node = make_instance(1)
    upstream = make_upstream(node, "service-001")
    fleet = tuple(make_upstream(make_instance(index), "service-001") for index in range(23))
    state = MemberState(node, VOTERS[0], 77_000, True, 1, (upstream,))
    names = tuple(f"service-{index:03d}" for index in range(WATCHED))
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
