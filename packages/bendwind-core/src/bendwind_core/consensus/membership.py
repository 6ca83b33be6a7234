"""Change the voter set through the log as voters join and leave.

A voter with an empty disk joins as a learner. Once it has caught up, it replaces the voter of the
same name. If the voter set is open, it becomes a voter while there are too few, and otherwise
replaces any silent voter. A silent voter that only makes the number of voters even is removed.
While none is silent, learners replace voters of a data centre that holds a majority.
Source: Ongaro, 2014, chapter 4.
"""

import msgspec

from bendwind_core.consensus.records import Voter
from bendwind_core.consensus.removal import append_voter_removal, send_removed
from bendwind_core.consensus.replacement import begin_replacement, can_replace, end_replacement
from bendwind_core.consensus.replica import Replica
from bendwind_core.consensus.spread import choose_leaving, find_exchange, order_learners
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
    learners = _list_caught_up(replica, now)
    present = [voter for voter in replica.voters.voters if not is_silent(replica, voter, now)]
    for learner in order_learners(learners, present):
        if _assign_learner(replica, learner, now):
            return
    _remove_redundant_voter(replica, now)
    if not replica.is_change_pending:
        _spread_voters(replica, learners, now)


def _list_caught_up(replica: Replica, now: Seconds) -> list[Voter]:
    learners = replica.voters.learners
    return [learner for learner in learners if _is_caught_up(replica, learner, now)]


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
    leaving = choose_leaving(silent, replica.voters.voters, learner)
    if leaving is not None and can_replace(replica):
        begin_replacement(replica, leaving, learner, now)
    elif not predecessors and _can_add_voter(replica):
        _promote(replica, learner, now)
    elif leaving is not None:
        append_voter_removal(replica, leaving, now)
    else:
        return False
    return True


def _spread_voters(replica: Replica, learners: list[Voter], now: Seconds) -> None:
    """Begin to replace a voter of a data centre with a majority, if no voter is lost."""
    voters = replica.voters.voters
    is_permitted = replica.settings.open_to > 0 and can_replace(replica)
    if not is_permitted or not all(_has_answered(replica, voter, now) for voter in voters):
        return
    exchange = find_exchange(voters, learners, replica.voter)
    if exchange is not None:
        begin_replacement(replica, exchange.leaving, exchange.joining, now)


def _has_answered(replica: Replica, voter: Voter, now: Seconds) -> bool:
    """Return whether a voter has confirmed an entry of this term and made contact recently."""
    # A new leader counts each voter as in contact until an election timeout has passed.
    if voter.voter_id == replica.voter.voter_id:
        return True
    confirmed_term = replica.log.term_at(replica.progress[voter.voter_id].match)
    is_of_this_term = confirmed_term == replica.hard_state.term
    return is_of_this_term and has_recent_contact(replica, voter, now)


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
