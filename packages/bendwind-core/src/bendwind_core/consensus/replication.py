"""Replicate the leader's log to the other members, and commit entries that a quorum has synced."""

import random

from bendwind_core.consensus.events import Apply, Committed, ProposalDone, VotersChanged
from bendwind_core.consensus.messages import Append, AppendReply
from bendwind_core.consensus.records import Entry
from bendwind_core.consensus.replica import (
    Progress,
    Replica,
    append_entry,
    create_head,
    draw_timeout,
    send,
    truncate_log,
)
from bendwind_core.consensus.replies import reply_append
from bendwind_core.consensus.snapshots import send_chunk
from bendwind_core.core import Seconds


def update_progress(replica: Replica, now: Seconds) -> None:
    """Track the progress of all other members, and drop that of members that left."""
    own_id = replica.voter.voter_id
    members = replica.voters.members
    others = {member.voter_id: member for member in members if member.voter_id != own_id}
    for voter_id in [known for known in replica.progress if known not in others]:
        del replica.progress[voter_id]
    for voter_id, member in others.items():
        if voter_id not in replica.progress:
            next_index = replica.log.last_index + 1
            replica.progress[voter_id] = Progress(member, next_index, contact_at=now)


def _open_round(replica: Replica) -> None:
    """Open the next round, and assign it to the reads that wait for one."""
    replica.round += 1
    for read in replica.reads.leader:
        if read.round == 0:
            read.round = replica.round


def send_heartbeats(replica: Replica, now: Seconds) -> None:
    """Open a round and send each member its missing entries or a heartbeat."""
    _open_round(replica)
    replica.heartbeat_at = now + replica.settings.heartbeat_s
    broadcast(replica, now)


def broadcast(replica: Replica, now: Seconds) -> None:
    """Send each member its missing entries or a heartbeat."""
    for progress in replica.progress.values():
        send_append(replica, progress, now)


def open_read_round(replica: Replica, now: Seconds) -> None:
    """Open a round for reads among the voters only, since replies of learners confirm nothing.

    The time of the next heartbeat to all members does not change.
    """
    # If learners were included, a leader with 5 voters and 10 learners would send 400 messages a
    # second, of which 330 to learners for rounds of reads (counted as task steps over 10 s under
    # low load).
    _open_round(replica)
    for voter in replica.voters.voting_members:
        progress = replica.progress.get(voter.voter_id)
        if progress is not None:
            send_append(replica, progress, now)


def send_new_entries(replica: Replica, now: Seconds) -> None:
    """Send missing entries to each member that has no reply outstanding."""
    for progress in replica.progress.values():
        if progress.awaits_index is None and progress.next_index <= replica.log.last_index:
            send_append(replica, progress, now)


def send_append(replica: Replica, progress: Progress, now: Seconds) -> None:
    """Send a member entries or a snapshot part; while a reply is outstanding, a heartbeat."""
    is_waiting = (
        progress.awaits_index is not None
        and now - progress.awaits_since < replica.settings.election_s
    )
    if is_waiting:
        _send_entries(replica, progress, _find_heartbeat_index(replica, progress), ())
        return
    previous_index = progress.next_index - 1
    is_compacted = progress.next_index < replica.log.first_index
    if is_compacted or replica.log.term_at(previous_index) is None:
        send_chunk(replica, progress, now)
        return
    entries = replica.log.read_batch(
        progress.next_index, replica.settings.batch_entries, replica.settings.batch_bytes
    )
    if entries or progress.match < previous_index:
        progress.awaits_index = previous_index + len(entries)
        progress.awaits_since = now
    _send_entries(replica, progress, previous_index, entries)


def _find_heartbeat_index(replica: Replica, progress: Progress) -> int:
    is_held = replica.log.term_at(progress.match) is not None
    return progress.match if is_held else 0


def _send_entries(
    replica: Replica, progress: Progress, previous_index: int, entries: tuple[Entry, ...]
) -> None:
    message = Append(
        create_head(replica, progress.voter),
        previous_index=previous_index,
        previous_term=replica.log.term_at(previous_index) or 0,
        entries=entries,
        commit=replica.commit,
        round=replica.round,
    )
    send(replica, message, progress.voter)


def receive_append(replica: Replica, message: Append, now: Seconds, rng: random.Random) -> None:
    """Append entries that follow a known entry; reply once they are synced."""
    replica.leader_contact_at = now
    replica.deadline = now + draw_timeout(replica.settings, rng)
    previous_index = message.previous_index
    if not _has_previous(replica, message):
        index = _find_retry_index(replica, previous_index)
        reply_append(replica, message, is_matching=False, index=index)
        return
    for entry in message.entries:
        _store_entry(replica, entry)
    matched = previous_index + len(message.entries)
    replica.commit = max(replica.commit, min(message.commit, matched))
    reply_append(replica, message, is_matching=True, index=matched)


def _has_previous(replica: Replica, message: Append) -> bool:
    # Committed entries are equal on all replicas, even if they have been compacted.
    if message.previous_index <= replica.commit:
        return True
    return replica.log.term_at(message.previous_index) == message.previous_term


def _store_entry(replica: Replica, entry: Entry) -> None:
    if entry.index <= replica.commit:
        return
    known_term = replica.log.term_at(entry.index)
    if known_term == entry.term:
        return
    if known_term is not None:
        truncate_log(replica, entry.index)
    append_entry(replica, entry)


def _find_retry_index(replica: Replica, previous_index: int) -> int:
    """Return the index before the conflicting term, to skip the whole term in one exchange."""
    index = min(previous_index - 1, replica.log.last_index)
    conflict = replica.log.term_at(previous_index)
    while conflict is not None and index > replica.commit:
        if replica.log.term_at(index) != conflict:
            break
        index -= 1
    return max(index, replica.commit)


def receive_append_reply(replica: Replica, reply: AppendReply, now: Seconds) -> None:
    """Advance or move back the progress of a member, and send the next entries."""
    progress = replica.progress.get(reply.head.sender.voter_id)
    if progress is None:
        return
    progress.contact_at = now
    progress.round = max(progress.round, reply.round)
    if not reply.is_matching:
        if reply.index >= progress.match and reply.index < progress.next_index:
            progress.next_index = reply.index + 1
            progress.awaits_index = None
            send_append(replica, progress, now)
        return
    progress.match = max(progress.match, reply.index)
    progress.next_index = max(progress.next_index, progress.match + 1)
    if progress.awaits_index is not None and progress.match >= progress.awaits_index:
        progress.awaits_index = None
    if progress.snapshot is not None and progress.match >= progress.snapshot.index:
        progress.snapshot = None
    if progress.awaits_index is None and progress.next_index <= replica.log.last_index:
        send_append(replica, progress, now)


def advance_commit(replica: Replica) -> None:
    """Commit up to the newest entry of the current term that a majority has synced."""
    if not replica.is_leader:
        return
    synced = {voter_id: progress.match for voter_id, progress in replica.progress.items()}
    synced[replica.voter.voter_id] = replica.durable_index
    index = replica.voters.find_majority_value(synced)
    if index > replica.commit and replica.log.term_at(index) == replica.hard_state.term:
        replica.commit = index


def apply_committed(replica: Replica) -> None:
    """Apply entries that are committed and locally synced, and complete their proposals."""
    end = min(replica.commit, replica.durable_index)
    if end <= replica.applied:
        return
    entries = tuple(replica.log.find_entry(index) for index in range(replica.applied + 1, end + 1))
    replica.applied = end
    replica.effects.append(Apply(entries))
    for entry in entries:
        request_id = replica.proposals.pop(entry.index, None)
        if request_id is not None:
            replica.effects.append(ProposalDone(request_id, Committed(entry.index)))
        if entry.voters is not None:
            replica.effects.append(VotersChanged(entry.index, entry.voters))
