"""Define the responses of the operators' HTTP API that the client decodes."""

import msgspec


class ErrorReply(msgspec.Struct, frozen=True):
    """Hold an error; docs/OPERATORS_API.md lists the kinds."""

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
    """Hold the revision in force, and whether this request put it into force."""

    revision: int
    version: int
    is_new: bool


class OutcomeReply(msgspec.Struct, frozen=True):
    """Hold the outcome of a plan."""

    kind: str
    plan: str
    version: int | None = None


class Affected(msgspec.Struct, frozen=True):
    """Hold the names of everything that a plan affects."""

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
    """Hold a warning about what a change may break."""

    kind: str
    service: str
    detail: str = ""


class EvacuationReply(msgspec.Struct, frozen=True):
    """Hold whether a data centre is evacuated, and warnings of capacity that is then too low."""

    data_centre: str
    evacuated: bool
    version: int = 0
    is_new: bool = True
    warnings: tuple[WarningReply, ...] = ()


class CustomerReply(msgspec.Struct, frozen=True):
    """Hold a customer; `keys` counts its keys.

    Units: `rate_per_s` in requests per second, 0 without a limit; `burst` in requests.
    """

    name: str
    keys: int
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class CustomersReply(msgspec.Struct, frozen=True):
    """Hold all customers; `are_keys_needed` is false if requests need no key."""

    version: int
    are_keys_needed: bool
    customers: tuple[CustomerReply, ...] = ()


class SuspectReply(msgspec.Struct, frozen=True):
    """Hold the recorded upstream ends of one suspected request.

    Units: `last_ms` is the age of the last end in milliseconds.
    """

    signature: str
    service: str
    ends: int
    quarantined: bool
    last_ms: float = 0.0
    upstreams: tuple[str, ...] = ()


class SuspectsReply(msgspec.Struct, frozen=True):
    """Hold all suspected requests."""

    suspects: tuple[SuspectReply, ...]


class QuotaReply(msgspec.Struct, frozen=True):
    """Hold the state of one customer's quota at a voter.

    Units: tokens, one for each request; `rate_per_s` in tokens per second.
    """

    customer: str
    rate_per_s: float
    burst: float
    level: float
    cap: float
    granted: int
    refused: int


class QuotasReply(msgspec.Struct, frozen=True):
    """Hold the quotas of a voter; the customers with the most refusals come first."""

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
    """Hold the signature of the request that is no longer suspected."""

    released: str


class VoterReply(msgspec.Struct, frozen=True):
    """Describe a control voter."""

    name: str
    role: str
    applied: int = 0
    last_heard_ms: float | None = None


class NodeReply(msgspec.Struct, frozen=True):
    """Describe a node; `operators` is its operators' address if the server knows it."""

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
    """Hold the names of instances and upstreams that are marked as draining."""

    instances: tuple[str, ...] = ()
    upstreams: tuple[str, ...] = ()


class ReplacementReply(msgspec.Struct, frozen=True):
    """Hold the voter being replaced, the learner that joins, and the members being awaited."""

    leaving: tuple[str, ...] = ()
    joining: tuple[str, ...] = ()
    awaited: tuple[str, ...] = ()
    for_ms: float | None = None


class NoticeReply(msgspec.Struct, frozen=True):
    """Hold what an upstream has reported about itself in its answers."""

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
    """Hold one process's events; `dropped` counts those that it no longer stores."""

    instance: str
    events: tuple[EventReply, ...]
    dropped: int = 0


class ClaimGroupReply(msgspec.Struct, frozen=True):
    """Hold the new holders of a service's claims."""

    service: str
    epoch: int
    members: tuple[str, ...] = ()


class StopReply(msgspec.Struct, frozen=True):
    """Hold the confirmation that a process stops."""

    instance: str
    stopping: bool
