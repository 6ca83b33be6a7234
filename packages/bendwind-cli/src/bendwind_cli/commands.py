"""Define the operators' commands, one data class for each."""

import msgspec


class Target(msgspec.Struct, frozen=True):
    """Hold the servers to contact: a list of addresses, a client settings file, or neither."""

    control: str = ""
    settings: str = ""


class MakePlan(msgspec.Struct, frozen=True):
    """Create a plan from an intent."""

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
    """Put a whole configuration into force under its own revision number."""

    target: Target
    file: str


class ShowRevision(msgspec.Struct, frozen=True):
    """Show the newest whole configuration."""

    target: Target


class ShowStatus(msgspec.Struct, frozen=True):
    """Show the processes and which of them do not have the newest configuration yet."""

    target: Target
    json: bool


class Drain(msgspec.Struct, frozen=True):
    """Mark an instance or upstream as draining, or remove the mark."""

    target: Target
    name: str
    kind: str
    draining: bool


class Evacuate(msgspec.Struct, frozen=True):
    """Stop sending new requests to a data centre's upstreams, or readmit the data centre."""

    target: Target
    data_centre: str
    evacuated: bool


class ShowCustomers(msgspec.Struct, frozen=True):
    """Show the customers with their keys, ranks and rate limits."""

    target: Target


class ShowSuspects(msgspec.Struct, frozen=True):
    """Show the requests during which upstreams ended."""

    target: Target


class ShowQuotas(msgspec.Struct, frozen=True):
    """Show the state of customers' quotas at a voter."""

    target: Target


class Release(msgspec.Struct, frozen=True):
    """Clear a request of suspicion."""

    target: Target
    signature: str


class Stop(msgspec.Struct, frozen=True):
    """Stop one process after its calls are answered."""

    target: Target
    name: str


class AcceptClaimLoss(msgspec.Struct, frozen=True):
    """Let a service whose claims are lost accept requests with keys again."""

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
    """Explain one request from log files, or from standard input if no file is named."""

    request: str
    logs: tuple[str, ...]


class ListEvents(msgspec.Struct, frozen=True):
    """List the numbered events."""


class MakeAuthority(msgspec.Struct, frozen=True):
    """Create the key and certificate that sign all others of a deployment."""

    folder: str
    days: str


class MakeInstanceKey(msgspec.Struct, frozen=True):
    """Create an instance's key and certificate."""

    name: str
    hosts: str
    folder: str
    days: str


class MakeOperatorKey(msgspec.Struct, frozen=True):
    """Create an operator's key and client certificate."""

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
