"""Change the voter set through the log as voters come and go.

A voter with an empty disk enters as a learner. Once it has caught up it replaces the voter of its
name; where the set is open, it is made a voter while there are too few, and otherwise replaces
whichever voter fell silent. A silent voter that only makes the number even is taken out.
Source: Ongaro, 2014, chapter 4.
"""

import msgspec

from bendwind_core.consensus.records import Voter
from bendwind_core.consensus.removal import take_out, tell_removed
from bendwind_core.consensus.replacement import begin_replacement, can_replace, end_replacement
from bendwind_core.consensus.replica import Replica
from bendwind_core.consensus.voter_changes import (
    add_removed,
    append_change,
    is_heard,
    is_silent,
    may_change,
)
from bendwind_core.core import Seconds

# Two voters have a quorum of two: when one of them is silent, no change can be committed.
MIN_VOTERS_TO_DROP_ONE = 4
# A learner that is gone for good costs a message each heartbeat; one that comes back joins anew.
FORGET_LEARNER: Seconds = 60.0


def admit_learner(replica: Replica, newcomer: Voter, now: Seconds) -> None:
    """Take a voter with an empty disk in as a learner, when its name or the open set permits."""
    voters = replica.voters
    if newcomer.voter_id in voters.removed:
        tell_removed(replica, newcomer)
        return
    is_known = voters.find_member(newcomer.voter_id) is not None
    is_permitted = replica.settings.open_to > 0 or newcomer.name in replica.names
    if is_known or not is_permitted or voters.is_joint or not may_change(replica):
        return
    replaced = tuple(
        learner
        for learner in voters.learners
        if learner.name == newcomer.name or _is_forgotten(replica, learner, now)
    )
    kept = tuple(learner for learner in voters.learners if learner not in replaced)
    changed = msgspec.structs.replace(
        voters,
        learners=(*kept, newcomer),
        removed=add_removed(voters, replaced),
    )
    append_change(replica, changed, now)


def _is_forgotten(replica: Replica, learner: Voter, now: Seconds) -> bool:
    progress = replica.progress.get(learner.voter_id)
    return progress is not None and now - progress.contact_at > FORGET_LEARNER


def tick_membership(replica: Replica, now: Seconds) -> None:
    """Make the next change that a caught-up learner or a voter gone for good needs."""
    if not may_change(replica):
        return
    if replica.voters.is_joint:
        end_replacement(replica, now)
        return
    for learner in replica.voters.learners:
        if _is_caught_up(replica, learner, now) and _find_place(replica, learner, now):
            return
    _drop_needless_voter(replica, now)


def _is_caught_up(replica: Replica, learner: Voter, now: Seconds) -> bool:
    is_current = replica.progress[learner.voter_id].match >= replica.commit
    return is_heard(replica, learner, now) and is_current


def _find_place(replica: Replica, learner: Voter, now: Seconds) -> bool:
    """Give a learner a silent voter's place, or a free one; tell whether there is one."""
    former = tuple(voter for voter in replica.voters.voters if voter.name == learner.name)
    silent = [
        voter for voter in former or _list_replaceable(replica) if is_silent(replica, voter, now)
    ]
    if silent and can_replace(replica):
        begin_replacement(replica, silent[0], learner, now)
    elif not former and _has_place(replica):
        _promote(replica, learner, now)
    elif silent:
        take_out(replica, silent[0], now)
    else:
        return False
    return True


def _drop_needless_voter(replica: Replica, now: Seconds) -> None:
    """Take a silent voter out of an open set that bears no more losses with it than without it.

    Four voters bear one loss, as three do, and the silent voter is that loss already. An odd number
    is left alone: without the silent one it would bear no more losses.
    """
    voters = replica.voters.voters
    is_awaiting = any(is_heard(replica, learner, now) for learner in replica.voters.learners)
    if len(voters) < MIN_VOTERS_TO_DROP_ONE or len(voters) % 2 == 1 or is_awaiting:
        return
    silent = [voter for voter in _list_replaceable(replica) if is_silent(replica, voter, now)]
    if silent:
        take_out(replica, silent[0], now)


def _has_place(replica: Replica) -> bool:
    limit = replica.settings.open_to
    return limit == 0 or len(replica.voters.voters) < limit


def _list_replaceable(replica: Replica) -> tuple[Voter, ...]:
    return replica.voters.voters if replica.settings.open_to else ()


def _promote(replica: Replica, learner: Voter, now: Seconds) -> None:
    voters = replica.voters
    learners = tuple(known for known in voters.learners if known != learner)
    changed = msgspec.structs.replace(voters, voters=(*voters.voters, learner), learners=learners)
    append_change(replica, changed, now)
