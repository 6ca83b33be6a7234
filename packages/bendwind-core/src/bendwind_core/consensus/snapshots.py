"""Compact the log into snapshots, and send them to members that lack the compacted entries."""

import random

from bendwind_core.consensus.durability import request_snapshot_write
from bendwind_core.consensus.events import InstallSnapshot, SnapshotTaken, TakeSnapshot
from bendwind_core.consensus.messages import ChunkReply, SnapshotChunk
from bendwind_core.consensus.records import Snapshot, VotersAt
from bendwind_core.consensus.replica import (
    IncomingSnapshot,
    Progress,
    Replica,
    create_head,
    draw_timeout,
    send,
    send_durable,
)
from bendwind_core.consensus.replies import reply_append
from bendwind_core.core import Seconds


def find_snapshot_limit(replica: Replica) -> int:
    """Return after how many bytes of entries the next snapshot is due.

    Entries as large as the last snapshot may follow it, so that what is written of snapshots stays
    in proportion to the entries.
    """
    return max(replica.settings.snapshot_bytes, len(replica.log.snapshot.data))


def request_snapshot(replica: Replica) -> None:
    """Request a snapshot when enough entries were applied since the last one."""
    applied = replica.applied - replica.log.snapshot.index
    is_due = (
        applied >= replica.settings.snapshot_entries
        or replica.log.newer_bytes >= find_snapshot_limit(replica)
    )
    if is_due and applied > 0 and not replica.is_snapshot_due:
        replica.is_snapshot_due = True
        replica.effects.append(TakeSnapshot(replica.applied))


def compact_log(replica: Replica, event: SnapshotTaken, now: Seconds) -> None:
    """Replace applied entries by a snapshot and schedule its write."""
    replica.is_snapshot_due = False
    index = event.index
    if index <= replica.log.snapshot.index or index > replica.applied:
        return
    base = _find_voters(replica, index)
    snapshot = Snapshot(index, replica.log.term_at(index) or 0, base.voters, event.data)
    newer = [at for at in replica.configurations if at.index > index]
    replica.configurations = [base, *newer]
    replica.log.compact(snapshot, replica.settings.kept_entries, replica.settings.kept_bytes)
    request_snapshot_write(replica, snapshot, now, is_installed=False)


def _find_voters(replica: Replica, index: int) -> VotersAt:
    return [at for at in replica.configurations if at.index <= index][-1]


def send_chunk(replica: Replica, progress: Progress, now: Seconds) -> None:
    """Send the next part of the snapshot to a member."""
    if progress.snapshot is None:
        progress.snapshot = replica.log.snapshot
        progress.snapshot_offset = 0
    progress.awaits_index = progress.snapshot.index
    progress.awaits_since = now
    snapshot = progress.snapshot
    start = progress.snapshot_offset
    message = SnapshotChunk(
        create_head(replica, progress.voter),
        index=snapshot.index,
        snapshot_term=snapshot.term,
        voters=snapshot.voters,
        offset=start,
        size=len(snapshot.data),
        data=snapshot.data[start : start + replica.settings.chunk_bytes],
        round=replica.round,
    )
    send(replica, message, progress.voter)


def receive_chunk(
    replica: Replica, message: SnapshotChunk, now: Seconds, rng: random.Random
) -> None:
    """Collect the parts of a snapshot in order; install the snapshot when it is complete.

    If the log contains the snapshot's last entry, the log is kept, since entries after it may
    already be acknowledged.
    """
    replica.leader_contact_at = now
    replica.deadline = now + draw_timeout(replica.settings, rng)
    if replica.log.term_at(message.index) == message.snapshot_term:
        replica.commit = max(replica.commit, message.index)
    if message.index <= replica.commit:
        reply_append(replica, message, is_matching=True, index=message.index)
        return
    incoming = _find_incoming(replica, message)
    if message.offset == len(incoming.data):
        incoming.data += message.data
    if len(incoming.data) < message.size:
        _request_next_chunk(replica, message, len(incoming.data))
        return
    replica.incoming = None
    _install(replica, message, bytes(incoming.data), now)
    reply_append(replica, message, is_matching=True, index=message.index)


def _find_incoming(replica: Replica, message: SnapshotChunk) -> IncomingSnapshot:
    known = replica.incoming
    if known is None or (known.index, known.term) != (message.index, message.snapshot_term):
        known = IncomingSnapshot(message.index, message.snapshot_term, bytearray())
        replica.incoming = known
    return known


def _install(replica: Replica, message: SnapshotChunk, data: bytes, now: Seconds) -> None:
    snapshot = Snapshot(message.index, message.snapshot_term, message.voters, data)
    replica.unwritten.clear()
    replica.truncate_from = None
    replica.log.reset(snapshot)
    replica.configurations = [VotersAt(snapshot.index, snapshot.voters)]
    replica.commit = snapshot.index
    replica.applied = snapshot.index
    replica.durable_index = min(replica.durable_index, snapshot.index)
    for write in replica.writes:
        write.last_index = min(write.last_index, snapshot.index)
    # The state is committed, so it may be used before it is synced locally.
    replica.effects.append(InstallSnapshot(snapshot.index, data))
    request_snapshot_write(replica, snapshot, now, is_installed=True)


def _request_next_chunk(replica: Replica, message: SnapshotChunk, offset: int) -> None:
    reply = ChunkReply(
        create_head(replica, message.head.sender),
        index=message.index,
        offset=offset,
        round=message.round,
    )
    send_durable(replica, reply, message.head.sender)


def receive_chunk_reply(replica: Replica, reply: ChunkReply, now: Seconds) -> None:
    """Send the part that a member requests next."""
    progress = replica.progress.get(reply.head.sender.voter_id)
    if progress is None:
        return
    progress.contact_at = now
    progress.round = max(progress.round, reply.round)
    is_current = progress.snapshot is not None and reply.index == progress.snapshot.index
    if is_current and reply.offset != progress.snapshot_offset:
        progress.snapshot_offset = reply.offset
        send_chunk(replica, progress, now)
