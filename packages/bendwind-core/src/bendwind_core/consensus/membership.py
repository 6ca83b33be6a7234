"""Change the voter set through the log, one voter at a time.

A voter with an empty disk enters as a learner. Once it has caught up, the voter it replaces is
taken out, and the learner is made a voter by the next change. Where the set is open, a newcomer
is made a voter while there are too few, and otherwise replaces whichever voter fell silent; one
that only makes the number even is taken out without a successor.
Source: Ongaro, 2014, chapter 4.
"""

import random

import msgspec

from bendwind_core.consensus.election import become_follower
from bendwind_core.consensus.events import (
    NotLeader,
    ProposalDone,
    Refused,
    RemoveVoter,
    SelfRemoved,
)
from bendwind_core.consensus.messages import Removed
from bendwind_core.consensus.records import Entry, Voter, VoterSet
from bendwind_core.consensus.replica import (
    Progress,
    Replica,
    Role,
    append_entry,
    draw_timeout,
    head_to,
    send,
)
from bendwind_core.consensus.replication import broadcast, create_progress
from bendwind_core.core import Seconds

# A voter is replaced only after a silence that no restart of its process lasts.
SILENT_TIMEOUTS = 3
MAX_REMOVED = 1024
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
    if is_known or not is_permitted or not _may_change(replica):
        return
    replaced = [
        learner
        for learner in voters.learners
        if learner.name == newcomer.name or _is_forgotten(replica, learner, now)
    ]
    kept = tuple(learner for learner in voters.learners if learner not in replaced)
    changed = msgspec.structs.replace(
        voters,
        learners=(*kept, newcomer),
        removed=_add_removed(voters, replaced),
    )
    _append_change(replica, changed, now)


def _is_forgotten(replica: Replica, learner: Voter, now: Seconds) -> bool:
    progress = replica.progress.get(learner.voter_id)
    return progress is not None and now - progress.contact_at > FORGET_LEARNER


def _may_change(replica: Replica) -> bool:
    is_settled = replica.log.term_at(replica.commit) == replica.hard.term
    return replica.is_leader and is_settled and not replica.is_change_pending


def _add_removed(voters: VoterSet, gone: list[Voter]) -> tuple[int, ...]:
    ids = tuple(voter.voter_id for voter in gone)
    return (voters.removed + ids)[-MAX_REMOVED:]


def _append_change(replica: Replica, voters: VoterSet, now: Seconds) -> None:
    entry = Entry(replica.log.last_index + 1, replica.hard.term, voters=voters)
    append_entry(replica, entry)
    create_progress(replica, now)
    broadcast(replica, now)


def tick_membership(replica: Replica, now: Seconds) -> None:
    """Make the next change that a caught-up learner or a voter gone for good needs."""
    if not _may_change(replica):
        return
    for learner in replica.voters.learners:
        progress = replica.progress[learner.voter_id]
        if not _is_caught_up(replica, progress, now):
            continue
        former = [voter for voter in replica.voters.voters if voter.name == learner.name]
        if not former and _has_place(replica):
            _promote(replica, learner, now)
            return
        silent = [
            voter
            for voter in former or _list_replaceable(replica)
            if _is_silent(replica, voter, now)
        ]
        if silent:
            _take_out(replica, silent[0], now)
            return
    _drop_needless_voter(replica, now)


def _drop_needless_voter(replica: Replica, now: Seconds) -> None:
    """Take a silent voter out of an open set that bears no more losses with it than without it.

    Four voters bear one loss, as three do, and the silent voter is that loss already. An odd number
    is left alone: without the silent one it would bear no more losses.
    """
    voters = replica.voters.voters
    is_awaiting = any(_is_heard(replica, learner, now) for learner in replica.voters.learners)
    if len(voters) < MIN_VOTERS_TO_DROP_ONE or len(voters) % 2 == 1 or is_awaiting:
        return
    silent = [voter for voter in _list_replaceable(replica) if _is_silent(replica, voter, now)]
    if silent:
        _take_out(replica, silent[0], now)


def _has_place(replica: Replica) -> bool:
    limit = replica.settings.open_to
    return limit == 0 or len(replica.voters.voters) < limit


def _list_replaceable(replica: Replica) -> tuple[Voter, ...]:
    return replica.voters.voters if replica.settings.open_to else ()


def _is_caught_up(replica: Replica, progress: Progress, now: Seconds) -> bool:
    return _is_heard(replica, progress.voter, now) and progress.match >= replica.commit


def _is_heard(replica: Replica, learner: Voter, now: Seconds) -> bool:
    return now - replica.progress[learner.voter_id].contact_at <= replica.settings.election_s


def _is_silent(replica: Replica, voter: Voter, now: Seconds) -> bool:
    progress = replica.progress.get(voter.voter_id)
    limit = SILENT_TIMEOUTS * replica.settings.election_s
    return progress is not None and now - progress.contact_at > limit


def _promote(replica: Replica, learner: Voter, now: Seconds) -> None:
    voters = replica.voters
    learners = tuple(known for known in voters.learners if known != learner)
    changed = msgspec.structs.replace(voters, voters=(*voters.voters, learner), learners=learners)
    _append_change(replica, changed, now)


def _take_out(replica: Replica, voter: Voter, now: Seconds) -> None:
    voters = replica.voters
    changed = msgspec.structs.replace(
        voters,
        voters=tuple(known for known in voters.voters if known != voter),
        removed=_add_removed(voters, [voter]),
    )
    _append_change(replica, changed, now)


def remove_voter(replica: Replica, event: RemoveVoter, now: Seconds) -> None:
    """Take the voter of a name out of the set, unless a change is under way or it is the last."""
    if not replica.is_leader:
        outcome = NotLeader(replica.leader_name())
        replica.effects.append(ProposalDone(event.request_id, outcome))
        return
    found = [voter for voter in replica.voters.voters if voter.name == event.name]
    reason = _find_objection(replica, found)
    if reason:
        replica.effects.append(ProposalDone(event.request_id, Refused(reason)))
        return
    _take_out(replica, found[0], now)
    replica.proposals[replica.log.last_index] = event.request_id


def _find_objection(replica: Replica, found: list[Voter]) -> str:
    if not found:
        return "no voter has this name"
    if len(replica.voters.voters) == 1:
        return "the last voter cannot be removed"
    if not _may_change(replica):
        return "another change of voters is under way"
    return ""


def leave_when_removed(replica: Replica, now: Seconds, rng: random.Random) -> None:
    """Stop taking part once a committed voter set names the own id as removed."""
    is_removed = replica.voter.voter_id in replica.committed_voters.removed
    if is_removed and replica.role is not Role.REMOVED:
        become_removed(replica, now, rng)


def become_removed(replica: Replica, now: Seconds, rng: random.Random) -> None:
    """Take no further part under this id."""
    become_follower(replica, replica.hard.term, None, now, rng)
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
