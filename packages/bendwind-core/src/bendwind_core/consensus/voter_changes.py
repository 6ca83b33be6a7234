"""Append changes of the voter set, one at a time, and check which members are reachable."""

from bendwind_core.consensus.records import Entry, Voter, VoterSet
from bendwind_core.consensus.replica import Replica, append_entry
from bendwind_core.consensus.replication import broadcast, update_progress
from bendwind_core.core import Seconds

# A voter counts as silent after this many election timeouts without contact. A restart of its
# process takes less time, so it does not cause a replacement.
SILENT_TIMEOUTS = 3
MAX_REMOVED = 1024


def can_change_voters(replica: Replica) -> bool:
    """Return whether this replica leads and knows that the newest voter set is committed."""
    is_commit_current = replica.log.term_at(replica.commit) == replica.hard_state.term
    return replica.is_leader and is_commit_current and not replica.is_change_pending


def append_change(replica: Replica, voters: VoterSet, now: Seconds) -> None:
    """Append a voter set, which becomes active immediately, and send it to all members."""
    entry = Entry(replica.log.last_index + 1, replica.hard_state.term, voters=voters)
    append_entry(replica, entry)
    update_progress(replica, now)
    broadcast(replica, now)


def add_removed(voters: VoterSet, members: tuple[Voter, ...]) -> tuple[int, ...]:
    """Return the removed ids extended by the ids of more members, at most MAX_REMOVED."""
    ids = tuple(voter.voter_id for voter in members)
    return (voters.removed + ids)[-MAX_REMOVED:]


def has_recent_contact(replica: Replica, member: Voter, now: Seconds) -> bool:
    """Return whether a member is this replica or made contact within an election timeout."""
    if member.voter_id == replica.voter.voter_id:
        return True
    progress = replica.progress.get(member.voter_id)
    return progress is not None and now - progress.contact_at <= replica.settings.election_s


def is_silent(replica: Replica, member: Voter, now: Seconds) -> bool:
    """Return whether another member has been silent for so long that it may not return."""
    progress = replica.progress.get(member.voter_id)
    limit = SILENT_TIMEOUTS * replica.settings.election_s
    return progress is not None and now - progress.contact_at > limit
