"""Replace a voter by a learner without reducing the fault tolerance in any intermediate state.

First a joint set is appended, in which both have a vote: with any two of five disks lost and a
third voter down, the old and the new voters both have a majority once that voter is back. Once
the successor holds the joint set, the set without the leaving voter is appended. If the successor
becomes silent while the leaving voter is reachable, the old set is restored instead.
Source: Ongaro, 2014, section 4.3.
"""

import msgspec

from bendwind_core.consensus.events import ProposalDone, Refused
from bendwind_core.consensus.records import Voter
from bendwind_core.consensus.replica import Replica
from bendwind_core.consensus.voter_changes import (
    add_removed,
    append_change,
    has_recent_contact,
    is_silent,
)
from bendwind_core.core import Seconds


def can_replace(replica: Replica) -> bool:
    """Return whether a voter can be replaced in one joint change.

    With an even number of voters, a voter is removed first: the remaining odd number tolerates as
    many losses. A process without support for joint sets would accept a majority of the remaining
    voters as a quorum, which is only correct if the number of voters is odd.
    """
    return len(replica.voters.voters) % 2 == 1


def begin_replacement(replica: Replica, leaving: Voter, joining: Voter, now: Seconds) -> None:
    """Append the joint set in which both a voter and the learner that succeeds it have a vote."""
    voters = replica.voters
    joint = msgspec.structs.replace(
        voters,
        voters=tuple(voter for voter in voters.voters if voter != leaving),
        learners=tuple(learner for learner in voters.learners if learner != joining),
        leaving=(leaving,),
        joining=(joining,),
    )
    append_change(replica, joint, now)


def end_replacement(replica: Replica, now: Seconds) -> None:
    """Append the new or the old set after a committed joint set, or wait until it is decided."""
    voters = replica.voters
    is_successor_silent = any(is_silent(replica, voter, now) for voter in voters.joining)
    is_former_reachable = all(has_recent_contact(replica, voter, now) for voter in voters.leaving)
    if is_successor_silent and is_former_reachable:
        _revert(replica, now)
    elif is_successor_silent or all(_has_joint_set(replica, voter) for voter in voters.joining):
        _complete(replica, now)


def _has_joint_set(replica: Replica, joining: Voter) -> bool:
    if joining.voter_id == replica.voter.voter_id:
        return True
    return replica.progress[joining.voter_id].match >= replica.configurations[-1].index


def _complete(replica: Replica, now: Seconds) -> None:
    voters = replica.voters
    changed = msgspec.structs.replace(
        voters,
        voters=voters.new_voters,
        removed=add_removed(voters, voters.leaving),
        leaving=(),
        joining=(),
    )
    append_change(replica, changed, now)
    if replica.removal is not None:
        replica.proposals[replica.log.last_index] = replica.removal
        replica.removal = None


def _revert(replica: Replica, now: Seconds) -> None:
    voters = replica.voters
    restored = msgspec.structs.replace(
        voters,
        voters=voters.old_voters,
        learners=voters.learners + voters.joining,
        leaving=(),
        joining=(),
    )
    append_change(replica, restored, now)
    if replica.removal is not None:
        outcome = Refused("the voter that was to follow it fell silent")
        replica.effects.append(ProposalDone(replica.removal, outcome))
        replica.removal = None


def list_unconfirmed_voters(replica: Replica) -> tuple[Voter, ...]:
    """Return the voters that must still confirm the joint set: first all, then the successor."""
    if not replica.is_leader or not replica.voters.is_joint:
        return ()
    index = replica.configurations[-1].index
    awaited = replica.voters.voting_members if replica.is_change_pending else replica.voters.joining
    known = [replica.progress[v.voter_id] for v in awaited if v.voter_id in replica.progress]
    return tuple(progress.voter for progress in known if progress.match < index)
