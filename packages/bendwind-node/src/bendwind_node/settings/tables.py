"""Define the tables of a bendwindd settings file, with the range and unit of every key."""

from typing import Annotated, Literal

from msgspec import Meta

from bendwind_node.settings.decision_tables import (
    ClaimsTable,
    LimitsTable,
    MeasuringTable,
    QuotasTable,
    SuspicionTable,
)
from bendwind_node.settings.table import File, FixedPort, Host, Name, Port, Table, describe


class InstanceTable(Table, frozen=True, kw_only=True):
    """Define the instance that the process runs on."""

    name: Annotated[Name, describe("Unique name of the instance; its certificate carries it too.")]
    data_centre: Annotated[Name, describe("Data centre that holds the instance.")]
    region: Annotated[str, Meta(max_length=63), describe("Region that holds the data centre.")] = ""


class PeersTable(Table, frozen=True, kw_only=True):
    """Define the address at which other bendwindd processes reach this one."""

    host: Annotated[Host, describe("Address to listen on and to announce to peers.")]
    port: Annotated[Port, describe("Port of the websocket links between processes.")]
    insecure: Annotated[
        bool,
        describe(
            "Use links without TLS; only on loopback or a trusted network, and not with `[tls]`."
        ),
    ] = False
    is_network_trusted: Annotated[
        bool,
        describe(
            "The network between instances is reachable by nobody else, so links need no TLS."
        ),
    ] = False
    silence_ms: Annotated[
        int,
        Meta(ge=100, le=600_000),
        describe("Time after which a connection whose peer acknowledges nothing is aborted.", "ms"),
    ] = 4000
    compresses_far: Annotated[
        bool,
        describe(
            "Compress links to other data centres. The lengths of messages then reveal some of "
            "their content, even with TLS."
        ),
    ] = False
    link_mbps: Annotated[
        float,
        Meta(ge=0.1, le=1_000_000),
        describe(
            "Rate of the instance's own network link, of which the bodies of requests may fill "
            "little at a time. If it is low, peers get more time to answer a ping.",
            "Mbit/s",
        ),
    ] = 1000.0


class CallersTable(Table, frozen=True, kw_only=True):
    """Define the address at which callers reach the process."""

    host: Annotated[Host, describe("Address to listen on for callers.")]
    port: Annotated[Port, describe("Port of the HTTP server for callers.")]
    server: Annotated[
        Literal["h11", "hypercorn"],
        describe("HTTP server: `h11` is fastest, `hypercorn` also supports HTTP/2."),
    ] = "h11"
    origin_service: Annotated[
        str,
        Meta(max_length=255),
        describe(
            "Service of the upstream on this instance, which requests that begin here name until "
            "an upstream announces itself at the address of `beside`; reloadable."
        ),
    ] = ""


class UpstreamsTable(Table, frozen=True, kw_only=True):
    """Define the address at which the upstream on this instance announces itself."""

    host: Annotated[Host, describe("Address to listen on for the upstream on this instance.")]
    port: Annotated[Port, describe("Port of the HTTP server for the upstream.")]


class BesideTable(Table, frozen=True, kw_only=True):
    """Define where the upstream on this instance is, so that a known one is used at once.

    Known is one that has announced itself to an earlier run of this process.
    """

    host: Annotated[Host, describe("Address of that upstream.")]
    port: Annotated[FixedPort, describe("Port of that upstream.")]


class ReadinessTable(Table, frozen=True, kw_only=True):
    """Define the address of the readiness check: whether callers should use this process."""

    host: Annotated[Host, describe("Address to listen on for readiness checks.")]
    port: Annotated[Port, describe("Port of that HTTP server.")]
    path: Annotated[
        str,
        Meta(pattern="^/", extra={"range": "begins with a slash"}),
        describe("Path that answers 200 when ready, 503 otherwise."),
    ] = "/ready"


class MetricsTable(Table, frozen=True, kw_only=True):
    """Define an address for metrics, in addition to the operators' address."""

    host: Annotated[Host, describe("Address to listen on for scrapes.")]
    port: Annotated[Port, describe("Port of that HTTP server.")]
    path: Annotated[
        str,
        Meta(pattern="^/", extra={"range": "begins with a slash"}),
        describe("Path that answers with the metrics."),
    ] = "/metrics"


class StopTable(Table, frozen=True, kw_only=True):
    """Limit the duration of a planned stop."""

    notice_ms: Annotated[
        float,
        Meta(ge=0, le=600_000),
        describe(
            "Time for callers to be sent to other processes before this one refuses requests.", "ms"
        ),
    ] = 1000
    claims_ms: Annotated[
        float, Meta(ge=0, le=600_000), describe("Time for the hand-over of claims.", "ms")
    ] = 10_000
    drain_ms: Annotated[
        float, Meta(ge=0, le=3_600_000), describe("Time for calls in flight to end.", "ms")
    ] = 60_000


class OperatorsTable(Table, frozen=True, kw_only=True):
    """Define the address for operators and how they authenticate."""

    host: Annotated[Host, describe("Address to listen on for operators.")]
    port: Annotated[Port, describe("Port of the HTTP server for operators.")]
    insecure: Annotated[
        bool, describe("Require no credentials from operators; accepted on loopback only.")
    ] = False
    token_file: Annotated[
        File | None, describe("File with the tokens that operators may use, one on each line.")
    ] = None
    client_authority: Annotated[
        File | None,
        describe("PEM file of the authority that signs operators' client certificates."),
    ] = None


class VoterTable(Table, frozen=True, kw_only=True):
    """Define one control voter and the address at which its peers reach it."""

    name: Annotated[Name, describe("Instance name of the voter.")]
    host: Annotated[Host, describe("Address of the voter's `[peers]` table.")]
    port: Annotated[FixedPort, describe("Port of the voter's `[peers]` table.")]
    data_centre: Annotated[
        str,
        Meta(max_length=63),
        describe("Data centre of the voter; nodes there prefer it."),
    ] = ""


class ControlTable(Table, frozen=True, kw_only=True):
    """Make the process a control voter."""

    data_folder: Annotated[File, describe("Folder of the control log and its snapshots.")]
    open_to: Annotated[
        int,
        Meta(ge=0, le=9),
        describe(
            "Number of voters to maintain, whichever join; 0 always keeps those of `[[voters]]`.",
            "voters",
        ),
    ] = 0
    heartbeat_ms: Annotated[
        float, Meta(ge=20, le=500), describe("Time between two heartbeats of the leader.", "ms")
    ] = 100
    data_centres: Annotated[
        tuple[Name, ...],
        describe("Data centres that may be evacuated; if empty, those of all live processes."),
    ] = ()
    may_form: Annotated[
        bool, describe("Form a cluster of empty voters; set it to false once a cluster exists.")
    ] = True


class LeaseTable(Table, frozen=True, kw_only=True):
    """Set how often the node renews its lease and how long a lease lasts."""

    heartbeat_ms: Annotated[
        float, Meta(ge=50, le=60_000), describe("Time between two renewals of the lease.", "ms")
    ] = 1000
    lease_ms: Annotated[
        float,
        Meta(ge=150, le=600_000),
        describe("Time after which an instance that does not renew counts as dead.", "ms"),
    ] = 4000
    upstream_ms: Annotated[
        float,
        Meta(ge=0, le=600_000),
        describe("The same for an upstream on this instance; 0 means `lease_ms`.", "ms"),
    ] = 0


class WatchTable(Table, frozen=True, kw_only=True):
    """Define the services that the node watches from its start."""

    services: Annotated[
        tuple[Name, ...],
        describe("Services to watch at the start; others are added by their first call."),
    ] = ()


class TimelineTable(Table, frozen=True, kw_only=True):
    """Limit the buffer of recorded events."""

    capacity: Annotated[
        int,
        Meta(ge=100, le=1_000_000),
        describe(
            "Number of events kept, half for single calls; the oldest are evicted first.", "events"
        ),
    ] = 10_000


class LoggingTable(Table, frozen=True, kw_only=True):
    """Set what the process logs."""

    level: Annotated[
        Literal["debug", "info", "warning", "error"], describe("Least severe level to log.")
    ] = "info"
    format: Annotated[Literal["json", "text"], describe("Format of log lines.")] = "json"


class TlsTable(Table, frozen=True, kw_only=True):
    """Define the keys and certificates for the process's links."""

    authority: Annotated[
        File, describe("PEM file of the authority that signs every instance's key.")
    ]
    certificate: Annotated[File, describe("PEM file of the instance's certificate.")]
    key: Annotated[File, describe("PEM file of the instance's private key.")]


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
