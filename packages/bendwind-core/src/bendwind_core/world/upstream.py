"""Describe an upstream and the load it last reported."""

import enum

from bendwind_core.core import Milliseconds, Record
from bendwind_core.world.places import Instance


class UpstreamState(enum.StrEnum):
    """Say whether an upstream takes new requests."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Upstream(Record, frozen=True, array_like=True):
    """Describe an announced upstream and the instance whose node owns it.

    `sequence` orders the announcements of one owner incarnation: the highest is the newest.
    Units: `born_ms` is when the upstream started, in milliseconds since 1970 on its own clock, 0
    where it does not tell; it tells apart two runs under one name.
    """

    name: str
    service: str
    owner: Instance
    slots: int
    connections: int
    state: UpstreamState = UpstreamState.READY
    sequence: int = 0
    born_ms: int = 0


class LoadSample(Record, frozen=True, array_like=True):
    """Report an upstream's load as its owner node counted it.

    `is_leaving` says that the upstream is to get nothing more, by its own word.
    Units: `latency_ms` is the moving average service time in milliseconds; `room_wait_ms` is how
    long a further request would wait for its turn at an upstream that is cold or has named a limit,
    0 at others, and `wait_ms` how long until it would start at the usual pace. `limit_per_s` is the
    limit that it named, in requests a second, infinite once that has ended, None before.
    """

    in_flight: int
    queued: int
    slots: int
    latency_ms: Milliseconds = 0.0
    error_rate: float = 0.0
    draining: bool = False
    room_wait_ms: Milliseconds = 0.0
    wait_ms: Milliseconds = 0.0
    limit_per_s: float | None = None
    is_leaving: bool = False
