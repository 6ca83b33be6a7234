"""Remove a voter on an operator's request, and exclude removed voters from the cluster."""

import random

import msgspec

from bendwind_core.consensus.election import become_follower, transfer_leadership
from bendwind_core.consensus.events import (
    NotLeader,
    ProposalDone,
    Refused,
    RemoveVoter,
    SelfRemoved,
)
from bendwind_core.consensus.messages import Removed
from bendwind_core.consensus.records import Voter
from bendwind_core.consensus.replacement import begin_replacement, can_replace
from bendwind_core.consensus.replica import Replica, Role, create_head, draw_timeout, send
from bendwind_core.consensus.voter_changes import (
    add_removed,
    append_change,
    can_change_voters,
    has_recent_contact,
)
from bendwind_core.core import Seconds


def append_voter_removal(replica: Replica, voter: Voter, now: Seconds) -> None:
    """Append the voter set without a voter that gets no successor."""
    voters = replica.voters
    changed = msgspec.structs.replace(
        voters,
        voters=tuple(known for known in voters.voters if known != voter),
        removed=add_removed(voters, (voter,)),
    )
    append_change(replica, changed, now)


def remove_voter(replica: Replica, event: RemoveVoter, now: Seconds) -> None:
    """Remove the voter of a name unless a change is in progress or it is the last voter.

    If possible, a learner replaces it in the same change, so that the fault tolerance is kept.
    """
    if not replica.is_leader:
        outcome = NotLeader(replica.leader_name())
        replica.effects.append(ProposalDone(event.request_id, outcome))
        return
    found = [voter for voter in replica.voters.voters if voter.name == event.name]
    reason = _find_refusal_reason(replica, found)
    if reason:
        replica.effects.append(ProposalDone(event.request_id, Refused(reason)))
        return
    successor = _find_successor(replica, now)
    if successor is None:
        append_voter_removal(replica, found[0], now)
        replica.proposals[replica.log.last_index] = event.request_id
        return
    begin_replacement(replica, found[0], successor, now)
    replica.removal = event.request_id


def _find_refusal_reason(replica: Replica, found: list[Voter]) -> str:
    if replica.voters.is_joint or (found and not can_change_voters(replica)):
        return "another change of voters is under way"
    if not found:
        return "no voter has this name"
    if len(replica.voters.voters) == 1:
        return "the last voter cannot be removed"
    return ""


def _find_successor(replica: Replica, now: Seconds) -> Voter | None:
    """Return the reachable learner with the most complete log, or None if no learner can succeed.

    The learner need not have caught up: the leaving voter keeps its vote until its successor holds
    the joint set.
    """
    if not replica.settings.open_to or not can_replace(replica):
        return None
    reachable = [
        learner for learner in replica.voters.learners if has_recent_contact(replica, learner, now)
    ]
    return max(reachable, key=lambda one: replica.progress[one.voter_id].match, default=None)


def leave_if_removed(replica: Replica, now: Seconds, rng: random.Random) -> None:
    """Stop participating once a committed voter set lists the own id as removed."""
    is_removed = replica.voter.voter_id in replica.committed_voters.removed
    if is_removed and replica.role is not Role.REMOVED:
        # If the replaced voter is the leader, this avoids the wait for an election timeout.
        transfer_leadership(replica, now)
        become_removed(replica, now, rng)


def become_removed(replica: Replica, now: Seconds, rng: random.Random) -> None:
    """Stop participating under this id."""
    become_follower(replica, replica.hard_state.term, None, now, rng)
    replica.role = Role.REMOVED
    replica.effects.append(SelfRemoved())


def rejoin(replica: Replica, voter: Voter, now: Seconds, rng: random.Random) -> None:
    """Participate again under a new id, without being a member; a leader will complete the log."""
    if replica.role is not Role.REMOVED:
        return
    replica.voter = voter
    replica.role = Role.FOLLOWER
    replica.deadline = now + draw_timeout(replica.settings, rng)
    replica.heartbeat_at = now


def send_removed(replica: Replica, voter: Voter) -> None:
    """Notify a voter of its removal; only a leader knows that the removal is committed."""
    if not replica.is_leader or voter.voter_id not in replica.committed_voters.removed:
        return
    message = Removed(create_head(replica, voter))
    send(replica, message, voter)
