"""Define the records of the replicated log that are stored and sent."""

from collections.abc import Collection, Mapping

from bendwind_core.core import Record


class Voter(Record, frozen=True, array_like=True):
    """Identify a voter: its name, and the random id of the disk that it runs on.

    An emptied disk gets a new id, so that a voter which lost its votes is a different voter.
    `host` and `port` say where its peers reach it, where that is not left to the settings.
    """

    name: str
    voter_id: int
    host: str = ""
    port: int = 0
    data_centre: str = ""


class VoterSet(Record, frozen=True, array_like=True):
    """Hold the voters, the learners and the ids that may never vote again.

    `cluster` is a random id made once, when the first voters agree to form. While a voter is being
    replaced the set is joint: `voters` are those that stay, `leaving` and `joining` those that are
    exchanged, and whatever is decided needs a majority with the one and a majority with the other.
    A process that knows no joint sets reads those that stay as all voters. One voter of an odd
    number is exchanged, so that each majority of those that stay is one of both.
    Source: Ongaro, 2014, section 4.3.
    """

    cluster: int = 0
    voters: tuple[Voter, ...] = ()
    learners: tuple[Voter, ...] = ()
    removed: tuple[int, ...] = ()
    leaving: tuple[Voter, ...] = ()
    joining: tuple[Voter, ...] = ()

    @property
    def is_joint(self) -> bool:
        """Tell whether a voter is being replaced."""
        return bool(self.leaving or self.joining)

    @property
    def old_voters(self) -> tuple[Voter, ...]:
        """Return the voters as they were before a replacement under way."""
        return self.voters + self.leaving

    @property
    def new_voters(self) -> tuple[Voter, ...]:
        """Return the voters as they will be after a replacement under way."""
        return self.voters + self.joining

    @property
    def voting_members(self) -> tuple[Voter, ...]:
        """Return all whose votes count: while a voter is being replaced, it and its successor."""
        return self.voters + self.leaving + self.joining

    @property
    def members(self) -> tuple[Voter, ...]:
        """Return all who hold the log: those whose votes count, and the learners."""
        return self.voting_members + self.learners

    def has_voter(self, voter_id: int) -> bool:
        """Tell whether this id counts in a majority."""
        return any(voter.voter_id == voter_id for voter in self.voting_members)

    def find_member(self, voter_id: int) -> Voter | None:
        """Return the voter or learner of this id, or None."""
        return next((member for member in self.members if member.voter_id == voter_id), None)

    def list_quorum_groups(self) -> tuple[tuple[Voter, ...], ...]:
        """Return the sets of which a majority each has to agree: two while the set is joint."""
        return (self.old_voters, self.new_voters) if self.is_joint else (self.voters,)

    def is_quorum(self, voter_ids: Collection[int]) -> bool:
        """Tell whether these ids are a majority: of each half, while the set is joint."""
        return self.find_agreed(dict.fromkeys(voter_ids, 1)) == 1

    def find_agreed(self, reached: Mapping[int, int]) -> int:
        """Return the highest value that a majority has reached, of each voter's by its id.

        A voter that is not named has reached 0.
        """
        return min(_find_agreed(half, reached) for half in self.list_quorum_groups())


def _find_agreed(voters: tuple[Voter, ...], reached: Mapping[int, int]) -> int:
    values = sorted((reached.get(voter.voter_id, 0) for voter in voters), reverse=True)
    return values[len(values) // 2] if values else 0


class Entry(Record, frozen=True, array_like=True):
    """Hold one log entry: a command, or a voter set; neither for a leader's first entry."""

    index: int
    term: int
    command: bytes = b""
    voters: VoterSet | None = None


class HardState(Record, frozen=True, array_like=True):
    """Hold what a replica must remember of its votes over a restart."""

    term: int = 0
    voted_for: int = 0
    cluster: int = 0


class Snapshot(Record, frozen=True, array_like=True):
    """Hold the state of the state machine as of an index, which replaces the log up to there."""

    index: int = 0
    term: int = 0
    voters: VoterSet = VoterSet()
    data: bytes = b""


class VotersAt(Record, frozen=True, array_like=True):
    """Hold the voter set that the entry at an index put in force."""

    index: int
    voters: VoterSet


EMPTY_SNAPSHOT = Snapshot()
