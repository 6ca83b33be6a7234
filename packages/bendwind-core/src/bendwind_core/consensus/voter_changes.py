"""Append changes of the voter set, one at a time, and tell who was heard of."""

from bendwind_core.consensus.records import Entry, Voter, VoterSet
from bendwind_core.consensus.replica import Replica, append_entry
from bendwind_core.consensus.replication import broadcast, create_progress
from bendwind_core.core import Seconds

# A voter is replaced only after a silence that no restart of its process lasts.
SILENT_TIMEOUTS = 3
MAX_REMOVED = 1024


def may_change(replica: Replica) -> bool:
    """Tell whether this replica leads, and knows the newest voter set to be committed."""
    is_settled = replica.log.term_at(replica.commit) == replica.hard_state.term
    return replica.is_leader and is_settled and not replica.is_change_pending


def append_change(replica: Replica, voters: VoterSet, now: Seconds) -> None:
    """Append a voter set, which is in force from now on, and send it to all members."""
    entry = Entry(replica.log.last_index + 1, replica.hard_state.term, voters=voters)
    append_entry(replica, entry)
    create_progress(replica, now)
    broadcast(replica, now)


def add_removed(voters: VoterSet, gone: tuple[Voter, ...]) -> tuple[int, ...]:
    """Return the removed ids with those of some more members."""
    ids = tuple(voter.voter_id for voter in gone)
    return (voters.removed + ids)[-MAX_REMOVED:]


def is_heard(replica: Replica, member: Voter, now: Seconds) -> bool:
    """Tell whether a member is this replica, or was heard within an election timeout."""
    if member.voter_id == replica.voter.voter_id:
        return True
    progress = replica.progress.get(member.voter_id)
    return progress is not None and now - progress.contact_at <= replica.settings.election_s


def is_silent(replica: Replica, member: Voter, now: Seconds) -> bool:
    """Tell whether another member was not heard for so long that it may be gone for good."""
    progress = replica.progress.get(member.voter_id)
    limit = SILENT_TIMEOUTS * replica.settings.election_s
    return progress is not None and now - progress.contact_at > limit
