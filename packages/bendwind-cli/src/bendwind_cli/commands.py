"""Define what an operator can ask for, one data class a command."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Target:
    """Say which servers to ask: a list of addresses, a client settings file, or neither."""

    control: str = ""
    settings: str = ""


@dataclass(frozen=True, slots=True)
class MakePlan:
    """Have an intent turned into a plan."""

    target: Target
    file: str
    base_version: str
    expires_s: str


@dataclass(frozen=True, slots=True)
class ConfirmPlan:
    """Put a plan into force."""

    target: Target
    plan: str


@dataclass(frozen=True, slots=True)
class ShowPlan:
    """Show one plan."""

    target: Target
    plan: str


@dataclass(frozen=True, slots=True)
class PutRevision:
    """Put a whole configuration in force under its own number."""

    target: Target
    file: str


@dataclass(frozen=True, slots=True)
class ShowRevision:
    """Show the newest whole configuration."""

    target: Target


@dataclass(frozen=True, slots=True)
class ShowStatus:
    """Show the processes and which of them lack the newest configuration."""

    target: Target
    json: bool


@dataclass(frozen=True, slots=True)
class Drain:
    """Mark an instance or upstream as leaving, or take the mark away."""

    target: Target
    name: str
    kind: str
    draining: bool


@dataclass(frozen=True, slots=True)
class Stop:
    """Stop one process once its calls are answered."""

    target: Target
    name: str


@dataclass(frozen=True, slots=True)
class AcceptClaimLoss:
    """Let a service whose claims are lost take requests with keys again."""

    target: Target
    service: str


@dataclass(frozen=True, slots=True)
class ShowTimeline:
    """Show the events of all processes in causal order."""

    target: Target
    call: str
    plan: str
    upstream: str
    event: str
    limit: str
    json: bool


@dataclass(frozen=True, slots=True)
class ListEvents:
    """List the numbered events."""


@dataclass(frozen=True, slots=True)
class MakeAuthority:
    """Make the key and certificate that sign all others of a deployment."""

    folder: str
    days: str


@dataclass(frozen=True, slots=True)
class MakeInstanceKey:
    """Make an instance's key and certificate."""

    name: str
    hosts: str
    folder: str
    days: str


@dataclass(frozen=True, slots=True)
class MakeOperatorKey:
    """Make an operator's key and client certificate."""

    name: str
    folder: str
    days: str


KeyCommand = MakeAuthority | MakeInstanceKey | MakeOperatorKey
Command = (
    MakePlan
    | ConfirmPlan
    | ShowPlan
    | PutRevision
    | ShowRevision
    | ShowStatus
    | Drain
    | Stop
    | AcceptClaimLoss
    | ShowTimeline
    | ListEvents
    | KeyCommand
)
