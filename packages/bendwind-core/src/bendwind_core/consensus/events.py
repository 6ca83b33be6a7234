"""Define the events that a replica processes and the effects that it requests from its task."""

import msgspec

from bendwind_core.consensus.messages import ConsensusMessage
from bendwind_core.consensus.records import Entry, HardState, Snapshot, Voter, VoterSet
from bendwind_core.core import Seconds


class Tick(msgspec.Struct, frozen=True):
    """Report that time has passed."""


class Received(msgspec.Struct, frozen=True):
    """Deliver a message from the peer of this name."""

    sender: str
    message: ConsensusMessage


class Propose(msgspec.Struct, frozen=True):
    """Request that a command is committed."""

    request_id: int
    command: bytes


class RemoveVoter(msgspec.Struct, frozen=True):
    """Request that the voter of this name is permanently removed from the voter set."""

    request_id: int
    name: str


class Persisted(msgspec.Struct, frozen=True):
    """Report that every write up to this token is synced."""

    token: int


class BarrierRequested(msgspec.Struct, frozen=True):
    """Request an index that covers everything committed so far."""

    request_id: int


class SnapshotTaken(msgspec.Struct, frozen=True):
    """Deliver the state of the state machine at an applied index."""

    index: int
    data: bytes


class TransferLeadership(msgspec.Struct, frozen=True):
    """Request that a leader transfers leadership to another voter, e.g. before a planned stop."""


class IdentityRenewed(msgspec.Struct, frozen=True):
    """Report to a removed replica that its disk has a new id, with which it may join again."""

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


class Committed(msgspec.Struct, frozen=True):
    """Report that the command is committed and was applied at this index."""

    index: int


class NotLeader(msgspec.Struct, frozen=True):
    """Report that the command was rejected, and the name of the leader if known."""

    leader: str | None


class Refused(msgspec.Struct, frozen=True):
    """Report that the command was rejected, and the reason."""

    reason: str


class LeadershipLost(msgspec.Struct, frozen=True):
    """Report that an accepted command has an unknown outcome: it may still be committed."""


ProposalOutcome = Committed | NotLeader | Refused | LeadershipLost


class Send(msgspec.Struct, frozen=True):
    """Send a message to the peer of this name."""

    to: str
    message: ConsensusMessage


class Persist(msgspec.Struct, frozen=True):
    """Write and sync in this order: the hard state, a truncation of the log, the entries."""

    token: int
    hard_state: HardState
    truncate_from: int | None
    entries: tuple[Entry, ...]


class SaveSnapshot(msgspec.Struct, frozen=True):
    """Write and sync a snapshot, then delete the entries below `first_index`.

    With `is_installed` the whole previous log is invalid.
    """

    token: int
    snapshot: Snapshot
    first_index: int
    is_installed: bool


class Apply(msgspec.Struct, frozen=True):
    """Apply committed entries to the state machine in order."""

    entries: tuple[Entry, ...]


class TakeSnapshot(msgspec.Struct, frozen=True):
    """Capture the state of the state machine, which is at this index."""

    index: int


class InstallSnapshot(msgspec.Struct, frozen=True):
    """Replace the state of the state machine by this data, which is the state at this index."""

    index: int
    data: bytes


class ProposalDone(msgspec.Struct, frozen=True):
    """Report the outcome of a proposal."""

    request_id: int
    outcome: ProposalOutcome


class BarrierDone(msgspec.Struct, frozen=True):
    """Complete a barrier: everything that was committed when it started is applied.

    Units: `started_at` is in seconds of the replica's own clock.
    """

    request_id: int
    index: int
    started_at: Seconds


class BarrierFailed(msgspec.Struct, frozen=True):
    """Fail a barrier that no quorum confirmed in time."""

    request_id: int
    leader: str | None


class LeaderChanged(msgspec.Struct, frozen=True):
    """Report the leader of a term; None while no leader is known."""

    term: int
    leader: Voter | None


class VotersChanged(msgspec.Struct, frozen=True):
    """Report that a voter set is committed."""

    index: int
    voters: VoterSet


class SelfRemoved(msgspec.Struct, frozen=True):
    """Report that this voter was removed from the cluster and no longer takes part in it."""


class ForeignCluster(msgspec.Struct, frozen=True):
    """Report that a peer belongs to another cluster."""

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
