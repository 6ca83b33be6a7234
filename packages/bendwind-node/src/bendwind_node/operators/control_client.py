"""Describe what the operators' API needs of the control log."""

from collections.abc import Sequence
from typing import Protocol

import msgspec
from expression import Result

from bendwind_core.core import Milliseconds
from bendwind_core.plans import CommandResult, ControlState


class NotLeader(msgspec.Struct, frozen=True):
    """Tell that nothing was proposed, since another voter leads; None where not known."""

    leader: str | None = None
    leader_url: str | None = None


class NoQuorum(msgspec.Struct, frozen=True):
    """Tell that nothing was or will be accepted, since no quorum was reached."""

    detail: str = ""


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """Tell that the command entered the log and may yet be accepted."""

    detail: str = ""


ControlError = NotLeader | NoQuorum | OutcomeUnknown


class VoterStatus(msgspec.Struct, frozen=True):
    """Say how a control voter is doing, as the voter asked sees it.

    Units: `last_heard_ms` is the time since the last message from it, in milliseconds.
    """

    name: str
    role: str
    applied: int
    last_heard_ms: Milliseconds | None = None


class ReplacementStatus(msgspec.Struct, frozen=True):
    """Say which voter is being replaced by which learner, and whose confirmation that awaits.

    Units: `for_ms` is the time since the voter asked saw it begin, in milliseconds.
    """

    leaving: tuple[str, ...]
    joining: tuple[str, ...]
    awaited: tuple[str, ...] = ()
    for_ms: Milliseconds | None = None


class ControlClient(Protocol):
    """Propose commands to the control log and read the state it replicates.

    `state` may be read between two awaits; it changes whenever an entry is applied.
    """

    state: ControlState

    async def propose(self, command: bytes) -> Result[CommandResult, ControlError]:
        """Propose a command and return its result once it has been applied here."""
        ...

    async def barrier(self) -> Result[int, ControlError]:
        """Return an applied index that a quorum has confirmed as the newest since the call."""
        ...

    def data_centres(self) -> frozenset[str]:
        """Return the data centres that operators may name."""
        ...

    def leader(self) -> str | None:
        """Return the name of the leader, or None where it is not known."""
        ...

    def voters(self) -> Sequence[VoterStatus]:
        """Return every voter as this one sees it."""
        ...

    def replacement(self) -> ReplacementStatus | None:
        """Return the replacement of a voter that is under way, or None."""
        ...
