"""Remember, in bounded memory, what became of the attempts an owner node was handed.

When the oldest ended attempt of an entry node is dropped, the floor of that entry node rises to
its sequence: of an attempt at or below the floor nothing can be said any more. Dropping a peer
relies on ordered links: once a link was reopened, nothing more arrives of its earlier attempts.
"""

import collections
import enum

import msgspec

from bendwind_core.attempts.messages import AttemptId


class Fate(enum.Enum):
    """Say what became of an attempt at its owner node."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"
    NEVER_STARTED = "never-started"


class EntryPeer(msgspec.Struct):
    """Hold what is known of one entry node.

    `fence_floor` covers what was dropped while the entry node itself had been dropped.
    """

    incarnation: int
    epoch: int = 0
    floor: int = 0
    fence_floor: int = 0


class AttemptLog(msgspec.Struct):
    """Hold the fates of live attempts and of the last `capacity` ended ones."""

    capacity: int
    peer_capacity: int
    fates: dict[AttemptId, Fate] = msgspec.field(default_factory=dict)
    ended: collections.deque[AttemptId] = msgspec.field(default_factory=collections.deque)
    peers: collections.OrderedDict[str, EntryPeer] = msgspec.field(
        default_factory=collections.OrderedDict
    )
    has_dropped_peers: bool = False
    lost_floor: int = 0


def meet_peer(log: AttemptLog, entry: str, incarnation: int, floor: int) -> EntryPeer | None:
    """Return the entry node's record, made or renewed; None for a run before its latest.

    `floor` is the floor of a new record where one may have been dropped before.
    """
    peer = log.peers.get(entry)
    if peer is not None and peer.incarnation == incarnation:
        return peer
    if peer is not None and peer.incarnation > incarnation:
        return None
    known_new = peer is not None or not log.has_dropped_peers
    peer = EntryPeer(incarnation, floor=0 if known_new else floor, fence_floor=log.lost_floor)
    log.peers[entry] = peer
    log.peers.move_to_end(entry)
    if len(log.peers) > log.peer_capacity:
        _, dropped = log.peers.popitem(last=False)
        log.lost_floor = max(log.lost_floor, dropped.floor, dropped.fence_floor)
        log.has_dropped_peers = True
    return peer


def record_live(log: AttemptLog, attempt: AttemptId, fate: Fate) -> None:
    """Note that an attempt is queued or running."""
    log.fates[attempt] = fate


def record_ended(log: AttemptLog, attempt: AttemptId, fate: Fate) -> None:
    """Note the last fate of an attempt, and drop the oldest ended one if there are too many."""
    before = log.fates.get(attempt)
    log.fates[attempt] = fate
    if before not in (Fate.ENDED, Fate.NEVER_STARTED):
        log.ended.append(attempt)
    if len(log.ended) > log.capacity:
        _drop_oldest(log)


def _drop_oldest(log: AttemptLog) -> None:
    oldest = log.ended.popleft()
    del log.fates[oldest]
    peer = log.peers.get(oldest.entry)
    if peer is not None and peer.incarnation == oldest.incarnation:
        peer.floor = max(peer.floor, oldest.sequence)
    elif peer is None or peer.incarnation < oldest.incarnation:
        log.lost_floor = max(log.lost_floor, oldest.sequence)
