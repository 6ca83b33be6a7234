"""Change the voter set through the log as voters join and leave.

A voter with an empty disk joins as a learner. Once it has caught up, it replaces the voter of the
same name. If the voter set is open, it becomes a voter while there are too few, and otherwise
replaces any silent voter. A silent voter that only makes the number of voters even is removed.
Source: Ongaro, 2014, chapter 4.
"""

import msgspec

from bendwind_core.consensus.records import Voter
from bendwind_core.consensus.removal import append_voter_removal, send_removed
from bendwind_core.consensus.replacement import begin_replacement, can_replace, end_replacement
from bendwind_core.consensus.replica import Replica
from bendwind_core.consensus.voter_changes import (
    add_removed,
    append_change,
    can_change_voters,
    has_recent_contact,
    is_silent,
)
from bendwind_core.core import Seconds

# Two voters have a quorum of two: if one of them is silent, no change can be committed.
MIN_VOTERS_FOR_REMOVAL = 4
# A learner without contact for this long may be removed: a learner that never returns costs one
# message per heartbeat, and a learner that returns can join again.
LEARNER_EXPIRY: Seconds = 60.0


def admit_learner(replica: Replica, newcomer: Voter, now: Seconds) -> None:
    """Admit a voter with an empty disk as a learner if its name or an open voter set allows it."""
    voters = replica.voters
    if newcomer.voter_id in voters.removed:
        send_removed(replica, newcomer)
        return
    is_known = voters.find_member(newcomer.voter_id) is not None
    is_permitted = replica.settings.open_to > 0 or newcomer.name in replica.names
    if is_known or not is_permitted or voters.is_joint or not can_change_voters(replica):
        return
    replaced = tuple(
        learner
        for learner in voters.learners
        if learner.name == newcomer.name or _is_expired(replica, learner, now)
    )
    kept = tuple(learner for learner in voters.learners if learner not in replaced)
    changed = msgspec.structs.replace(
        voters,
        learners=(*kept, newcomer),
        removed=add_removed(voters, replaced),
    )
    append_change(replica, changed, now)


def _is_expired(replica: Replica, learner: Voter, now: Seconds) -> bool:
    progress = replica.progress.get(learner.voter_id)
    return progress is not None and now - progress.contact_at > LEARNER_EXPIRY


def tick_membership(replica: Replica, now: Seconds) -> None:
    """Append the next change required by a caught-up learner or a silent voter."""
    if not can_change_voters(replica):
        return
    if replica.voters.is_joint:
        end_replacement(replica, now)
        return
    for learner in replica.voters.learners:
        if _is_caught_up(replica, learner, now) and _assign_learner(replica, learner, now):
            return
    _remove_redundant_voter(replica, now)


def _is_caught_up(replica: Replica, learner: Voter, now: Seconds) -> bool:
    is_current = replica.progress[learner.voter_id].match >= replica.commit
    return has_recent_contact(replica, learner, now) and is_current


def _assign_learner(replica: Replica, learner: Voter, now: Seconds) -> bool:
    """Assign a learner the place of a silent voter or a free place; return whether one exists."""
    predecessors = tuple(voter for voter in replica.voters.voters if voter.name == learner.name)
    silent = [
        voter
        for voter in predecessors or _list_replaceable(replica)
        if is_silent(replica, voter, now)
    ]
    if silent and can_replace(replica):
        begin_replacement(replica, silent[0], learner, now)
    elif not predecessors and _can_add_voter(replica):
        _promote(replica, learner, now)
    elif silent:
        append_voter_removal(replica, silent[0], now)
    else:
        return False
    return True


def _remove_redundant_voter(replica: Replica, now: Seconds) -> None:
    """Remove a silent voter from an open set if it does not increase the fault tolerance.

    Four voters tolerate the loss of one, as three do, and the silent voter is already that loss.
    An odd number of voters is kept: removing the silent one would not increase the tolerance.
    """
    voters = replica.voters.voters
    has_active_learner = any(
        has_recent_contact(replica, learner, now) for learner in replica.voters.learners
    )
    if len(voters) < MIN_VOTERS_FOR_REMOVAL or len(voters) % 2 == 1 or has_active_learner:
        return
    silent = [voter for voter in _list_replaceable(replica) if is_silent(replica, voter, now)]
    if silent:
        append_voter_removal(replica, silent[0], now)


def _can_add_voter(replica: Replica) -> bool:
    limit = replica.settings.open_to
    return limit == 0 or len(replica.voters.voters) < limit


def _list_replaceable(replica: Replica) -> tuple[Voter, ...]:
    return replica.voters.voters if replica.settings.open_to else ()


def _promote(replica: Replica, learner: Voter, now: Seconds) -> None:
    voters = replica.voters
    learners = tuple(known for known in voters.learners if known != learner)
    changed = msgspec.structs.replace(voters, voters=(*voters.voters, learner), learners=learners)
    append_change(replica, changed, now)
