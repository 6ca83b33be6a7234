"""Define the HTTP headers that callers, nodes and upstreams exchange."""

from dataclasses import dataclass, field

from bendwind_core.attempts import Header, NotRunReason
from bendwind_core.core import MAX_SLOTS, MAX_WARM_UP_MS, read_whole_number

_SERVICE_UNAVAILABLE = 503
# RFC 9110, section 15.5.20: the request was directed at another server than the intended one.
MISDIRECTED = 421
# Positions in the load header: running requests, waiting requests, slots, and the time that work
# takes in percent of its usual time.
_SLOTS_FIELD = 2
_SLOW_FACTOR_FIELD = 3
_PERCENT = 100


@dataclass(frozen=True, slots=True)
class Dialect:
    """Hold the header names of one kind of deployment; None stands for a header that is not used.

    In requests, `service` names a service directly, `timeout_ms` is the time for which the sender
    waits, and `request_id` is the sender's own id, which an upstream repeats in its answer. In
    requests to upstreams, `attempt` carries the id of the attempt, `upstream` the name of the
    intended upstream, and `origin_service` the service beside the entry node. `not_run` marks an
    answer whose request did not run; if `not_run_value` is None, its presence is enough, whatever
    the status. On the health path, `answering_upstream` is the upstream's own name and `warm_up`
    its remaining warm-up time in milliseconds. `key` carries a caller's key, which is not
    forwarded, and `customer` names to the upstream the customer of the request. In answers of an
    upstream, `rate_limit` is the number of requests per second that it accepts from all nodes
    together, and `leaving` says that it must get no more requests.
    `has_outcomes` adds Bendwind's outcome headers to answers, `has_fractions` permits fractions of
    seconds in Retry-After, `has_cancel_path` says that upstreams accept cancellations as requests.
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
    """Return the reason if an answer proves that the upstream did not run the request, or None."""
    if dialect.upstream is not None and status == MISDIRECTED:
        return NotRunReason.MISDIRECTED
    marks = [value for name, value in headers if name == dialect.not_run]
    if not marks:
        return None
    if dialect.not_run_value is None:
        return NotRunReason.SHED
    is_shed = status == _SERVICE_UNAVAILABLE and marks[0] == dialect.not_run_value
    return NotRunReason.SHED if is_shed else None


def _read_whole(text: bytes) -> int | None:
    """Return a whole number of a header, None if it is none that a message can hold."""
    return read_whole_number(text.strip().decode("latin-1"))


def read_slow_factor(load: bytes | None) -> float | None:
    """Return the slow factor in a load header (duration of work / usual duration), or None.

    >>> read_slow_factor(b"3,0,8,400")
    4.0
    """
    percentage = _read_load_field(load, _SLOW_FACTOR_FIELD)
    return None if percentage is None else percentage / _PERCENT


def read_warm_up_ms(value: bytes) -> float | None:
    """Return the warm-up time that an upstream reports as remaining, None if it is malformed.

    >>> read_warm_up_ms(b"1200")
    1200.0
    """
    milliseconds = _read_whole(value)
    return None if milliseconds is None else float(min(milliseconds, MAX_WARM_UP_MS))


def read_slots(load: bytes | None) -> int | None:
    """Return the number of slots (concurrent requests) in a load header, or None.

    >>> read_slots(b"3,0,8")
    8
    """
    slots = _read_load_field(load, _SLOTS_FIELD)
    return None if slots is None or slots > MAX_SLOTS else slots


def _read_load_field(load: bytes | None, position: int) -> int | None:
    fields = (load or b"").split(b",")
    return _read_whole(fields[position]) if position < len(fields) else None
