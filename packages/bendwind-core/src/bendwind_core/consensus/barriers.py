"""Confirm the committed index with a quorum, for several barriers in one round.

A leader answers a read once a quorum has replied to a round of heartbeats that the leader opened
after the read arrived. Any other replica sends its read to the leader. Barriers that are requested
while a read is open share the next read. Source: Ongaro, 2014, section 6.4.
"""

from bendwind_core.consensus.events import BarrierDone, BarrierFailed
from bendwind_core.consensus.messages import ReadReply, ReadRequest
from bendwind_core.consensus.replica import (
    LeaderRead,
    LocalRead,
    ReadyRead,
    Replica,
    create_head,
    send,
)
from bendwind_core.consensus.replication import open_read_round
from bendwind_core.core import Seconds


def request_barrier(replica: Replica, request_id: int, now: Seconds) -> None:
    """Queue a barrier, and open a read for it unless another read is open."""
    deadline = now + replica.settings.barrier_s
    replica.reads.local.append(LocalRead(request_id, deadline))
    if not replica.reads.is_open:
        open_read(replica, now)


def open_read(replica: Replica, now: Seconds) -> None:
    """Open one read for all waiting barriers, and send it to the leader."""
    reads = replica.reads
    reads.is_open = False
    if not reads.local or replica.leader is None:
        return
    reads.number += 1
    reads.is_open = True
    reads.started_at = now
    for read in reads.local:
        read.number = reads.number
    if replica.is_leader:
        _queue_read(replica, LeaderRead(replica.voter, reads.number), now)
        return
    request = ReadRequest(
        create_head(replica, replica.leader),
        number=reads.number,
    )
    send(replica, request, replica.leader)


def receive_read_request(replica: Replica, request: ReadRequest, now: Seconds) -> None:
    """Queue the read of a member; a repeated read replaces the member's previous one."""
    if replica.is_leader and replica.voters.find_member(request.head.sender.voter_id):
        _queue_read(replica, LeaderRead(request.head.sender, request.number), now)


def _queue_read(replica: Replica, read: LeaderRead, now: Seconds) -> None:
    kept = [known for known in replica.reads.leader if known.voter != read.voter]
    is_round_open = any(known.round for known in kept)
    replica.reads.leader = [*kept, read]
    if not is_round_open:
        open_read_round(replica, now)


def confirm_reads(replica: Replica, now: Seconds) -> None:
    """Answer the reads whose round a quorum has confirmed, and open a round for the others."""
    if not replica.is_leader or replica.log.term_at(replica.commit) != replica.hard_state.term:
        return
    confirmed = _confirmed_round(replica)
    done = [read for read in replica.reads.leader if 0 < read.round <= confirmed]
    if not done:
        return
    replica.reads.leader = [read for read in replica.reads.leader if read not in done]
    for read in done:
        _answer_read(replica, read, now)
    if any(read.round == 0 for read in replica.reads.leader):
        open_read_round(replica, now)


def _confirmed_round(replica: Replica) -> int:
    rounds = {voter_id: progress.round for voter_id, progress in replica.progress.items()}
    rounds[replica.voter.voter_id] = replica.round
    return replica.voters.find_majority_value(rounds)


def _answer_read(replica: Replica, read: LeaderRead, now: Seconds) -> None:
    if read.voter == replica.voter:
        finish_read(replica, read.number, replica.commit, now)
        return
    reply = ReadReply(
        create_head(replica, read.voter),
        number=read.number,
        index=replica.commit,
    )
    send(replica, reply, read.voter)


def finish_read(replica: Replica, number: int, index: int, now: Seconds) -> None:
    """Complete the open read; its barriers wait until the index is applied."""
    reads = replica.reads
    if not reads.is_open or number != reads.number:
        return
    done = [read for read in reads.local if read.number == number]
    reads.local = [read for read in reads.local if read.number != number]
    reads.ready += [ReadyRead(read.request_id, index, reads.started_at) for read in done]
    open_read(replica, now)


def finish_barriers(replica: Replica) -> None:
    """Complete the confirmed barriers whose index this replica has applied."""
    done = [read for read in replica.reads.ready if read.index <= replica.applied]
    if not done:
        return
    replica.reads.ready = [read for read in replica.reads.ready if read.index > replica.applied]
    for read in done:
        replica.effects.append(BarrierDone(read.request_id, read.index, read.started_at))


def tick_reads(replica: Replica, now: Seconds) -> None:
    """Fail barriers past their deadline, and repeat a read whose reply is overdue."""
    reads = replica.reads
    for read in [read for read in reads.local if now >= read.deadline]:
        reads.local.remove(read)
        replica.effects.append(BarrierFailed(read.request_id, replica.leader_name()))
    is_overdue = now - reads.started_at >= replica.settings.election_s / 2
    if not reads.is_open or is_overdue:
        open_read(replica, now)
