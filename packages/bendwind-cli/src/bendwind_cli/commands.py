"""Define what an operator can ask for, one data class a command."""

import msgspec


class Target(msgspec.Struct, frozen=True):
    """Say which servers to ask: a list of addresses, a client settings file, or neither."""

    control: str = ""
    settings: str = ""


class MakePlan(msgspec.Struct, frozen=True):
    """Have an intent turned into a plan."""

    target: Target
    file: str
    base_version: str
    expires_s: str


class ConfirmPlan(msgspec.Struct, frozen=True):
    """Put a plan into force."""

    target: Target
    plan: str


class ShowPlan(msgspec.Struct, frozen=True):
    """Show one plan."""

    target: Target
    plan: str


class PutRevision(msgspec.Struct, frozen=True):
    """Put a whole configuration in force under its own number."""

    target: Target
    file: str


class ShowRevision(msgspec.Struct, frozen=True):
    """Show the newest whole configuration."""

    target: Target


class ShowStatus(msgspec.Struct, frozen=True):
    """Show the processes and which of them lack the newest configuration."""

    target: Target
    json: bool


class Drain(msgspec.Struct, frozen=True):
    """Mark an instance or upstream as leaving, or take the mark away."""

    target: Target
    name: str
    kind: str
    draining: bool


class Evacuate(msgspec.Struct, frozen=True):
    """Have a data centre's upstreams get nothing new, or take it back."""

    target: Target
    data_centre: str
    evacuated: bool


class ShowCustomers(msgspec.Struct, frozen=True):
    """Show the customers and what they are due."""

    target: Target


class ShowSuspects(msgspec.Struct, frozen=True):
    """Show the requests that upstreams ended under."""

    target: Target


class ShowQuotas(msgspec.Struct, frozen=True):
    """Show what a voter holds of customers' quotas."""

    target: Target


class Release(msgspec.Struct, frozen=True):
    """Clear a request of suspicion."""

    target: Target
    signature: str


class Stop(msgspec.Struct, frozen=True):
    """Stop one process once its calls are answered."""

    target: Target
    name: str


class AcceptClaimLoss(msgspec.Struct, frozen=True):
    """Let a service whose claims are lost take requests with keys again."""

    target: Target
    service: str


class ShowTimeline(msgspec.Struct, frozen=True):
    """Show the events of all processes in causal order."""

    target: Target
    call: str
    plan: str
    upstream: str
    event: str
    limit: str
    json: bool


class ExplainRequest(msgspec.Struct, frozen=True):
    """Explain one request from logs; without names of files from standard input."""

    request: str
    logs: tuple[str, ...]


class ListEvents(msgspec.Struct, frozen=True):
    """List the numbered events."""


class MakeAuthority(msgspec.Struct, frozen=True):
    """Make the key and certificate that sign all others of a deployment."""

    folder: str
    days: str


class MakeInstanceKey(msgspec.Struct, frozen=True):
    """Make an instance's key and certificate."""

    name: str
    hosts: str
    folder: str
    days: str


class MakeOperatorKey(msgspec.Struct, frozen=True):
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
    | Evacuate
    | ShowCustomers
    | ShowSuspects
    | ShowQuotas
    | Release
    | Stop
    | AcceptClaimLoss
    | ShowTimeline
    | ExplainRequest
    | ListEvents
    | KeyCommand
)
