"""Request writes and release what waits for them."""

from bendwind_core.consensus.events import Persist, SaveSnapshot
from bendwind_core.consensus.records import Snapshot
from bendwind_core.consensus.replica import PendingWrite, Replica
from bendwind_core.core import Seconds


def request_write(replica: Replica, now: Seconds) -> None:
    """Request one write of all that changed in this step, and queue the replies behind it."""
    if replica.is_hard_changed or replica.truncate_from is not None or replica.unwritten:
        write = _open_write(replica, now)
        replica.effects.append(
            Persist(
                write.token, replica.hard_state, replica.truncate_from, tuple(replica.unwritten)
            )
        )
        replica.is_hard_changed = False
        replica.truncate_from = None
        replica.unwritten.clear()
    _queue_replies(replica)


def request_snapshot_write(
    replica: Replica, snapshot: Snapshot, now: Seconds, *, is_installed: bool
) -> None:
    """Request that a snapshot be written after everything requested before."""
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


def _queue_replies(replica: Replica) -> None:
    waiting = replica.writes[-1].sends if replica.writes else replica.effects
    waiting.extend(replica.replies)
    replica.replies.clear()


def confirm_writes(replica: Replica, token: int) -> None:
    """Count writes up to a token as synced and release what waited for them."""
    while replica.writes and replica.writes[0].token <= token:
        write = replica.writes.popleft()
        replica.durable_index = max(replica.durable_index, write.last_index)
        replica.durable_hard = write.hard_state
        replica.effects.extend(write.sends)


def is_disk_stalled(replica: Replica, now: Seconds) -> bool:
    """Tell whether the oldest write has waited longer than two election timeouts."""
    limit = 2 * replica.settings.election_s
    return bool(replica.writes) and now - replica.writes[0].requested_at > limit
