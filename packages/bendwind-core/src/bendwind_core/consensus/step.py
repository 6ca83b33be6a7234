"""Advance a replica by one event."""

import random

from bendwind_core.consensus.barriers import (
    confirm_reads,
    finish_barriers,
    finish_read,
    receive_read_request,
    request_barrier,
    tick_reads,
)
from bendwind_core.consensus.bootstrap import (
    abandon_first_entry,
    adopt_cluster,
    gives_way,
    receive_form_cluster,
    receive_join_reply,
    receive_join_request,
    tick_bootstrap,
    tick_without_leader,
)
from bendwind_core.consensus.durability import confirm_writes, request_write
from bendwind_core.consensus.election import (
    become_follower,
    count_votes,
    receive_take_over,
    receive_vote_reply,
    receive_vote_request,
    tick_election,
    transfer_leadership,
)
from bendwind_core.consensus.events import (
    BarrierRequested,
    Effect,
    ForeignCluster,
    IdentityRenewed,
    NotLeader,
    Persisted,
    ProposalDone,
    Propose,
    Received,
    Refused,
    RemoveVoter,
    ReplicaEvent,
    SnapshotTaken,
    Tick,
    TransferLeadership,
)
from bendwind_core.consensus.membership import tick_membership
from bendwind_core.consensus.messages import (
    Append,
    AppendReply,
    ChunkReply,
    ConsensusMessage,
    FormCluster,
    JoinReply,
    JoinRequest,
    MemberMessage,
    ReadReply,
    ReadRequest,
    Removed,
    SnapshotChunk,
    TakeOver,
    VoteReply,
    VoteRequest,
)
from bendwind_core.consensus.records import Entry
from bendwind_core.consensus.removal import (
    become_removed,
    leave_if_removed,
    rejoin,
    remove_voter,
    send_removed,
)
from bendwind_core.consensus.replica import Replica, Role, append_entry
from bendwind_core.consensus.replication import (
    advance_commit,
    apply_committed,
    receive_append,
    receive_append_reply,
    send_heartbeats,
    send_new_entries,
)
from bendwind_core.consensus.replies import reply_append
from bendwind_core.consensus.snapshots import (
    compact_log,
    find_snapshot_limit,
    receive_chunk,
    receive_chunk_reply,
    request_snapshot,
)
from bendwind_core.core import Seconds


def step(replica: Replica, event: ReplicaEvent, now: Seconds, rng: random.Random) -> list[Effect]:
    """Process one event and return the effects to execute in order."""
    match event:
        case Tick():
            _tick(replica, now, rng)
        case Received(message=message):
            _receive(replica, event.sender, message, now, rng)
        case Propose():
            _propose(replica, event, now)
        case RemoveVoter():
            remove_voter(replica, event, now)
        case Persisted(token=token):
            confirm_writes(replica, token)
            count_votes(replica, now)
        case BarrierRequested(request_id=request_id):
            request_barrier(replica, request_id, now)
        case IdentityRenewed(voter=voter):
            rejoin(replica, voter, now, rng)
        case TransferLeadership():
            transfer_leadership(replica, now)
        case SnapshotTaken():
            compact_log(replica, event, now)
    _apply_consequences(replica, now, rng)
    effects = replica.effects
    replica.effects = []
    return effects


def _apply_consequences(replica: Replica, now: Seconds, rng: random.Random) -> None:
    """Apply the consequences that any event may have."""
    advance_commit(replica)
    confirm_reads(replica, now)
    apply_committed(replica)
    finish_barriers(replica)
    leave_if_removed(replica, now, rng)
    request_snapshot(replica)
    request_write(replica, now)


def _tick(replica: Replica, now: Seconds, rng: random.Random) -> None:
    if replica.role is Role.UNFORMED:
        tick_bootstrap(replica, now, rng)
        tick_reads(replica, now)
        return
    tick_election(replica, now, rng)
    if replica.is_leader:
        tick_membership(replica, now)
        if now >= replica.heartbeat_at:
            send_heartbeats(replica, now)
    elif replica.role is not Role.REMOVED:
        tick_without_leader(replica, now)
    tick_reads(replica, now)


def _has_capacity_for(replica: Replica, command: bytes) -> bool:
    """Return whether a command may join the entries that wait for their commit or for a snapshot.

    Every process holds these entries in memory and on disk.
    """
    settings = replica.settings
    if len(replica.proposals) >= settings.pending_proposals:
        return False
    limit = find_snapshot_limit(replica) + settings.pending_bytes
    return replica.log.newer_bytes + len(command) <= limit


def _propose(replica: Replica, event: Propose, now: Seconds) -> None:
    if not replica.is_leader:
        outcome = NotLeader(replica.leader_name())
        replica.effects.append(ProposalDone(event.request_id, outcome))
        return
    if not _has_capacity_for(replica, event.command):
        outcome = Refused("too many proposals are waiting")
        replica.effects.append(ProposalDone(event.request_id, outcome))
        return
    entry = Entry(replica.log.last_index + 1, replica.hard_state.term, event.command)
    append_entry(replica, entry)
    replica.proposals[entry.index] = event.request_id
    send_new_entries(replica, now)


def _receive(
    replica: Replica, sender: str, message: ConsensusMessage, now: Seconds, rng: random.Random
) -> None:
    match message:
        case JoinRequest():
            receive_join_request(replica, message, now)
        case JoinReply():
            receive_join_reply(replica, message)
        case FormCluster():
            receive_form_cluster(replica, message)
        case _:
            if _is_for_member(replica, sender, message):
                _receive_member(replica, message, now, rng)


def _is_for_member(replica: Replica, sender: str, message: MemberMessage) -> bool:
    """Return whether a message is from this cluster, to this id and from an id not removed."""
    if message.head.to != replica.voter.voter_id or message.head.sender.name != sender:
        return False
    if replica.role is Role.REMOVED:
        return False
    is_foreign = message.head.cluster != replica.hard_state.cluster
    if is_foreign and replica.role is not Role.UNFORMED and gives_way(replica, message):
        abandon_first_entry(replica)
    if replica.role is Role.UNFORMED:
        if not isinstance(message, Append | SnapshotChunk):
            return False
        adopt_cluster(replica, message.head.cluster)
    if message.head.cluster != replica.hard_state.cluster:
        replica.effects.append(ForeignCluster(sender))
        return False
    if message.head.sender.voter_id in replica.committed_voters.removed:
        send_removed(replica, message.head.sender)
        return False
    return True


def _receive_member(
    replica: Replica, message: MemberMessage, now: Seconds, rng: random.Random
) -> None:
    match message:
        case VoteRequest():
            receive_vote_request(replica, message, now, rng)
        case VoteReply():
            receive_vote_reply(replica, message, now, rng)
        case Append() | SnapshotChunk():
            _receive_from_leader(replica, message, now, rng)
        case AppendReply() | ChunkReply():
            _receive_from_follower(replica, message, now, rng)
        case ReadRequest():
            receive_read_request(replica, message, now)
        case ReadReply():
            finish_read(replica, message.number, message.index, now)
        case TakeOver():
            receive_take_over(replica, message, now)
        case Removed():
            become_removed(replica, now, rng)


def _receive_from_leader(
    replica: Replica, message: Append | SnapshotChunk, now: Seconds, rng: random.Random
) -> None:
    if message.head.term < replica.hard_state.term:
        reply_append(replica, message, is_matching=False, index=replica.commit)
        return
    if message.head.term > replica.hard_state.term or replica.leader != message.head.sender:
        become_follower(replica, message.head.term, message.head.sender, now, rng)
    if isinstance(message, Append):
        receive_append(replica, message, now, rng)
    else:
        receive_chunk(replica, message, now, rng)


def _receive_from_follower(
    replica: Replica, message: AppendReply | ChunkReply, now: Seconds, rng: random.Random
) -> None:
    if message.head.term > replica.hard_state.term:
        become_follower(replica, message.head.term, None, now, rng)
        return
    if not replica.is_leader or message.head.term < replica.hard_state.term:
        return
    if isinstance(message, AppendReply):
        receive_append_reply(replica, message, now)
    else:
        receive_chunk_reply(replica, message, now)
