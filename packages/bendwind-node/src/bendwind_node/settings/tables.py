"""Define the tables of a bendwindd settings file, with the range and unit of every key."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from bendwind_core.quotas.bounds import DEFAULT_OVERAGE, DEFAULT_SLACK, DEFAULT_WINDOW
from bendwind_core.suspicion.limits import (
    DEFAULT_APART_FROM,
    DEFAULT_KEEP,
    DEFAULT_QUARANTINE,
    DEFAULT_QUARANTINE_FROM,
)

Name = Annotated[
    str,
    Meta(
        pattern="^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$",
        extra={"range": "1 to 63 of a-z, 0-9, `.`, `_`, `-`"},
    ),
]
Host = Annotated[
    str, Meta(min_length=1, max_length=255, extra={"range": "an IP number or host name"})
]
Port = Annotated[int, Meta(ge=0, le=65535, extra={"range": "0 to 65535; 0 picks a free port"})]
FixedPort = Annotated[int, Meta(ge=1, le=65535)]
File = Annotated[
    str, Meta(min_length=1, extra={"range": "a path, relative to the settings file's folder"})
]


def _doc(text: str, unit: str = "") -> Meta:
    return Meta(description=text, extra={"unit": unit})


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Hold one table of a settings file; unknown keys are refused."""


class InstanceTable(Table, frozen=True, kw_only=True):
    """Define the instance that the process runs on."""

    name: Annotated[Name, _doc("Unique name of the instance; its certificate carries it too.")]
    data_centre: Annotated[Name, _doc("Data centre that holds the instance.")]
    region: Annotated[str, Meta(max_length=63), _doc("Region that holds the data centre.")] = ""


class PeersTable(Table, frozen=True, kw_only=True):
    """Define the address at which other bendwindd processes reach this one."""

    host: Annotated[Host, _doc("Address to listen on and to announce to peers.")]
    port: Annotated[Port, _doc("Port of the websocket links between processes.")]
    insecure: Annotated[
        bool,
        _doc("Use links without TLS; only on loopback or a trusted network, and not with `[tls]`."),
    ] = False
    is_network_trusted: Annotated[
        bool,
        _doc("The network between instances is reachable by nobody else, so links need no TLS."),
    ] = False
    silence_ms: Annotated[
        int,
        Meta(ge=100, le=600_000),
        _doc("Time after which a connection whose peer acknowledges nothing is aborted.", "ms"),
    ] = 4000
    compresses_far: Annotated[
        bool,
        _doc(
            "Compress links to other data centres. The lengths of messages then reveal some of "
            "their content, even with TLS."
        ),
    ] = False
    link_mbps: Annotated[
        float,
        Meta(ge=0.1, le=1_000_000),
        _doc(
            "Rate of the instance's own network link, of which the bodies of requests may fill "
            "little at a time. If it is low, peers get more time to answer a ping.",
            "Mbit/s",
        ),
    ] = 1000.0


class CallersTable(Table, frozen=True, kw_only=True):
    """Define the address at which callers reach the process."""

    host: Annotated[Host, _doc("Address to listen on for callers.")]
    port: Annotated[Port, _doc("Port of the HTTP server for callers.")]
    server: Annotated[
        Literal["h11", "hypercorn"],
        _doc("HTTP server: `h11` is fastest, `hypercorn` also supports HTTP/2."),
    ] = "h11"


class UpstreamsTable(Table, frozen=True, kw_only=True):
    """Define the address at which the upstream on this instance announces itself."""

    host: Annotated[Host, _doc("Address to listen on for the upstream on this instance.")]
    port: Annotated[Port, _doc("Port of the HTTP server for the upstream.")]


class BesideTable(Table, frozen=True, kw_only=True):
    """Define the upstream on this instance, so that it is used before it announces itself."""

    service: Annotated[Name, _doc("Service of the upstream on this instance.")]
    host: Annotated[Host, _doc("Address of that upstream.")]
    port: Annotated[FixedPort, _doc("Port of that upstream.")]


class ReadinessTable(Table, frozen=True, kw_only=True):
    """Define the address of the readiness check: whether callers should use this process."""

    host: Annotated[Host, _doc("Address to listen on for readiness checks.")]
    port: Annotated[Port, _doc("Port of that HTTP server.")]
    path: Annotated[
        str,
        Meta(pattern="^/", extra={"range": "begins with a slash"}),
        _doc("Path that answers 200 when ready, 503 otherwise."),
    ] = "/ready"


class MetricsTable(Table, frozen=True, kw_only=True):
    """Define an address for metrics, in addition to the operators' address."""

    host: Annotated[Host, _doc("Address to listen on for scrapes.")]
    port: Annotated[Port, _doc("Port of that HTTP server.")]
    path: Annotated[
        str,
        Meta(pattern="^/", extra={"range": "begins with a slash"}),
        _doc("Path that answers with the metrics."),
    ] = "/metrics"


class StopTable(Table, frozen=True, kw_only=True):
    """Limit the duration of a planned stop."""

    notice_ms: Annotated[
        float,
        Meta(ge=0, le=600_000),
        _doc(
            "Time for callers to be sent to other processes before this one refuses requests.", "ms"
        ),
    ] = 1000
    claims_ms: Annotated[
        float, Meta(ge=0, le=600_000), _doc("Time for the hand-over of claims.", "ms")
    ] = 10_000
    drain_ms: Annotated[
        float, Meta(ge=0, le=3_600_000), _doc("Time for calls in flight to end.", "ms")
    ] = 60_000


class OperatorsTable(Table, frozen=True, kw_only=True):
    """Define the address for operators and how they authenticate."""

    host: Annotated[Host, _doc("Address to listen on for operators.")]
    port: Annotated[Port, _doc("Port of the HTTP server for operators.")]
    insecure: Annotated[
        bool, _doc("Require no credentials from operators; accepted on loopback only.")
    ] = False
    token_file: Annotated[
        File | None, _doc("File with the tokens that operators may use, one on each line.")
    ] = None
    client_authority: Annotated[
        File | None, _doc("PEM file of the authority that signs operators' client certificates.")
    ] = None


class VoterTable(Table, frozen=True, kw_only=True):
    """Define one control voter and the address at which its peers reach it."""

    name: Annotated[Name, _doc("Instance name of the voter.")]
    host: Annotated[Host, _doc("Address of the voter's `[peers]` table.")]
    port: Annotated[FixedPort, _doc("Port of the voter's `[peers]` table.")]
    data_centre: Annotated[
        str,
        Meta(max_length=63),
        _doc("Data centre of the voter; nodes there prefer it."),
    ] = ""


class ControlTable(Table, frozen=True, kw_only=True):
    """Make the process a control voter."""

    data_folder: Annotated[File, _doc("Folder of the control log and its snapshots.")]
    open_to: Annotated[
        int,
        Meta(ge=0, le=9),
        _doc(
            "Number of voters to maintain, whichever join; 0 always keeps those of `[[voters]]`.",
            "voters",
        ),
    ] = 0
    heartbeat_ms: Annotated[
        float, Meta(ge=20, le=500), _doc("Time between two heartbeats of the leader.", "ms")
    ] = 100
    data_centres: Annotated[
        tuple[Name, ...],
        _doc("Data centres that may be evacuated; if empty, those of all live processes."),
    ] = ()
    may_form: Annotated[
        bool, _doc("Form a cluster of empty voters; set it to false once a cluster exists.")
    ] = True


class LeaseTable(Table, frozen=True, kw_only=True):
    """Set how often the node renews its lease and how long a lease lasts."""

    heartbeat_ms: Annotated[
        float, Meta(ge=50, le=60_000), _doc("Time between two renewals of the lease.", "ms")
    ] = 1000
    lease_ms: Annotated[
        float,
        Meta(ge=150, le=600_000),
        _doc("Time after which an instance that does not renew counts as dead.", "ms"),
    ] = 4000
    upstream_ms: Annotated[
        float,
        Meta(ge=0, le=600_000),
        _doc("The same for an upstream on this instance; 0 means `lease_ms`.", "ms"),
    ] = 0


class WatchTable(Table, frozen=True, kw_only=True):
    """Define the services that the node watches from its start."""

    services: Annotated[
        tuple[Name, ...],
        _doc("Services to watch at the start; others are added by their first call."),
    ] = ()


class MeasuringTable(Table, frozen=True, kw_only=True):
    """Limit the traffic that measures the load of upstreams."""

    messages_per_s: Annotated[
        int,
        Meta(ge=0, le=10_000),
        _doc("Maximum number of load probes in any second.", "messages/s"),
    ] = 20
    bytes_per_s: Annotated[
        int,
        Meta(ge=0, le=10_000_000),
        _doc("Maximum number of bytes of load probes in any second.", "B/s"),
    ] = 4000


class LimitsTable(Table, frozen=True, kw_only=True):
    """Limit the resources of the process that callers may use."""

    connections: Annotated[
        int,
        Meta(ge=1, le=65_536),
        _doc("Maximum number of open connections of callers.", "connections"),
    ] = 1024
    in_flight: Annotated[
        int, Meta(ge=1, le=65_536), _doc("Maximum number of calls at a time.", "calls")
    ] = 512
    body_bytes: Annotated[
        int, Meta(ge=0, le=1 << 30), _doc("Maximum size of a request body of a caller.", "B")
    ] = (8 << 20)
    buffered_bytes: Annotated[
        int,
        Meta(ge=1 << 20, le=1 << 36),
        _doc("Maximum total size of request bodies in memory; more is refused as not run.", "B"),
    ] = (
        64 << 20
    )
    header_bytes: Annotated[
        int,
        Meta(ge=1024, le=1 << 20),
        _doc("Maximum size of the request line and headers of a caller.", "B"),
    ] = (
        16 << 10
    )
    far_body_bytes: Annotated[
        int,
        Meta(ge=0, le=1 << 30),
        _doc(
            "Maximum size of a request body that is sent before its owner permits it, and that is "
            "sent to another data centre while the own data centre serves; the latter for services "
            "that prefer near upstreams.",
            "B",
        ),
    ] = (
        16 << 10
    )
    slot_share: Annotated[
        float,
        Meta(gt=0, le=1),
        _doc(
            "Share of an upstream's slots that is used; some upstreams slow down when nearly full."
        ),
    ] = 1.0
    warm_up_overage: Annotated[
        float,
        Meta(gt=0, le=100),
        _doc("Factor by which requests to a cold upstream may exceed its service's warm-up rate."),
    ] = 1.0
    warm_up_slack: Annotated[
        float,
        Meta(ge=0, le=10_000),
        _doc(
            "Number of requests to a cold upstream that may exceed that rate in any second.",
            "requests",
        ),
    ] = 1.0
    keep_alive_s: Annotated[
        float, Meta(gt=0, le=3600), _doc("Time an idle connection of a caller stays open.", "s")
    ] = 60


class SuspicionTable(Table, frozen=True, kw_only=True):
    """Restrict requests that may crash upstreams; all nodes should have the same values."""

    apart_from: Annotated[
        int,
        Meta(ge=1, le=8),
        _doc(
            "Number of upstream ends from which a request runs beside few other suspects.", "ends"
        ),
    ] = DEFAULT_APART_FROM
    quarantine_from: Annotated[
        int,
        Meta(ge=2, le=8),
        _doc("Number of upstream ends from which a request is refused, except for trials.", "ends"),
    ] = DEFAULT_QUARANTINE_FROM
    quarantine_s: Annotated[
        float,
        Meta(ge=1, le=3600),
        _doc("Time to the first trial; each further end makes it eight times as long.", "s"),
    ] = DEFAULT_QUARANTINE
    keep_s: Annotated[
        float,
        Meta(ge=10, le=86_400),
        _doc("Time without a further end after which the suspicion expires.", "s"),
    ] = DEFAULT_KEEP


class QuotasTable(Table, frozen=True, kw_only=True):
    """Limit how far customers may exceed their quotas; all processes need the same values.

    In any window, the number of a customer's requests that run is at most
    (rate x window + burst) x (1 + overage) + slack.
    """

    window_s: Annotated[
        float, Meta(ge=1, le=3600), _doc("Time over which a customer's requests are counted.", "s")
    ] = DEFAULT_WINDOW
    overage: Annotated[
        float,
        Meta(ge=0, le=1),
        _doc(
            "Share by which a customer may exceed its quota; if low, nodes request tokens more "
            "often."
        ),
    ] = DEFAULT_OVERAGE
    slack: Annotated[
        float,
        Meta(ge=0, le=10_000),
        _doc(
            "Number of further requests that a customer may run; two for each voter are best for "
            "customers with less than one request per second.",
            "requests",
        ),
    ] = DEFAULT_SLACK


class ClaimsTable(Table, frozen=True, kw_only=True):
    """Limit the keys and answers that the process keeps of each service whose claims it holds.

    The instances that may hold a service's claims should have the same bounds.
    """

    retention_s: Annotated[
        float,
        Meta(ge=60, le=2_592_000),
        _doc("Time for which a key is kept; a request that is resent later may run again.", "s"),
    ] = 86_400
    keys: Annotated[
        int,
        Meta(ge=100, le=100_000_000),
        _doc("Maximum number of keys of a service; further ones are refused as not run.", "keys"),
    ] = 50_000
    key_bytes: Annotated[
        int,
        Meta(ge=1 << 16, le=1 << 40),
        _doc(
            "Maximum memory for a service's keys and answers; further keys are refused as not run.",
            "B",
        ),
    ] = (
        16 << 20
    )
    answer_bytes: Annotated[
        int,
        Meta(ge=0, le=1 << 40),
        _doc(
            "Maximum memory for a service's answers; the oldest are evicted, their keys are kept.",
            "B",
        ),
    ] = (
        4 << 20
    )


class TimelineTable(Table, frozen=True, kw_only=True):
    """Limit the buffer of recorded events."""

    capacity: Annotated[
        int,
        Meta(ge=100, le=1_000_000),
        _doc(
            "Number of events kept, half for single calls; the oldest are evicted first.", "events"
        ),
    ] = 10_000


class LoggingTable(Table, frozen=True, kw_only=True):
    """Set what the process logs."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"], _doc("Least severe level to log.")
    ] = "info"
    format: Annotated[Literal["json", "text"], _doc("Format of log lines.")] = "json"


class TlsTable(Table, frozen=True, kw_only=True):
    """Define the keys and certificates for the process's links."""

    authority: Annotated[File, _doc("PEM file of the authority that signs every instance's key.")]
    certificate: Annotated[File, _doc("PEM file of the instance's certificate.")]
    key: Annotated[File, _doc("PEM file of the instance's private key.")]


class Settings(Table, frozen=True, kw_only=True):
    """Hold all tables of a bendwindd settings file."""

    instance: InstanceTable
    peers: PeersTable
    callers: CallersTable | None = None
    upstreams: UpstreamsTable | None = None
    beside: BesideTable | None = None
    operators: OperatorsTable | None = None
    readiness: ReadinessTable | None = None
    metrics: MetricsTable | None = None
    voters: Annotated[tuple[VoterTable, ...], Meta(min_length=1, max_length=9)]
    control: ControlTable | None = None
    lease: LeaseTable = LeaseTable()
    stop: StopTable = StopTable()
    watch: WatchTable = WatchTable()
    measuring: MeasuringTable = MeasuringTable()
    claims: ClaimsTable = ClaimsTable()
    suspicion: SuspicionTable = SuspicionTable()
    quotas: QuotasTable = QuotasTable()
    limits: LimitsTable = LimitsTable()
    timeline: TimelineTable = TimelineTable()
    logging: LoggingTable = LoggingTable()
    tls: TlsTable | None = None
