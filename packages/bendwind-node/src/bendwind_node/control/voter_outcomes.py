"""Define the state machine of the log and the results of requests to a voter."""

from typing import Protocol

import msgspec

from bendwind_core.consensus import (
    LeadershipLost,
    NotLeader,
    Refused,
    Voter,
    VoterSet,
)
from bendwind_core.core import Seconds


class StateMachine(Protocol):
    """Define the state machine that the voter applies log entries to; no method may wait."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the complete state, serialised."""

    def restore(self, data: bytes) -> None:
        """Replace the complete state by a snapshot."""


class Applied(msgspec.Struct, frozen=True):
    """Hold the index of a committed command and what the state machine returned for it."""

    index: int
    value: object


class Confirmed(msgspec.Struct, frozen=True):
    """Hold an applied index that covers all entries committed when the quorum round started.

    Units: `started_at` is trio's clock, in seconds.
    """

    index: int
    started_at: Seconds


class Unconfirmed(msgspec.Struct, frozen=True):
    """Report that no quorum replied in time; `leader` is the last known leader."""

    leader: str | None


class VoterStopped(msgspec.Struct, frozen=True):
    """Report that the voter has stopped, and the reason."""

    reason: str


ProposalError = NotLeader | Refused | LeadershipLost | VoterStopped
BarrierError = Unconfirmed | VoterStopped


class VoterStatus(msgspec.Struct, frozen=True):
    """Hold the status of a voter for operators.

    `awaited` are the voters whose confirmation a replacement waits for, known only to the leader.
    `replacing_since` is the time at which this process observed the start of the replacement.
    Units: `replacing_since` is trio's clock, in seconds.
    """

    name: str
    voter_id: int
    role: str
    term: int
    leader: str | None
    commit: int
    applied: int
    voters: VoterSet
    awaited: tuple[Voter, ...]
    replacing_since: Seconds | None
    stopped: str | None
