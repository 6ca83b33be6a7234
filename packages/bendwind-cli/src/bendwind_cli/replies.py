"""Define the answers of the operators' HTTP API that the client reads."""

import msgspec


class ErrorReply(msgspec.Struct, frozen=True):
    """Hold an error as docs/OPERATORS_API.md lists them."""

    error: str
    detail: str = ""
    file: str = ""
    key: str = ""
    expected: str = ""
    version: int | None = None
    plan: str | None = None
    leader: str | None = None
    leader_url: str | None = None


class RevisionReply(msgspec.Struct, frozen=True):
    """Say which revision holds, and whether the request put it there."""

    revision: int
    version: int
    is_new: bool


class OutcomeReply(msgspec.Struct, frozen=True):
    """Say what became of a plan."""

    kind: str
    plan: str
    version: int | None = None


class Affected(msgspec.Struct, frozen=True):
    """Name what a plan touches."""

    services: tuple[str, ...] = ()
    upstreams: tuple[str, ...] = ()
    instances: tuple[str, ...] = ()
    customers: tuple[str, ...] = ()


class PlanReply(msgspec.Struct, frozen=True):
    """Hold a plan; `lines` are its differences and warnings, ready to print."""

    id: str
    state: str
    base_version: int
    created_ms: int = 0
    expires_ms: int = 0
    outcome: OutcomeReply | None = None
    affected: Affected = Affected()
    lines: tuple[str, ...] = ()


class DrainReply(msgspec.Struct, frozen=True):
    """Hold the drain mark of an instance or upstream."""

    name: str
    draining: bool
    version: int | None = None


class WarningReply(msgspec.Struct, frozen=True):
    """Warn of what a change may break."""

    kind: str
    service: str
    detail: str = ""


class EvacuationReply(msgspec.Struct, frozen=True):
    """Hold whether a data centre is evacuated, and what that leaves too little room for."""

    data_centre: str
    evacuated: bool
    version: int = 0
    is_new: bool = True
    warnings: tuple[WarningReply, ...] = ()


class CustomerReply(msgspec.Struct, frozen=True):
    """Hold a customer; `keys` counts its keys.

    Units: `rate_per_s` in requests a second, 0 without a limit; `burst` in requests.
    """

    name: str
    keys: int
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class CustomersReply(msgspec.Struct, frozen=True):
    """Hold all customers; `are_keys_needed` is false where requests need no key."""

    version: int
    are_keys_needed: bool
    customers: tuple[CustomerReply, ...] = ()


class SuspectReply(msgspec.Struct, frozen=True):
    """Hold what is known against one request.

    Units: `last_ms` in milliseconds.
    """

    signature: str
    service: str
    ends: int
    quarantined: bool
    last_ms: float = 0.0
    upstreams: tuple[str, ...] = ()


class SuspectsReply(msgspec.Struct, frozen=True):
    """Hold all requests that something is known against."""

    suspects: tuple[SuspectReply, ...]


class QuotaReply(msgspec.Struct, frozen=True):
    """Hold what a voter holds of one customer's quota.

    Units: tokens, one for each request; `rate_per_s` in tokens a second.
    """

    customer: str
    rate_per_s: float
    burst: float
    level: float
    cap: float
    granted: int
    refused: int


class QuotasReply(msgspec.Struct, frozen=True):
    """Hold the quotas of a voter, those of whom most was refused first."""

    voter: str
    granting: bool
    limited: int
    active: int
    granted: int
    refused: int
    lent: float
    borrowed: float
    quotas: tuple[QuotaReply, ...]


class ReleaseReply(msgspec.Struct, frozen=True):
    """Name the request that is no longer suspected."""

    released: str


class VoterReply(msgspec.Struct, frozen=True):
    """Describe a control voter."""

    name: str
    role: str
    applied: int = 0
    last_heard_ms: float | None = None


class NodeReply(msgspec.Struct, frozen=True):
    """Describe a node; `operators` is its operators' address where the server knows it."""

    name: str
    data_centre: str = ""
    version: int = 0
    last_heard_ms: float | None = None
    operators: str = ""


class UpstreamReply(msgspec.Struct, frozen=True):
    """Describe an upstream."""

    name: str
    service: str
    owner: str = ""
    state: str = ""
    slots: int = 0
    connections: int = 0


class DrainingReply(msgspec.Struct, frozen=True):
    """Name what is marked as leaving."""

    instances: tuple[str, ...] = ()
    upstreams: tuple[str, ...] = ()


class ReplacementReply(msgspec.Struct, frozen=True):
    """Hold which voter is being replaced by which learner, and whom that waits for."""

    leaving: tuple[str, ...] = ()
    joining: tuple[str, ...] = ()
    awaited: tuple[str, ...] = ()
    for_ms: float | None = None


class NoticeReply(msgspec.Struct, frozen=True):
    """Hold what an upstream has said of itself in its answers."""

    upstream: str
    limit_per_s: float | None = None
    is_leaving: bool = False


class StatusReply(msgspec.Struct, frozen=True):
    """Hold the status of a process and of what it knows."""

    instance: str
    data_centre: str = ""
    voter: bool = False
    stopping: bool = False
    version: int = 0
    confirmed: bool = False
    confirmed_age_ms: float | None = None
    leader: str | None = None
    voters: tuple[VoterReply, ...] = ()
    nodes: tuple[NodeReply, ...] = ()
    not_there_yet: tuple[str, ...] = ()
    upstreams: tuple[UpstreamReply, ...] = ()
    draining: DrainingReply = DrainingReply()
    evacuated: tuple[str, ...] = ()
    replacement: ReplacementReply | None = None
    notices: tuple[NoticeReply, ...] = ()


class EventReply(msgspec.Struct, frozen=True):
    """Hold one recorded event."""

    number: int
    name: str
    instance: str
    physical_ms: int
    logical: int
    call: str = ""
    upstream: str = ""
    plan: str = ""
    detail: str = ""
    monotonic_us: int = 0


class TimelineReply(msgspec.Struct, frozen=True):
    """Hold one process's events; `dropped` counts those it no longer holds."""

    instance: str
    events: tuple[EventReply, ...]
    dropped: int = 0


class ClaimGroupReply(msgspec.Struct, frozen=True):
    """Name the new holders of a service's claims."""

    service: str
    epoch: int
    members: tuple[str, ...] = ()


class StopReply(msgspec.Struct, frozen=True):
    """Confirm that a process stops."""

    instance: str
    stopping: bool
