"""Replace a voter by a learner so that no state on the way bears fewer losses.

A joint set comes first, in which both count: with any two of five disks lost and a third voter
down, both halves still have a majority once that one is back. Once the successor holds it, the set
without the former voter follows. If the successor falls silent and the former one is heard, the
former set comes back instead.
Source: Ongaro, 2014, section 4.3.
"""

import msgspec

from bendwind_core.consensus.events import ProposalDone, Refused
from bendwind_core.consensus.records import Voter
from bendwind_core.consensus.replica import Replica
from bendwind_core.consensus.voter_changes import add_removed, append_change, is_heard, is_silent
from bendwind_core.core import Seconds


def can_replace(replica: Replica) -> bool:
    """Tell whether a voter can be replaced in one joint change.

    Of an even number a voter is taken out first: the odd number left bears as many losses. A
    process that knows no joint sets would take a majority of those that stay for enough, which
    it is of an odd number only.
    """
    return len(replica.voters.voters) % 2 == 1


def begin_replacement(replica: Replica, leaving: Voter, joining: Voter, now: Seconds) -> None:
    """Append the joint set in which both a voter and the learner that follows it count."""
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
    """Follow a committed joint set by the new one, or by the former one, or wait to know which."""
    voters = replica.voters
    is_successor_silent = any(is_silent(replica, voter, now) for voter in voters.joining)
    is_former_heard = all(is_heard(replica, voter, now) for voter in voters.leaving)
    if is_successor_silent and is_former_heard:
        _give_up(replica, now)
    elif is_successor_silent or all(_holds_joint(replica, voter) for voter in voters.joining):
        _finish(replica, now)


def _holds_joint(replica: Replica, joining: Voter) -> bool:
    if joining.voter_id == replica.voter.voter_id:
        return True
    return replica.progress[joining.voter_id].match >= replica.configurations[-1].index


def _finish(replica: Replica, now: Seconds) -> None:
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


def _give_up(replica: Replica, now: Seconds) -> None:
    voters = replica.voters
    former = msgspec.structs.replace(
        voters,
        voters=voters.old_voters,
        learners=voters.learners + voters.joining,
        leaving=(),
        joining=(),
    )
    append_change(replica, former, now)
    if replica.removal is not None:
        outcome = Refused("the voter that was to follow it fell silent")
        replica.effects.append(ProposalDone(replica.removal, outcome))
        replica.removal = None


def list_unconfirmed_voters(replica: Replica) -> tuple[Voter, ...]:
    """Return whose confirmation a leader's replacement waits for: of all, then of the successor."""
    if not replica.is_leader or not replica.voters.is_joint:
        return ()
    index = replica.configurations[-1].index
    asked = replica.voters.voting_members if replica.is_change_pending else replica.voters.joining
    known = [replica.progress[v.voter_id] for v in asked if v.voter_id in replica.progress]
    return tuple(progress.voter for progress in known if progress.match < index)
