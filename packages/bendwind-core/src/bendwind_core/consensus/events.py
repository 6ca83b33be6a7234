"""Define what happens to a replica and what it asks its task to do."""

from dataclasses import dataclass

from bendwind_core.consensus.messages import ConsensusMessage
from bendwind_core.consensus.records import Entry, HardState, Snapshot, Voter, VoterSet
from bendwind_core.core import Seconds


@dataclass(slots=True, frozen=True)
class Tick:
    """Let time pass."""


@dataclass(slots=True, frozen=True)
class Received:
    """Deliver a message from the peer of this name."""

    sender: str
    message: ConsensusMessage


@dataclass(slots=True, frozen=True)
class Propose:
    """Ask for a command to be committed."""

    request_id: int
    command: bytes


@dataclass(slots=True, frozen=True)
class RemoveVoter:
    """Ask for the voter of this name to leave the voter set for good."""

    request_id: int
    name: str


@dataclass(slots=True, frozen=True)
class Persisted:
    """Tell that every write up to this token is synced."""

    token: int


@dataclass(slots=True, frozen=True)
class BarrierRequested:
    """Ask for an index that holds everything committed by now."""

    request_id: int


@dataclass(slots=True, frozen=True)
class SnapshotTaken:
    """Deliver the state machine's state as of an applied index."""

    index: int
    data: bytes


@dataclass(slots=True, frozen=True)
class TransferLeadership:
    """Ask a leader to let another voter lead, as before a planned stop."""


@dataclass(slots=True, frozen=True)
class IdentityRenewed:
    """Tell a removed replica that its disk now holds a new id, under which it may join again."""

    voter: Voter


ReplicaEvent = (
    Tick
    | Received
    | Propose
    | RemoveVoter
    | Persisted
    | BarrierRequested
    | SnapshotTaken
    | TransferLeadership
    | IdentityRenewed
)


@dataclass(slots=True, frozen=True)
class Committed:
    """Tell that the command is committed and was applied at this index."""

    index: int


@dataclass(slots=True, frozen=True)
class NotLeader:
    """Tell that the command was not taken, and who leads as far as is known."""

    leader: str | None


@dataclass(slots=True, frozen=True)
class Refused:
    """Tell that the command was not taken, and why."""

    reason: str


@dataclass(slots=True, frozen=True)
class Lost:
    """Tell that the command was taken but its outcome is not known: it may still be committed."""


ProposalOutcome = Committed | NotLeader | Refused | Lost


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to the peer of this name."""

    to: str
    message: ConsensusMessage


@dataclass(slots=True, frozen=True)
class Persist:
    """Write in this order and sync: the hard state, a cut of the log, then entries."""

    token: int
    hard_state: HardState
    truncate_from: int | None
    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class SaveSnapshot:
    """Write a snapshot and sync it; then drop entries below `first_index`.

    With `is_installed` the whole log before it is void.
    """

    token: int
    snapshot: Snapshot
    first_index: int
    is_installed: bool


@dataclass(slots=True, frozen=True)
class Apply:
    """Apply committed entries to the state machine in order."""

    entries: tuple[Entry, ...]


@dataclass(slots=True, frozen=True)
class TakeSnapshot:
    """Take the state machine's state, which is as of this index."""

    index: int


@dataclass(slots=True, frozen=True)
class InstallSnapshot:
    """Replace the state machine's state by this data as of this index."""

    index: int
    data: bytes


@dataclass(slots=True, frozen=True)
class ProposalDone:
    """End a proposal."""

    request_id: int
    outcome: ProposalOutcome


@dataclass(slots=True, frozen=True)
class BarrierDone:
    """End a barrier: what was committed when it started is applied.

    Units: `started_at` is the replica's own clock, in seconds.
    """

    request_id: int
    index: int
    started_at: Seconds


@dataclass(slots=True, frozen=True)
class BarrierFailed:
    """End a barrier that no quorum confirmed in time."""

    request_id: int
    leader: str | None


@dataclass(slots=True, frozen=True)
class LeaderChanged:
    """Tell who leads in a term; None while nobody is known to."""

    term: int
    leader: Voter | None


@dataclass(slots=True, frozen=True)
class VotersChanged:
    """Tell that a voter set is committed."""

    index: int
    voters: VoterSet


@dataclass(slots=True, frozen=True)
class SelfRemoved:
    """Tell that this voter was replaced and takes no further part."""


@dataclass(slots=True, frozen=True)
class ForeignCluster:
    """Tell that a peer belongs to another cluster."""

    sender: str


Effect = (
    Send
    | Persist
    | SaveSnapshot
    | Apply
    | TakeSnapshot
    | InstallSnapshot
    | ProposalDone
    | BarrierDone
    | BarrierFailed
    | LeaderChanged
    | VotersChanged
    | SelfRemoved
    | ForeignCluster
)
