"""Define every metric with its kind, unit, labels and meaning."""

import enum

import msgspec


class MetricKind(enum.StrEnum):
    """Distinguish metrics that only grow from those that go up and down."""

    COUNTER = "counter"
    GAUGE = "gauge"


class _Definition(msgspec.Struct, frozen=True):
    name: str
    kind: MetricKind
    unit: str
    labels: tuple[str, ...]
    meaning: str


def _count(name: str, unit: str, meaning: str, *labels: str) -> _Definition:
    return _Definition(f"bendwind_{name}_total", MetricKind.COUNTER, unit, labels, meaning)


def _gauge(name: str, unit: str, meaning: str, *labels: str) -> _Definition:
    return _Definition(f"bendwind_{name}", MetricKind.GAUGE, unit, labels, meaning)


def _histogram(
    name: str, meaning: str, label: str = "route"
) -> tuple[_Definition, _Definition, _Definition]:
    """Define the three series of a histogram, as Prometheus names them."""
    full = f"bendwind_{name}_seconds"
    return (
        _Definition(f"{full}_bucket", MetricKind.COUNTER, "1", (label, "le"), meaning),
        _Definition(f"{full}_sum", MetricKind.COUNTER, "s", (label,), f"{meaning} Their sum."),
        _Definition(f"{full}_count", MetricKind.COUNTER, "1", (label,), f"{meaning} Number."),
    )


_CALL_SECONDS = _histogram("call", "Calls by the time from arrival to outcome.")
_WAIT_SECONDS = _histogram("attempt_wait", "Dispatched attempts by their time in the queue.")
_RUN_SECONDS = _histogram("attempt_run", "Dispatched attempts by their time in the upstream.")
_RANK_WAIT_SECONDS = _histogram(
    "rank_wait", "Attempts dispatched, or refused from the queue, by their time in it.", "rank"
)


class Metric(enum.Enum):
    """List the metrics; docs/METRICS.md is generated from this class."""

    EVENTS = _count("events", "events", "Events recorded, see docs/EVENTS.md.", "number", "name")
    EVENTS_DROPPED = _count(
        "events_dropped", "events", "Events that newer ones pushed out of the time line's buffer."
    )
    CLOCK_IGNORED = _count(
        "clock_ignored", "messages", "Peer times too far ahead of this wall clock to follow."
    )
    REQUESTS_TAKEN = _count(
        "requests_taken", "requests", "Requests whose head was read, by address.", "address"
    )
    REQUESTS_IN_HAND = _gauge(
        "requests_in_hand", "requests", "Requests taken that have not ended.", "address"
    )
    REQUESTS_ENDED = _count(
        "requests_ended",
        "requests",
        "Requests by their end: answered or refused whole, cut with the answer of their upstream, "
        "left by their caller, or unanswered, of which there should be none.",
        "address",
        "ending",
    )
    CALLS_IN_FLIGHT = _gauge(
        "calls_in_flight", "calls", "Calls of this entry node without their outcome.", "service"
    )
    AVOIDABLE_WAITS = _count(
        "avoidable_waits",
        "attempts",
        "Attempts that waited over 20 ms at an owner while reports to this entry node said that "
        "another upstream of the service was free.",
        "service",
    )
    AVOIDABLE_WAIT_SECONDS = _Definition(
        "bendwind_avoidable_wait_seconds_total",
        MetricKind.COUNTER,
        "s",
        ("service",),
        "Time that these attempts waited since such a report.",
    )
    ATTEMPTS_RUNNING = _gauge(
        "attempts_running", "attempts", "Attempts at the upstream now.", "upstream"
    )
    ATTEMPTS_WAITING = _gauge(
        "attempts_waiting", "attempts", "Attempts queued for the upstream.", "upstream"
    )
    UPSTREAM_SLOTS = _gauge(
        "upstream_slots", "attempts", "Attempts the upstream takes at a time.", "upstream"
    )
    UPSTREAM_COLD = _gauge(
        "upstream_cold", "0 or 1", "Whether the upstream is spared because it is cold.", "upstream"
    )
    UPSTREAM_COLD_PEAK = _gauge(
        "upstream_cold_peak",
        "requests",
        "Most requests in a second that it was sent while it counted as cold.",
        "upstream",
    )
    UPSTREAM_LIMIT = _gauge(
        "upstream_limit",
        "requests/s",
        "What the upstream takes by its own word, only while it names a limit.",
        "upstream",
    )
    UPSTREAM_UNREACHABLE = _gauge(
        "upstream_unreachable", "0 or 1", "Whether it refused the last connection.", "upstream"
    )
    EVACUATED = _gauge("evacuated", "0 or 1", "Whether this data centre is evacuated.")
    LOAD_PROBES = _count("load_probes", "messages", "Load probes asked and answered.", "direction")
    LINKS = _gauge("links", "links", "Open links to peers, by which end opened them.", "opened_by")
    MESSAGES_NOT_SENT = _count(
        "messages_not_sent", "messages", "Messages to peers that no frame can hold."
    )
    DRAINING = _gauge("draining", "0 or 1", "Whether the process takes no new attempts.")
    CONFIGURATION_VERSION = _gauge(
        "configuration_version", "version", "Configuration in force on this node."
    )
    CONFIRMED_AGE = _gauge(
        "confirmed_age_seconds", "s", "Age of the proof that the version is the newest."
    )
    FRESH = _gauge("fresh", "0 or 1", "Whether that proof is young enough to serve calls.")
    CLAIM_GROUPS = _gauge("claim_groups", "groups", "Claim groups this node is a member of.")
    VOTER_APPLIED = _gauge("voter_applied_index", "entries", "Log entries this voter applied.")
    VOTER_TERM = _gauge("voter_term", "term", "Term of this voter.")
    VOTER_LEADER = _gauge("voter_leader", "0 or 1", "Whether this voter is the leader.")
    VOTER_REPLACING = _gauge(
        "voter_replacement_seconds", "s", "For how long a voter is being replaced; 0 if none is."
    )
    MEMBERS = _gauge("members", "instances", "Instances this voter knows as alive.")
    CALLS = _count("calls", "calls", "Calls by their one outcome.", "route", "outcome")
    REFUSALS = _count(
        "attempts_refused", "attempts", "Attempts this owner refused.", "route", "reason"
    )
    CUSTOMERS = _gauge("customers", "customers", "Customers whose keys are in force on this node.")
    UNKNOWN_KEYS = _count(
        "calls_unknown_key", "calls", "Calls refused for want of a key that is known."
    )
    CALLS_REFUSED = _count(
        "calls_refused", "calls", "Calls of this entry node that did not run.", "rank", "reason"
    )
    SENT_BACK = _count(
        "attempts_sent_back", "attempts", "Hand-overs that came back unrun.", "rank", "reason"
    )
    QUOTA_REQUESTS = _count(
        "quota_requests",
        "requests",
        "Requests of customers with a quota, by what came of asking for a token; `returned` counts "
        "tokens that were given back.",
        "outcome",
    )
    QUOTA_ASKS = _count("quota_asks", "messages", "Questions for tokens to voters.")
    VOTER_QUOTA_TOKENS = _count(
        "voter_quota_tokens",
        "tokens",
        "Tokens that nodes and voters asked this voter for, by what it did.",
        "action",
    )
    VOTER_QUOTAS = _gauge(
        "voter_quotas", "customers", "Limited customers that this voter was asked for lately."
    )
    SUSPECTS = _gauge("suspects", "requests", "Requests that upstreams ended under.", "state")
    CALL_BUCKET, CALL_SUM, CALL_COUNT = _CALL_SECONDS
    WAIT_BUCKET, WAIT_SUM, WAIT_COUNT = _WAIT_SECONDS
    RUN_BUCKET, RUN_SUM, RUN_COUNT = _RUN_SECONDS
    RANK_WAIT_BUCKET, RANK_WAIT_SUM, RANK_WAIT_COUNT = _RANK_WAIT_SECONDS
    LOG_LINES_LEFT_OUT = _count(
        "log_lines_left_out", "lines", "Log lines that found no room because nobody read them."
    )
    CPU = _count("cpu_seconds", "s", "Processor time of the process.")
    PEAK_MEMORY = _gauge("peak_resident_bytes", "B", "Most memory the process ever held.")
