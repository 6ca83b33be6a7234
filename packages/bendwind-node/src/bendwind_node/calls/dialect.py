"""Describe the HTTP headers by which callers, nodes and upstreams understand each other."""

from dataclasses import dataclass, field

from bendwind_core.attempts import Header, NotRunReason

_SERVICE_UNAVAILABLE = 503
# RFC 9110, section 15.5.20: the request was directed at a server that is not the one meant.
MISDIRECTED = 421
# Running, waiting, slots, and how long work takes in percent of the usual time.
_SLOTS_FIELD = 2
_SLOW_FACTOR_FIELD = 3
_PERCENT = 100


@dataclass(frozen=True, slots=True)
class Dialect:
    """Name the headers of one kind of deployment; None where there is no such header.

    `service` names a service directly, `timeout_ms` says how long the sender waits, `request_id`
    is the sender's own id, which an upstream repeats in its answer. Towards upstreams, `attempt`
    carries the attempt's id, `upstream` the name of the upstream that is meant, and
    `origin_service` the service beside the entry node. `not_run` marks an answer whose request did
    not run; where `not_run_value` is None its presence is enough, whatever the status.
    `answering_upstream` is the name that an upstream gives itself on its health path, and
    `warm_up` how many milliseconds longer it stays cold. `key` carries a caller's key, which
    goes no further, and `customer` tells the upstream whose request it is. In its answers an
    upstream names by `rate_limit` how many requests a second it takes from all nodes together, and
    says by `leaving` that it is to get no more.
    `has_outcomes` adds Bendwind's outcome headers to answers, `has_fractions` permits fractions of
    seconds in Retry-After, `has_cancel_path` says that upstreams take cancellations as requests.
    """

    timeout_ms: bytes
    not_run: bytes
    not_run_value: bytes | None
    service: bytes | None = None
    request_id: bytes | None = None
    attempt: bytes | None = None
    upstream: bytes | None = None
    origin_service: bytes | None = None
    load: bytes | None = None
    answering_upstream: bytes | None = None
    warm_up: bytes | None = None
    key: bytes | None = None
    customer: bytes | None = None
    rate_limit: bytes | None = None
    leaving: bytes | None = None
    has_outcomes: bool = False
    has_fractions: bool = True
    has_cancel_path: bool = False
    not_forwarded: frozenset[bytes] = field(init=False)
    notices: frozenset[bytes] = field(init=False)

    def __post_init__(self):
        own = (
            self.service,
            self.timeout_ms,
            self.attempt,
            self.upstream,
            self.origin_service,
            self.not_run,
            self.load,
            self.key,
            self.customer,
        )
        object.__setattr__(self, "not_forwarded", frozenset(name for name in own if name))
        notices = (self.rate_limit, self.leaving)
        object.__setattr__(self, "notices", frozenset(name for name in notices if name))


BENDWIND_DIALECT = Dialect(
    timeout_ms=b"bendwind-timeout-ms",
    not_run=b"bendwind-shed",
    not_run_value=b"not-run",
    service=b"bendwind-service",
    attempt=b"bendwind-attempt",
    key=b"bendwind-key",
    customer=b"bendwind-customer",
    rate_limit=b"bendwind-rate-limit",
    leaving=b"bendwind-leaving",
    has_outcomes=True,
    has_fractions=False,
    has_cancel_path=True,
)


def find_not_run_proof(
    dialect: Dialect, status: int, headers: tuple[Header, ...]
) -> NotRunReason | None:
    """Return why an upstream's answer proves that it did not run the request, or None."""
    if dialect.upstream is not None and status == MISDIRECTED:
        return NotRunReason.MISDIRECTED
    marks = [value for name, value in headers if name == dialect.not_run]
    if not marks:
        return None
    if dialect.not_run_value is None:
        return NotRunReason.SHED
    is_shed = status == _SERVICE_UNAVAILABLE and marks[0] == dialect.not_run_value
    return NotRunReason.SHED if is_shed else None


def read_slow_factor(load: bytes | None) -> float | None:
    """Return how much longer than usual work takes at an upstream, by its own word, or None.

    >>> read_slow_factor(b"3,0,8,400")
    4.0
    """
    percentage = _read_load_field(load, _SLOW_FACTOR_FIELD)
    return None if percentage is None else percentage / _PERCENT


def read_warm_up_ms(value: bytes | None) -> float:
    """Return how much longer an upstream stays cold, by its own word; one that is silent is warm.

    >>> read_warm_up_ms(b"1200")
    1200.0
    """
    text = (value or b"").strip()
    return float(text) if text.isdigit() else 0.0


def read_slots(load: bytes | None) -> int | None:
    """Return how many requests an upstream works on at once, by its own word, or None.

    >>> read_slots(b"3,0,8")
    8
    """
    return _read_load_field(load, _SLOTS_FIELD)


def _read_load_field(load: bytes | None, position: int) -> int | None:
    fields = (load or b"").split(b",")
    if len(fields) <= position or not fields[position].strip().isdigit():
        return None
    return int(fields[position])
