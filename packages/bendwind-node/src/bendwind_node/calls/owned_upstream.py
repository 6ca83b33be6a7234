"""Describe an upstream beside this process and what it says of itself."""

import msgspec
import trio

from bendwind_core.attempts import AttemptId, owner
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.world import Upstream, UpstreamState
from bendwind_node.calls.upstream_h11 import UpstreamPool


class OwnedUpstream(msgspec.Struct, eq=False):
    """Hold one upstream beside this process.

    One that is not verified was announced once, perhaps by a message from before an earlier run of
    this process heard it leave; it takes requests once its health path or a second announcement
    has shown that it stays.
    """

    upstream: Upstream
    desk: owner.OwnerDesk
    pool: UpstreamPool
    lease_until: Seconds
    scopes: dict[AttemptId, trio.CancelScope] = msgspec.field(default_factory=dict)
    is_marked: bool = False
    last_sequence: int = 0
    has_left: bool = False
    is_verified: bool = True


class UpstreamPlace(msgspec.Struct, frozen=True):
    """Say where the upstream beside this process is, whichever that is at present."""

    service: str
    host: str
    port: int


class Announcement(msgspec.Struct, frozen=True):
    """Hold what an upstream says of itself.

    `sequence` grows with every announcement of one upstream, so that a late one is known; 0 where
    upstreams do not number them.
    Units: `warmup_left_ms` is how much longer it stays slow after its start.
    """

    name: str
    service: str
    host: str
    port: int
    slots: int
    connections: int
    state: UpstreamState
    sequence: int = 0
    warmup_left_ms: Milliseconds = 0.0
