"""Remember, in bounded memory, what became of the attempts an owner node was handed.

When the oldest ended attempt of an entry node is dropped, the floor of that entry node rises to
its sequence: of an attempt at or below the floor nothing can be said any more. Dropping a peer
relies on ordered links: once a link was reopened, nothing more arrives of its earlier attempts.
"""

import collections
import enum

import msgspec

from bendwind_core.attempts.messages import AttemptId


class ExecutionState(enum.Enum):
    """Say what became of an attempt at its owner node."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"
    NEVER_STARTED = "never-started"


class EntryPeer(msgspec.Struct):
    """Hold what is known of one entry node.

    `fence_floor` covers what was dropped while the entry node itself had been evicted.
    """

    incarnation: int
    epoch: int = 0
    floor: int = 0
    fence_floor: int = 0


class AttemptLog(msgspec.Struct):
    """Hold the fates of live attempts and of the last `capacity` ended ones."""

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
    """Return the entry node's record, made or renewed; None for a run before its latest.

    `floor` is the floor of a new record where one may have been dropped before.
    """
    peer = log.peers.get(entry)
    if peer is not None and peer.incarnation == incarnation:
        return peer
    if peer is not None and peer.incarnation > incarnation:
        return None
    is_known_new = peer is not None or not log.has_evicted_peers
    peer = EntryPeer(incarnation, floor=0 if is_known_new else floor, fence_floor=log.evicted_floor)
    log.peers[entry] = peer
    log.peers.move_to_end(entry)
    if len(log.peers) > log.peer_capacity:
        _, evicted = log.peers.popitem(last=False)
        log.evicted_floor = max(log.evicted_floor, evicted.floor, evicted.fence_floor)
        log.has_evicted_peers = True
    return peer


def record_live(log: AttemptLog, attempt: AttemptId, state: ExecutionState) -> None:
    """Note that an attempt is queued or running."""
    log.states[attempt] = state


def record_ended(log: AttemptLog, attempt: AttemptId, state: ExecutionState) -> None:
    """Note the last fate of an attempt, and drop the oldest ended one if there are too many."""
    before = log.states.get(attempt)
    log.states[attempt] = state
    if before not in (ExecutionState.ENDED, ExecutionState.NEVER_STARTED):
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
