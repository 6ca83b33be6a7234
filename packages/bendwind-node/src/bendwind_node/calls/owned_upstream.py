"""Describe an upstream on this instance and its announcements."""

import enum
import math
import re
from typing import Annotated

import msgspec
import trio
from msgspec import Meta

from bendwind_core.admission import WarmUpState
from bendwind_core.attempts import AttemptId, owner
from bendwind_core.core import (
    MAX_PORT,
    MAX_SEQUENCE,
    BornMs,
    Seconds,
    SequenceNumber,
    Slots,
    WarmUpMs,
)
from bendwind_core.suspicion import SuspectTable
from bendwind_core.world import Instance, Upstream, UpstreamState
from bendwind_node.calls.upstream_h11 import UpstreamPool

QUEUE_LIMIT = 16

# A name is sent in a header of every request to the upstream.
_NAME_PATTERN = r"\A[!-~]{1,128}\Z"
_NAME = re.compile(_NAME_PATTERN)
UpstreamName = Annotated[str, Meta(pattern=_NAME_PATTERN)]
UpstreamHost = Annotated[str, Meta(pattern=r"\A[A-Za-z0-9.:_-]{1,255}\Z")]


class OwnedUpstream(msgspec.Struct, eq=False):
    """Hold one upstream on this instance.

    An upstream that is not verified was announced once, perhaps by a late message: an earlier run
    of this process may have handled its departure since. It gets requests once its health path or
    a second announcement has shown that it stays. `announced_state` is the state that it announced
    last, `last_sequence` the number of its last announcement that had one, and `born_ms` the start
    time of its newest known run. `is_being_queried` says that its health path is being queried for
    the remaining warm-up, `is_drain_marked` that operators want no requests sent to it,
    `is_unreachable` that it refused the last connection. `due_at` is when its state is due for a
    tick, as its last event left it.
    """

    upstream: Upstream
    owner_state: owner.OwnerState
    pool: UpstreamPool
    lease_until: Seconds
    scopes: dict[AttemptId, trio.CancelScope] = msgspec.field(default_factory=dict)
    is_drain_marked: bool = False
    last_sequence: int | None = None
    has_left: bool = False
    is_verified: bool = True
    is_unreachable: bool = False
    announced_state: UpstreamState = UpstreamState.GONE
    born_ms: int = 0
    is_being_queried: bool = False
    due_at: Seconds = math.inf


def find_due(owned: OwnedUpstream, now: Seconds) -> Seconds:
    """Return when the state is due for a tick, infinity if it needs none."""
    due = owner.next_due(owned.owner_state, now)
    return math.inf if due is None else due


class UpstreamAddress(msgspec.Struct, frozen=True):
    """Hold the address of the upstream on this instance, whichever runs there."""

    host: str
    port: int


class AnnouncementRefusal(enum.StrEnum):
    """Enumerate why an announcement changes nothing although it is not late."""

    NO_CAPACITY = "no-capacity"
    OTHER_SERVICE = "other-service"


class Announcement(msgspec.Struct, frozen=True):
    """Hold what an upstream announces about itself.

    `sequence` grows with every announcement of one run, so that late announcements are detected;
    it is 0 if the upstream does not number them. It restarts with each run; `name` and `born_ms`
    identify the run.
    Units: `warm_up_left_ms` is the remaining warm-up time; `born_ms` is the start time of the
    upstream in milliseconds since 1970 on its own clock, 0 if it does not report one.
    """

    name: UpstreamName
    service: Annotated[str, Meta(min_length=1)]
    host: UpstreamHost
    port: Annotated[int, Meta(ge=1, le=MAX_PORT)]
    slots: Slots
    connections: Slots
    state: UpstreamState
    sequence: SequenceNumber = 0
    warm_up_left_ms: WarmUpMs = 0.0
    born_ms: BornMs = 0

    def __post_init__(self):
        # A decoder reports this as it reports a field out of range.
        if self.sequence > MAX_SEQUENCE:
            raise ValueError(f"Expected `sequence` <= {MAX_SEQUENCE}")


def create_owned_upstream(
    announcement: Announcement,
    own: Instance,
    slot_share: float,
    warm_up: WarmUpState,
    suspects: SuspectTable,
    alone_from: Seconds,
) -> OwnedUpstream:
    """Create an upstream that has announced itself for the first time, in state GONE.

    Units: `alone_from` is when on no other process sends requests to it.
    """
    owner_state = owner.create_owner_state(
        announcement.name,
        own.incarnation,
        QUEUE_LIMIT,
        slot_share=slot_share,
        warm_up=warm_up,
        suspects=suspects,
        alone_from=alone_from,
    )
    return OwnedUpstream(
        Upstream(
            announcement.name,
            announcement.service,
            own,
            announcement.slots,
            announcement.connections,
            UpstreamState.GONE,
        ),
        owner_state,
        UpstreamPool(announcement.host, announcement.port, announcement.connections),
        0.0,
        is_verified=not announcement.sequence,
    )


def is_overtaken(owned: OwnedUpstream, announcement: Announcement) -> bool:
    """Return whether the registered run has sent this numbered announcement or a later one."""
    last = owned.last_sequence
    is_numbered = announcement.sequence != 0 and last is not None
    return is_numbered and announcement.sequence <= last


def find_order(announcement: Announcement) -> tuple[int, int]:
    """Return what orders the announcements of an upstream."""
    return announcement.born_ms, announcement.sequence


def is_ordered(announcement: Announcement) -> bool:
    """Return whether it can be told whether an announcement is late."""
    return bool(announcement.sequence or announcement.born_ms)


def is_upstream_name(text: str) -> bool:
    """Return whether a text can be the name of an upstream."""
    return _NAME.match(text) is not None


def is_earlier_run(owned: OwnedUpstream, announcement: Announcement) -> bool:
    """Return whether an announcement comes from a run before the registered one."""
    return 0 < announcement.born_ms < owned.born_ms


def is_later_run(owned: OwnedUpstream, announcement: Announcement) -> bool:
    """Return whether an announcement comes from a run after the registered one."""
    return 0 < owned.born_ms < announcement.born_ms


def names_other_service(owned: OwnedUpstream, announcement: Announcement) -> bool:
    """Return whether an announcement names another service than the registered one.

    An upstream never changes its service while it runs, so such an announcement is not its own.
    """
    is_registered = owned.announced_state is not UpstreamState.GONE
    return is_registered and announcement.service != owned.upstream.service
