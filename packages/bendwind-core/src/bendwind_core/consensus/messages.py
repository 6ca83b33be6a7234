"""Define the messages between the voters of the control log.

Every message except JoinRequest contains the cluster, the sender's id and the receiver's id. A name
remains when a disk is replaced, but an id does not.
"""

from bendwind_core.consensus.records import Entry, Voter, VoterSet
from bendwind_core.core import Count, Int64, Record


class Head(Record, frozen=True, array_like=True):
    """Hold the common fields of messages between members; `to` is the receiver's id."""

    cluster: Count
    sender: Voter
    to: Count
    term: Count


class JoinRequest(Record, frozen=True, array_like=True, tag="raft-offer"):
    """Announce a voter that has no log or no contact with a leader, and ask which peers have a log.

    `is_forwarded` is set when the receiving voter forwards the request to its leader.
    """

    sender: Voter
    is_forwarded: bool = False


class JoinReply(Record, frozen=True, array_like=True, tag="raft-offer-reply"):
    """Answer the request of the voter with id `to`; `is_formed` is true if the sender has a log.

    `is_first_starter` says that no cluster existed when the sender's disk was created.
    """

    sender: Voter
    to: Count
    is_formed: bool
    is_first_starter: bool = False


class FormCluster(Record, frozen=True, array_like=True, tag="raft-form"):
    """Carry the first entry of the log to a voter that is named in it."""

    sender: Voter
    to: Count
    voters: VoterSet


class VoteRequest(Record, frozen=True, array_like=True, tag="raft-vote"):
    """Request a vote in a term; with `is_pre_vote`, ask whether the vote would be granted.

    With `is_transfer`, the leader itself has requested the election.
    """

    head: Head
    is_pre_vote: bool
    last_index: Count
    last_term: Count
    is_transfer: bool = False


class VoteReply(Record, frozen=True, array_like=True, tag="raft-vote-reply"):
    """Answer a vote request; `request_term` is its term, the head contains the sender's term."""

    head: Head
    is_pre_vote: bool
    request_term: Count
    is_granted: bool


class Append(Record, frozen=True, array_like=True, tag="raft-append"):
    """Carry entries that follow `previous_index`, or none as a heartbeat.

    `round` is the number of the leader's round within this term; the reply repeats it.
    """

    head: Head
    previous_index: Count
    previous_term: Count
    entries: tuple[Entry, ...]
    commit: Count
    round: Count


class AppendReply(Record, frozen=True, array_like=True, tag="raft-append-reply"):
    """Confirm that the log is durable and equal up to `index`, or request a retry from there."""

    head: Head
    is_matching: bool
    index: Int64
    round: Count


class SnapshotChunk(Record, frozen=True, array_like=True, tag="raft-chunk"):
    """Carry one part of a snapshot's data, from `offset` of `size` bytes."""

    head: Head
    index: Count
    snapshot_term: Count
    voters: VoterSet
    offset: Count
    size: Count
    data: bytes
    round: Count


class ChunkReply(Record, frozen=True, array_like=True, tag="raft-chunk-reply"):
    """Request the next part of the snapshot at an index, by its offset."""

    head: Head
    index: Count
    offset: Count
    round: Count


class ReadRequest(Record, frozen=True, array_like=True, tag="raft-read"):
    """Request from the leader an index that covers everything committed so far."""

    head: Head
    number: Count


class ReadReply(Record, frozen=True, array_like=True, tag="raft-read-reply"):
    """Answer a read request after a quorum has confirmed the leader."""

    head: Head
    number: Count
    index: Count


class TakeOver(Record, frozen=True, array_like=True, tag="raft-take-over"):
    """Request that a voter which holds the whole log takes over leadership."""

    head: Head


class Removed(Record, frozen=True, array_like=True, tag="raft-removed"):
    """Notify a voter that its id was removed and can never vote again."""

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
ConsensusMessage = JoinRequest | JoinReply | FormCluster | MemberMessage
