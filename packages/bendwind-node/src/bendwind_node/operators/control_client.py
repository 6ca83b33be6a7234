"""Define the interface between the operators' API and the control log."""

from collections.abc import Sequence
from typing import Protocol

import msgspec
from expression import Error, Result

from bendwind_core.core import Milliseconds
from bendwind_core.plans import Command, CommandFault, CommandResult, ControlState, encode_command


class NotLeader(msgspec.Struct, frozen=True):
    """Report that nothing was proposed, since another voter leads; None if it is not known."""

    leader: str | None = None
    leader_url: str | None = None


class NoQuorum(msgspec.Struct, frozen=True):
    """Report that nothing was or will be accepted, since no quorum was reached."""

    detail: str = ""


class OutcomeUnknown(msgspec.Struct, frozen=True):
    """Report that the command entered the log and may still be accepted."""

    detail: str = ""


ControlError = NotLeader | NoQuorum | OutcomeUnknown | CommandFault


class VoterStatus(msgspec.Struct, frozen=True):
    """Describe the state of a control voter, as seen by the voter that answers.

    Units: `last_heard_ms` is the time since the last message from it, in milliseconds.
    """

    name: str
    role: str
    applied: int
    last_heard_ms: Milliseconds | None = None


class ReplacementStatus(msgspec.Struct, frozen=True):
    """Describe which voter is replaced by which learner, and whose confirmation is awaited.

    Units: `for_ms` is the time since the answering voter saw the replacement begin, in
    milliseconds.
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
        """Return an applied index that a quorum has confirmed, since the call, as the newest."""
        ...

    def data_centres(self) -> frozenset[str]:
        """Return the data centres that operators may name."""
        ...

    def leader(self) -> str | None:
        """Return the name of the leader, or None if it is not known."""
        ...

    def voters(self) -> Sequence[VoterStatus]:
        """Return every voter as this one sees it."""
        ...

    def replacement(self) -> ReplacementStatus | None:
        """Return the replacement of a voter that is in progress, or None."""
        ...


async def propose_command(
    client: ControlClient, command: Command
) -> Result[CommandResult, ControlError]:
    """Propose a command that an entry of the log can hold.

    Errors: ControlError; CommandFault means that nothing was proposed, and that nothing will be
    accepted however often the command is proposed.
    """
    encoded = encode_command(command)
    return Error(encoded.error) if encoded.is_error() else await client.propose(encoded.ok)
