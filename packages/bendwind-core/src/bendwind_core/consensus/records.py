"""Define the stored and transmitted records of the replicated log."""

from collections.abc import Collection, Mapping

from bendwind_core.core import Count, Port, Record


class Voter(Record, frozen=True, array_like=True):
    """Identify a voter by its name and the random id of the disk that it runs on.

    An emptied disk gets a new id, so that a voter which lost its record of votes counts as a
    different voter. `host` and `port` are the address at which its peers reach it, unless the
    settings define it.
    """

    name: str
    voter_id: Count
    host: str = ""
    port: Port = 0
    data_centre: str = ""


class VoterSet(Record, frozen=True, array_like=True):
    """Hold the voters, the learners and the ids that may never vote again.

    `cluster` is a random id that is generated once, when the first voters form the cluster. While a
    voter is being replaced the set is joint: `voters` remain, `leaving` is replaced by `joining`,
    and every decision needs both a majority of the old voters (`voters` and `leaving`) and a
    majority of the new voters (`voters` and `joining`). A process without support for joint sets
    takes `voters` for all voters. Only one voter of an odd number is replaced at a time, so that
    each majority of `voters` is also a majority of both the old and the new voters.
    Source: Ongaro, 2014, section 4.3.
    """

    cluster: Count = 0
    voters: tuple[Voter, ...] = ()
    learners: tuple[Voter, ...] = ()
    removed: tuple[Count, ...] = ()
    leaving: tuple[Voter, ...] = ()
    joining: tuple[Voter, ...] = ()

    @property
    def is_joint(self) -> bool:
        """Return whether a voter is being replaced."""
        return bool(self.leaving or self.joining)

    @property
    def old_voters(self) -> tuple[Voter, ...]:
        """Return the voters before the replacement in progress, if any."""
        return self.voters + self.leaving

    @property
    def new_voters(self) -> tuple[Voter, ...]:
        """Return the voters after the replacement in progress, if any."""
        return self.voters + self.joining

    @property
    def voting_members(self) -> tuple[Voter, ...]:
        """Return all members with a vote, including a voter being replaced and its successor."""
        return self.voters + self.leaving + self.joining

    @property
    def members(self) -> tuple[Voter, ...]:
        """Return all members that hold the log: those with a vote, and the learners."""
        return self.voting_members + self.learners

    def has_voter(self, voter_id: int) -> bool:
        """Return whether the member with this id has a vote."""
        return any(voter.voter_id == voter_id for voter in self.voting_members)

    def find_member(self, voter_id: int) -> Voter | None:
        """Return the voter or learner with this id, or None."""
        return next((member for member in self.members if member.voter_id == voter_id), None)

    def list_quorum_groups(self) -> tuple[tuple[Voter, ...], ...]:
        """Return the groups that each need a majority: two while the set is joint, else one."""
        return (self.old_voters, self.new_voters) if self.is_joint else (self.voters,)

    def is_quorum(self, voter_ids: Collection[int]) -> bool:
        """Return whether these ids are a majority of each quorum group."""
        return self.find_majority_value(dict.fromkeys(voter_ids, 1)) == 1

    def find_majority_value(self, reached: Mapping[int, int]) -> int:
        """Return the highest value that a majority of each group has reached, by voter id.

        A voter without a value counts as 0.
        """
        return min(_find_majority_value(group, reached) for group in self.list_quorum_groups())


def _find_majority_value(voters: tuple[Voter, ...], reached: Mapping[int, int]) -> int:
    values = sorted((reached.get(voter.voter_id, 0) for voter in voters), reverse=True)
    return values[len(values) // 2] if values else 0


class Entry(Record, frozen=True, array_like=True):
    """Hold one log entry: a command or a voter set, or neither for a leader's first entry."""

    index: Count
    term: Count
    command: bytes = b""
    voters: VoterSet | None = None


class HardState(Record, frozen=True, array_like=True):
    """Hold the term, vote and cluster that a replica must retain across a restart."""

    term: Count = 0
    voted_for: Count = 0
    cluster: Count = 0


class Snapshot(Record, frozen=True, array_like=True):
    """Hold the state of the state machine at an index, which replaces the log up to there."""

    index: Count = 0
    term: Count = 0
    voters: VoterSet = VoterSet()
    data: bytes = b""


class VotersAt(Record, frozen=True, array_like=True):
    """Hold the voter set that became active with the entry at an index."""

    index: Count
    voters: VoterSet


EMPTY_SNAPSHOT = Snapshot()
