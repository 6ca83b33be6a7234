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
    has shown that it stays. `said` is the state that it announced last and `born_ms` its newest
    known run. `is_being_asked` says that its health path is being asked how cold it is,
    `is_marked` that operators want nothing sent to it, `is_unreachable` that it refused the last
    connection.
    """

    upstream: Upstream
    owner_state: owner.OwnerState
    pool: UpstreamPool
    lease_until: Seconds
    scopes: dict[AttemptId, trio.CancelScope] = msgspec.field(default_factory=dict)
    is_drain_marked: bool = False
    last_sequence: int = 0
    has_left: bool = False
    is_verified: bool = True
    is_unreachable: bool = False
    announced_state: UpstreamState = UpstreamState.GONE
    born_ms: int = 0
    is_being_queried: bool = False


class UpstreamAddress(msgspec.Struct, frozen=True):
    """Say where the upstream beside this process is, whichever that is at present."""

    service: str
    host: str
    port: int


class Announcement(msgspec.Struct, frozen=True):
    """Hold what an upstream says of itself.

    `sequence` grows with every announcement of one upstream, so that a late one is known; 0 where
    upstreams do not number them.
    Units: `warm_up_left_ms` is how much longer it stays cold; `born_ms` is when it started, in
    milliseconds since 1970 on its own clock, 0 where it does not tell. `sequence` starts anew with
    each run, which `name` and `born_ms` tell apart.
    """

    name: str
    service: str
    host: str
    port: int
    slots: int
    connections: int
    state: UpstreamState
    sequence: int = 0
    warm_up_left_ms: Milliseconds = 0.0
    born_ms: int = 0


def is_earlier_run(owned: OwnedUpstream, announcement: Announcement) -> bool:
    """Tell whether an announcement is that of a run before the one that is registered."""
    return 0 < announcement.born_ms < owned.born_ms


def is_later_run(owned: OwnedUpstream, announcement: Announcement) -> bool:
    """Tell whether an announcement is that of a run after the one that is registered."""
    return 0 < owned.born_ms < announcement.born_ms


def names_other_service(owned: OwnedUpstream, announcement: Announcement) -> bool:
    """Tell whether an announcement names another service than the one that is served there.

    An upstream keeps its service for life, so that such an announcement is not its own.
    """
    is_registered = owned.announced_state is not UpstreamState.GONE
    return is_registered and announcement.service != owned.upstream.service
