"""Define the state machine above the log, and what callers of a voter get back."""

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
    """Name what the voter asks of the state above the log; none of it may wait."""

    def apply(self, index: int, command: bytes) -> object:
        """Apply a committed command and return its outcome."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state."""


class Applied(msgspec.Struct, frozen=True):
    """Hold the index of a committed command and what the state machine returned for it."""

    index: int
    value: object


class Confirmed(msgspec.Struct, frozen=True):
    """Hold an index that holds all that was committed when the quorum round started.

    Units: `started_at` is trio's clock, in seconds.
    """

    index: int
    started_at: Seconds


class Unconfirmed(msgspec.Struct, frozen=True):
    """Tell that no quorum answered in time, and who leads as far as is known."""

    leader: str | None


class VoterStopped(msgspec.Struct, frozen=True):
    """Tell that the voter takes no further part, and why."""

    reason: str


ProposalError = NotLeader | Refused | LeadershipLost | VoterStopped
BarrierError = Unconfirmed | VoterStopped


class VoterStatus(msgspec.Struct, frozen=True):
    """Describe a voter for operators.

    `awaited` are those whose confirmation a replacement waits for, as far as this voter leads;
    `replacing_since` is when this process saw it begin, on the loop's clock.
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
