"""Request writes to disk, and send the messages that wait for them once they are synced."""

from bendwind_core.consensus.events import Persist, SaveSnapshot
from bendwind_core.consensus.records import Snapshot
from bendwind_core.consensus.replica import PendingWrite, Replica
from bendwind_core.core import Seconds


def request_write(replica: Replica, now: Seconds) -> None:
    """Request one write of all changes of this step, and queue the messages that depend on it."""
    if replica.is_hard_state_changed or replica.truncate_from is not None or replica.unwritten:
        write = _open_write(replica, now)
        replica.effects.append(
            Persist(
                write.token, replica.hard_state, replica.truncate_from, tuple(replica.unwritten)
            )
        )
        replica.is_hard_state_changed = False
        replica.truncate_from = None
        replica.unwritten.clear()
    _queue_durable_sends(replica)


def request_snapshot_write(
    replica: Replica, snapshot: Snapshot, now: Seconds, *, is_installed: bool
) -> None:
    """Request the write of a snapshot, ordered after all writes requested before."""
    request_write(replica, now)
    write = _open_write(replica, now)
    replica.effects.append(
        SaveSnapshot(write.token, snapshot, replica.log.first_index, is_installed)
    )


def _open_write(replica: Replica, now: Seconds) -> PendingWrite:
    replica.token += 1
    write = PendingWrite(replica.token, replica.hard_state, replica.log.last_index, now)
    replica.writes.append(write)
    return write


def _queue_durable_sends(replica: Replica) -> None:
    waiting = replica.writes[-1].sends if replica.writes else replica.effects
    waiting.extend(replica.durable_sends)
    replica.durable_sends.clear()


def confirm_writes(replica: Replica, token: int) -> None:
    """Mark all writes up to a token as synced and send the messages that waited for them."""
    while replica.writes and replica.writes[0].token <= token:
        write = replica.writes.popleft()
        replica.durable_index = max(replica.durable_index, write.last_index)
        replica.durable_hard_state = write.hard_state
        replica.effects.extend(write.sends)


def is_disk_stalled(replica: Replica, now: Seconds) -> bool:
    """Return whether the oldest write has waited longer than two election timeouts."""
    limit = 2 * replica.settings.election_s
    return bool(replica.writes) and now - replica.writes[0].requested_at > limit
