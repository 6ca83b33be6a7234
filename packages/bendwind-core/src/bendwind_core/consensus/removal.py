"""Take a voter out by an operator's order, and have whoever was removed take no further part."""

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
from bendwind_core.consensus.replica import Replica, Role, draw_timeout, head_to, send
from bendwind_core.consensus.voter_changes import add_removed, append_change, is_heard, may_change
from bendwind_core.core import Seconds


def take_out(replica: Replica, voter: Voter, now: Seconds) -> None:
    """Append the voter set without a voter that nobody follows."""
    voters = replica.voters
    changed = msgspec.structs.replace(
        voters,
        voters=tuple(known for known in voters.voters if known != voter),
        removed=add_removed(voters, (voter,)),
    )
    append_change(replica, changed, now)


def remove_voter(replica: Replica, event: RemoveVoter, now: Seconds) -> None:
    """Take the voter of a name out of the set, unless a change is under way or it is the last.

    A learner takes its place in the same change, so that as many losses are borne.
    """
    if not replica.is_leader:
        outcome = NotLeader(replica.leader_name())
        replica.effects.append(ProposalDone(event.request_id, outcome))
        return
    found = [voter for voter in replica.voters.voters if voter.name == event.name]
    reason = _find_objection(replica, found)
    if reason:
        replica.effects.append(ProposalDone(event.request_id, Refused(reason)))
        return
    successor = _find_successor(replica, now)
    if successor is None:
        take_out(replica, found[0], now)
        replica.proposals[replica.log.last_index] = event.request_id
        return
    begin_replacement(replica, found[0], successor, now)
    replica.removal = event.request_id


def _find_objection(replica: Replica, found: list[Voter]) -> str:
    if replica.voters.is_joint or (found and not may_change(replica)):
        return "another change of voters is under way"
    if not found:
        return "no voter has this name"
    if len(replica.voters.voters) == 1:
        return "the last voter cannot be removed"
    return ""


def _find_successor(replica: Replica, now: Seconds) -> Voter | None:
    """Return the learner that is heard and holds most of the log, if one can follow a voter.

    It need not have caught up: the voter counts until its successor holds the joint set.
    """
    if not replica.settings.open_to or not can_replace(replica):
        return None
    heard = [learner for learner in replica.voters.learners if is_heard(replica, learner, now)]
    return max(heard, key=lambda one: replica.progress[one.voter_id].match, default=None)


def leave_when_removed(replica: Replica, now: Seconds, rng: random.Random) -> None:
    """Stop taking part once a committed voter set names the own id as removed."""
    is_removed = replica.voter.voter_id in replica.committed_voters.removed
    if is_removed and replica.role is not Role.REMOVED:
        # Nobody waits out an election timeout because the leader itself was replaced.
        transfer_leadership(replica, now)
        become_removed(replica, now, rng)


def become_removed(replica: Replica, now: Seconds, rng: random.Random) -> None:
    """Take no further part under this id."""
    become_follower(replica, replica.hard_state.term, None, now, rng)
    replica.role = Role.REMOVED
    replica.effects.append(SelfRemoved())


def rejoin(replica: Replica, voter: Voter, now: Seconds, rng: random.Random) -> None:
    """Take part again under a new id, as an outsider whose log a leader will complete."""
    if replica.role is not Role.REMOVED:
        return
    replica.voter = voter
    replica.role = Role.FOLLOWER
    replica.deadline = now + draw_timeout(replica.settings, rng)
    replica.heartbeat_at = now


def tell_removed(replica: Replica, voter: Voter) -> None:
    """Tell a replaced voter so; only a leader knows that the removal is committed."""
    if not replica.is_leader or voter.voter_id not in replica.committed_voters.removed:
        return
    message = Removed(head_to(replica, voter))
    send(replica, message, voter)
