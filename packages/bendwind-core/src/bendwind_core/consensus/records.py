"""Define the records of the replicated log that are stored and sent."""

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

    `cluster` is a random id made once, when the first voters agree to form.
    """

    cluster: int = 0
    voters: tuple[Voter, ...] = ()
    learners: tuple[Voter, ...] = ()
    removed: tuple[int, ...] = ()

    def has_voter(self, voter_id: int) -> bool:
        """Tell whether this id counts in a quorum."""
        return any(voter.voter_id == voter_id for voter in self.voters)

    def find_member(self, voter_id: int) -> Voter | None:
        """Return the voter or learner of this id, or None."""
        members = self.voters + self.learners
        return next((member for member in members if member.voter_id == voter_id), None)

    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return len(self.voters) // 2 + 1


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
