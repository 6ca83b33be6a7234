"""Define the messages between the voters of the control log.

Every message but an Offer names the cluster, the sender's id and the receiver's id: names outlive
disks, ids do not.
"""

from bendwind_core.consensus.records import Entry, Voter, VoterSet
from bendwind_core.core import Record


class Head(Record, frozen=True, array_like=True):
    """Start a message between members: the cluster, the sender, the receiver's id, the term."""

    cluster: int
    sender: Voter
    to: int
    term: int


class JoinRequest(Record, frozen=True, array_like=True, tag="raft-offer"):
    """Introduce a voter that has no log, or hears no leader, and ask who has one.

    `is_passed_on` says that it comes from the voter that was asked, on to its leader.
    """

    sender: Voter
    is_forwarded: bool = False


class JoinReply(Record, frozen=True, array_like=True, tag="raft-offer-reply"):
    """Answer the offer of the voter `to`; `is_formed` tells that the sender has a log."""

    sender: Voter
    to: int
    is_formed: bool


class Form(Record, frozen=True, array_like=True, tag="raft-form"):
    """Carry the first entry of the log to a voter that it names."""

    sender: Voter
    to: int
    voters: VoterSet


class VoteRequest(Record, frozen=True, array_like=True, tag="raft-vote"):
    """Ask for a vote in a term; with `is_trial`, ask whether it would be given (pre-vote).

    With `is_transfer` the leader itself has asked for the election.
    """

    head: Head
    is_trial: bool
    last_index: int
    last_term: int
    is_transfer: bool = False


class VoteReply(Record, frozen=True, array_like=True, tag="raft-vote-reply"):
    """Answer a vote request; `asked_term` repeats its term; the head holds the sender's own."""

    head: Head
    is_trial: bool
    asked_term: int
    is_granted: bool


class Append(Record, frozen=True, array_like=True, tag="raft-append"):
    """Carry entries that follow `previous_index`, or none as a heartbeat.

    `round` numbers the leader's rounds of this term; the reply repeats it.
    """

    head: Head
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit: int
    round: int


class AppendReply(Record, frozen=True, array_like=True, tag="raft-append-reply"):
    """Confirm that the log is durable and equal up to `index`, or ask to try from there."""

    head: Head
    is_matching: bool
    index: int
    round: int


class SnapshotChunk(Record, frozen=True, array_like=True, tag="raft-chunk"):
    """Carry one part of a snapshot's data, from `offset` of `size` bytes."""

    head: Head
    index: int
    snapshot_term: int
    voters: VoterSet
    offset: int
    size: int
    data: bytes
    round: int


class ChunkReply(Record, frozen=True, array_like=True, tag="raft-chunk-reply"):
    """Name the offset of the next part wanted of the snapshot at an index."""

    head: Head
    index: int
    offset: int
    round: int


class ReadRequest(Record, frozen=True, array_like=True, tag="raft-read"):
    """Ask the leader for an index that holds everything committed by now."""

    head: Head
    number: int


class ReadReply(Record, frozen=True, array_like=True, tag="raft-read-reply"):
    """Answer a read request once a quorum has confirmed the leader."""

    head: Head
    number: int
    index: int


class TakeOver(Record, frozen=True, array_like=True, tag="raft-take-over"):
    """Ask a voter that holds the whole log to lead from now on."""

    head: Head


class Removed(Record, frozen=True, array_like=True, tag="raft-removed"):
    """Tell a voter that its id was replaced and can never vote again."""

    head: Head


MemberMessage = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | ChunkReply
    | ReadRequest
    | ReadReply
    | TakeOver
    | Removed
)
ConsensusMessage = JoinRequest | JoinReply | Form | MemberMessage
