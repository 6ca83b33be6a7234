"""Define what happens to a replica and what it asks its task to do."""

import msgspec

from bendwind_core.consensus.messages import ConsensusMessage
from bendwind_core.consensus.records import Entry, HardState, Snapshot, Voter, VoterSet
from bendwind_core.core import Seconds


class Tick(msgspec.Struct, frozen=True):
    """Let time pass."""


class Received(msgspec.Struct, frozen=True):
    """Deliver a message from the peer of this name."""

    sender: str
    message: ConsensusMessage


class Propose(msgspec.Struct, frozen=True):
    """Ask for a command to be committed."""

    request_id: int
    command: bytes


class RemoveVoter(msgspec.Struct, frozen=True):
    """Ask for the voter of this name to leave the voter set for good."""

    request_id: int
    name: str


class Persisted(msgspec.Struct, frozen=True):
    """Tell that every write up to this token is synced."""

    token: int


class BarrierRequested(msgspec.Struct, frozen=True):
    """Ask for an index that holds everything committed by now."""

    request_id: int


class SnapshotTaken(msgspec.Struct, frozen=True):
    """Deliver the state machine's state as of an applied index."""

    index: int
    data: bytes


class TransferLeadership(msgspec.Struct, frozen=True):
    """Ask a leader to let another voter lead, as before a planned stop."""


class IdentityRenewed(msgspec.Struct, frozen=True):
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


class Committed(msgspec.Struct, frozen=True):
    """Tell that the command is committed and was applied at this index."""

    index: int


class NotLeader(msgspec.Struct, frozen=True):
    """Tell that the command was not taken, and who leads as far as is known."""

    leader: str | None


class Refused(msgspec.Struct, frozen=True):
    """Tell that the command was not taken, and why."""

    reason: str


class LeadershipLost(msgspec.Struct, frozen=True):
    """Tell that the command was taken but its outcome is not known: it may still be committed."""


ProposalOutcome = Committed | NotLeader | Refused | LeadershipLost


class Send(msgspec.Struct, frozen=True):
    """Send a message to the peer of this name."""

    to: str
    message: ConsensusMessage


class Persist(msgspec.Struct, frozen=True):
    """Write in this order and sync: the hard state, a cut of the log, then entries."""

    token: int
    hard_state: HardState
    truncate_from: int | None
    entries: tuple[Entry, ...]


class SaveSnapshot(msgspec.Struct, frozen=True):
    """Write a snapshot and sync it; then drop entries below `first_index`.

    With `is_installed` the whole log before it is void.
    """

    token: int
    snapshot: Snapshot
    first_index: int
    is_installed: bool


class Apply(msgspec.Struct, frozen=True):
    """Apply committed entries to the state machine in order."""

    entries: tuple[Entry, ...]


class TakeSnapshot(msgspec.Struct, frozen=True):
    """Take the state machine's state, which is as of this index."""

    index: int


class InstallSnapshot(msgspec.Struct, frozen=True):
    """Replace the state machine's state by this data as of this index."""

    index: int
    data: bytes


class ProposalDone(msgspec.Struct, frozen=True):
    """End a proposal."""

    request_id: int
    outcome: ProposalOutcome


class BarrierDone(msgspec.Struct, frozen=True):
    """End a barrier: what was committed when it started is applied.

    Units: `started_at` is the replica's own clock, in seconds.
    """

    request_id: int
    index: int
    started_at: Seconds


class BarrierFailed(msgspec.Struct, frozen=True):
    """End a barrier that no quorum confirmed in time."""

    request_id: int
    leader: str | None


class LeaderChanged(msgspec.Struct, frozen=True):
    """Tell who leads in a term; None while nobody is known to."""

    term: int
    leader: Voter | None


class VotersChanged(msgspec.Struct, frozen=True):
    """Tell that a voter set is committed."""

    index: int
    voters: VoterSet


class SelfRemoved(msgspec.Struct, frozen=True):
    """Tell that this voter was replaced and takes no further part."""


class ForeignCluster(msgspec.Struct, frozen=True):
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
