"""Elect one leader per term, preceded by a pre-vote; a leader without a quorum steps down.

Source: Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapters 3, 4.2.3, 6.2 and 9.6.
"""

import random

from bendwind_core.consensus.durability import is_disk_stalled
from bendwind_core.consensus.events import LeadershipLost, ProposalDone
from bendwind_core.consensus.messages import TakeOver, VoteReply, VoteRequest
from bendwind_core.consensus.records import Entry, Voter
from bendwind_core.consensus.replica import (
    Replica,
    Role,
    append_entry,
    create_head,
    draw_campaign_delay,
    draw_timeout,
    send,
    send_durable,
    set_hard_state,
    set_leader,
)
from bendwind_core.consensus.replication import send_heartbeats, update_progress
from bendwind_core.core import Seconds


def tick_election(replica: Replica, now: Seconds, rng: random.Random) -> None:
    """Campaign if no leader made contact in time; as leader, step down without a quorum."""
    if replica.is_leader:
        if not has_quorum_contact(replica, now) or is_disk_stalled(replica, now):
            become_follower(replica, replica.hard_state.term, None, now, rng)
    elif now >= replica.deadline:
        replica.deadline = now + draw_campaign_delay(replica, now, rng)
        if _may_campaign(replica, now):
            _campaign(replica, Role.PRE_CANDIDATE, now)


def transfer_leadership(replica: Replica, now: Seconds) -> None:
    """Ask the recently contacted voter with the most complete log to take over leadership.

    A voter that is being replaced is excluded, since it would soon lose leadership again.
    """
    oldest = now - replica.settings.election_s
    candidates = [
        progress
        for progress in replica.progress.values()
        if progress.voter in replica.voters.new_voters and progress.contact_at >= oldest
    ]
    if replica.is_leader and candidates:
        target = max(candidates, key=lambda progress: progress.match).voter
        send(replica, TakeOver(create_head(replica, target)), target)


def receive_take_over(replica: Replica, message: TakeOver, now: Seconds) -> None:
    """Start an election immediately because the leader of this term requested it."""
    if message.head.term == replica.hard_state.term and _may_campaign(replica, now):
        _campaign(replica, Role.CANDIDATE, now, is_transfer=True)


def has_quorum_contact(replica: Replica, now: Seconds) -> bool:
    """Return whether a quorum made contact within the last election timeout."""
    oldest = now - replica.settings.election_s
    recent = {
        progress.voter.voter_id
        for progress in replica.progress.values()
        if progress.contact_at >= oldest
    }
    recent.add(replica.voter.voter_id)
    return replica.voters.is_quorum(recent)


def _may_campaign(replica: Replica, now: Seconds) -> bool:
    # A voter that is removed by a voter set which may not be committed yet can be the only replica
    # that holds this set. It then rejects the vote requests of the others, whose logs are behind,
    # and must be able to lead until the set is committed.
    sets = (replica.voters, replica.committed_voters)
    is_voter = any(voters.has_voter(replica.voter.voter_id) for voters in sets)
    is_eligible = replica.role in (Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE)
    return is_voter and is_eligible and not is_disk_stalled(replica, now)


def _campaign(replica: Replica, role: Role, now: Seconds, *, is_transfer: bool = False) -> None:
    set_leader(replica, None)
    replica.role = role
    replica.votes.clear()
    is_pre_vote = role is Role.PRE_CANDIDATE
    if not is_pre_vote:
        set_hard_state(replica, replica.hard_state.term + 1, replica.voter.voter_id)
    term = replica.hard_state.term + 1 if is_pre_vote else replica.hard_state.term
    for voter in replica.voters.voting_members:
        if voter.voter_id != replica.voter.voter_id:
            request = _vote_request(replica, voter, term, is_pre_vote, is_transfer)
            send_durable(replica, request, voter)
    count_votes(replica, now)


def _vote_request(
    replica: Replica, to: Voter, term: int, is_pre_vote: bool, is_transfer: bool
) -> VoteRequest:
    return VoteRequest(
        create_head(replica, to, term),
        is_pre_vote=is_pre_vote,
        last_index=replica.log.last_index,
        last_term=replica.log.last_term,
        is_transfer=is_transfer,
    )


def receive_vote_request(
    replica: Replica, request: VoteRequest, now: Seconds, rng: random.Random
) -> None:
    """Grant one vote per term to a candidate whose log is not behind; a pre-vote binds nothing."""
    is_disruptive = has_recent_leader(replica, now) and not request.is_transfer
    if is_disruptive and request.head.term > replica.hard_state.term:
        return
    if request.is_pre_vote:
        is_granted = request.head.term > replica.hard_state.term and _is_log_current(
            replica, request
        )
        send(replica, _vote_reply(replica, request, is_granted), request.head.sender)
        return
    if request.head.term > replica.hard_state.term:
        become_follower(replica, request.head.term, None, now, rng)
    is_vote_available = replica.hard_state.voted_for in (0, request.head.sender.voter_id)
    is_granted = (
        request.head.term == replica.hard_state.term
        and replica.role is Role.FOLLOWER
        and is_vote_available
        and _is_log_current(replica, request)
    )
    if is_granted:
        set_hard_state(replica, request.head.term, request.head.sender.voter_id)
        replica.deadline = now + draw_timeout(replica.settings, rng)
    send_durable(replica, _vote_reply(replica, request, is_granted), request.head.sender)


def has_recent_leader(replica: Replica, now: Seconds) -> bool:
    """Return whether a leader, or for a leader a quorum, made contact in an election timeout."""
    if replica.is_leader:
        return has_quorum_contact(replica, now)
    last_contact_at = replica.leader_contact_at
    return last_contact_at is not None and now - last_contact_at < replica.settings.election_s


def _is_log_current(replica: Replica, request: VoteRequest) -> bool:
    own_position = (replica.log.last_term, replica.log.last_index)
    return (request.last_term, request.last_index) >= own_position


def _vote_reply(replica: Replica, request: VoteRequest, is_granted: bool) -> VoteReply:
    return VoteReply(
        create_head(replica, request.head.sender),
        is_pre_vote=request.is_pre_vote,
        request_term=request.head.term,
        is_granted=is_granted,
    )


def receive_vote_reply(
    replica: Replica, reply: VoteReply, now: Seconds, rng: random.Random
) -> None:
    """Count a vote if it belongs to the current request."""
    if reply.head.term > replica.hard_state.term:
        become_follower(replica, reply.head.term, None, now, rng)
        return
    role = Role.PRE_CANDIDATE if reply.is_pre_vote else Role.CANDIDATE
    request_term = replica.hard_state.term + 1 if reply.is_pre_vote else replica.hard_state.term
    if reply.is_granted and replica.role is role and reply.request_term == request_term:
        replica.votes.add(reply.head.sender.voter_id)
        count_votes(replica, now)


def count_votes(replica: Replica, now: Seconds) -> None:
    """Advance when a quorum has granted its votes; the own vote counts once it is synced."""
    if replica.role not in (Role.PRE_CANDIDATE, Role.CANDIDATE):
        return
    is_own_vote_durable = replica.durable_hard_state.term >= replica.hard_state.term
    if replica.role is Role.PRE_CANDIDATE or is_own_vote_durable:
        replica.votes.add(replica.voter.voter_id)
    if not replica.voters.is_quorum(replica.votes):
        return
    if replica.role is Role.PRE_CANDIDATE:
        _campaign(replica, Role.CANDIDATE, now)
    else:
        _become_leader(replica, now)


def _become_leader(replica: Replica, now: Seconds) -> None:
    replica.role = Role.LEADER
    replica.round = 0
    replica.reads.leader.clear()
    replica.proposals.clear()
    replica.progress.clear()
    update_progress(replica, now)
    set_leader(replica, replica.voter)
    append_entry(replica, Entry(replica.log.last_index + 1, replica.hard_state.term))
    send_heartbeats(replica, now)


def become_follower(
    replica: Replica, term: int, leader: Voter | None, now: Seconds, rng: random.Random
) -> None:
    """Adopt a term and a leader; the outcome of uncommitted proposals becomes unknown."""
    if term > replica.hard_state.term:
        set_hard_state(replica, term, 0)
    if replica.role is not Role.REMOVED:
        replica.role = Role.FOLLOWER
    replica.deadline = now + draw_timeout(replica.settings, rng)
    lost = list(replica.proposals.values())
    if replica.removal is not None:
        lost.append(replica.removal)
    replica.effects.extend(ProposalDone(request_id, LeadershipLost()) for request_id in lost)
    replica.proposals.clear()
    replica.removal = None
    replica.progress.clear()
    replica.reads.leader.clear()
    replica.incoming = None
    set_leader(replica, leader)
