"""Record, in bounded memory, the execution state of the attempts that an owner node was handed.

When the oldest ended attempt of an entry node is evicted, the floor of that entry node rises to
the sequence of this attempt. The state of an unrecorded attempt at or below the floor is unknown.
Evicting a peer relies on ordered links: after a link has been reopened, no more messages of its
earlier attempts arrive.
"""

import collections
import enum

import msgspec

from bendwind_core.attempts.messages import AttemptId


class ExecutionState(enum.Enum):
    """Name the execution state of an attempt at its owner node."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"
    NEVER_STARTED = "never-started"


class EntryPeer(msgspec.Struct):
    """Hold what is known of one entry node.

    `epoch` is the epoch of its newest link. Attempts up to `floor` may have been evicted.
    `fence_floor` covers the attempts that were evicted while the entry node itself had no record.
    """

    incarnation: int
    epoch: int = 0
    floor: int = 0
    fence_floor: int = 0


class AttemptLog(msgspec.Struct):
    """Hold the states of live attempts and of the last `capacity` ended attempts.

    `evicted_floor` covers the evicted attempts of entry nodes without a record.
    """

    capacity: int
    peer_capacity: int
    states: dict[AttemptId, ExecutionState] = msgspec.field(default_factory=dict)
    ended: collections.deque[AttemptId] = msgspec.field(default_factory=collections.deque)
    peers: collections.OrderedDict[str, EntryPeer] = msgspec.field(
        default_factory=collections.OrderedDict
    )
    has_evicted_peers: bool = False
    evicted_floor: int = 0


def find_or_create_peer(
    log: AttemptLog, entry: str, incarnation: int, floor: int
) -> EntryPeer | None:
    """Return the entry node's record; None for an incarnation before its newest.

    The record is created for a new entry node and replaced for a new incarnation. `floor` is the
    floor of a new record if an earlier record of the entry node may have been evicted.
    """
    peer = log.peers.get(entry)
    if peer is not None and peer.incarnation == incarnation:
        return peer
    if peer is not None and peer.incarnation > incarnation:
        return None
    has_full_history = peer is not None or not log.has_evicted_peers
    peer = EntryPeer(
        incarnation, floor=0 if has_full_history else floor, fence_floor=log.evicted_floor
    )
    log.peers[entry] = peer
    log.peers.move_to_end(entry)
    if len(log.peers) > log.peer_capacity:
        _, evicted = log.peers.popitem(last=False)
        log.evicted_floor = max(log.evicted_floor, evicted.floor, evicted.fence_floor)
        log.has_evicted_peers = True
    return peer


def record_live(log: AttemptLog, attempt: AttemptId, state: ExecutionState) -> None:
    """Record that an attempt is queued or running."""
    log.states[attempt] = state


def record_ended(log: AttemptLog, attempt: AttemptId, state: ExecutionState) -> None:
    """Record the last state of an attempt; evict the oldest ended one if there are too many."""
    previous_state = log.states.get(attempt)
    log.states[attempt] = state
    if previous_state not in (ExecutionState.ENDED, ExecutionState.NEVER_STARTED):
        log.ended.append(attempt)
    if len(log.ended) > log.capacity:
        _evict_oldest(log)


def _evict_oldest(log: AttemptLog) -> None:
    oldest = log.ended.popleft()
    del log.states[oldest]
    peer = log.peers.get(oldest.entry)
    if peer is not None and peer.incarnation == oldest.incarnation:
        peer.floor = max(peer.floor, oldest.sequence)
    elif peer is None or peer.incarnation < oldest.incarnation:
        log.evicted_floor = max(log.evicted_floor, oldest.sequence)
