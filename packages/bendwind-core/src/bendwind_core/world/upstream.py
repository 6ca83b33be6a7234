"""Describe an upstream and the load it last reported."""

import enum

from bendwind_core.core import Count, Measure, Record, Slots
from bendwind_core.world.places import Instance


class UpstreamState(enum.StrEnum):
    """Define whether an upstream accepts new requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Upstream(Record, frozen=True, array_like=True):
    """Describe an announced upstream and the instance whose node owns it.

    `sequence` orders the announcements of one owner incarnation: the highest is the newest.
    Units: `born_ms` is when the upstream started, in milliseconds since 1970 on its own clock, 0
    if the upstream does not report it; it distinguishes two runs with the same name.
    """

    name: str
    service: str
    owner: Instance
    slots: Slots
    connections: Slots
    state: UpstreamState = UpstreamState.READY
    sequence: Count = 0
    born_ms: Count = 0


class LoadSample(Record, frozen=True, array_like=True):
    """Report an upstream's load as counted by its owner node.

    `is_leaving` means that the upstream has announced that it accepts no further requests.
    Units: `latency_ms` is the moving average of the service time in milliseconds. `room_wait_ms` is
    how long a further request would wait until an upstream that is cold or has announced a rate
    limit could accept it, 0 for other upstreams. `wait_ms` is the time until the request would
    start at the usual pace. `limit_per_s` is the announced rate limit in requests per second,
    infinite after the limit has ended and None before one was announced.
    """

    in_flight: Count
    queued: Count
    slots: Count
    latency_ms: Measure = 0.0
    error_rate: Measure = 0.0
    draining: bool = False
    room_wait_ms: Measure = 0.0
    wait_ms: Measure = 0.0
    limit_per_s: Measure | None = None
    is_leaving: bool = False
