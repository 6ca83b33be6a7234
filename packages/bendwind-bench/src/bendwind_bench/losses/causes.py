"""Find the cause for which a call was not answered in time."""

import enum

from bendwind_bench.losses.read import Logs, list_owner_lines
from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.attempts.pace import SLOW_FACTOR
from bendwind_core.core import Milliseconds
from bendwind_core.timeline import CallFacts, DispatchFacts, LogLine, RefusalFacts

# A part of a late call's time counts as the cause when it exceeds this share of the objective.
LARGE_SHARE = 0.3
_ANSWERED = "answered"
_NOT_RUN = "not-run"
_SERVER_ERROR = 500
_REASONS = frozenset(NotRunReason)


class Cause(enum.StrEnum):
    """List the causes, ordered from the caller's side to the upstream's."""

    NONE = "in time"
    LATE_ON_ARRIVAL = "late before it came: its caller had been refused"
    NO_CONFIGURATION = "refused: no configuration yet"
    NO_UPSTREAM = "refused: no upstream known"
    OVER_QUOTA = "refused: over its customer's quota, or that not known"
    FREE_SLOT = "refused while a slot was free"
    FULL = "refused: slots taken"
    SLOWED = "refused: upstreams slowed"
    SHED = "refused by the upstream itself"
    RETRIED = "late: time went into earlier attempts"
    WAITED = "late: waited for a slot"
    STARTED_SLOW = "late: began in a slow phase"
    RAN_LONG = "late: took long in the upstream"
    FAILED = "failed in the upstream"
    RESULT_UNKNOWN = "cut: result unknown"
    CALLER_GONE = "caller went away"
    OTHER = "other"


def find_cause(call: LogLine, logs: Logs) -> Cause:
    """Return why a call was not answered in time, NONE if it was answered in time."""
    facts: CallFacts = call.facts
    if call.detail == _ANSWERED:
        return _find_answered(call, facts, logs)
    if call.detail == "caller gone":
        return Cause.CALLER_GONE
    if is_refused(call):
        return _find_refused(call, logs)
    if call.detail.startswith(("unknown", "cut")):
        return Cause.RESULT_UNKNOWN
    return Cause.OTHER


def is_refused(call: LogLine) -> bool:
    """Return whether a call provably did not run.

    The detail of a call refused before any attempt is the reason alone, without "not-run".
    """
    return call.detail.startswith(_NOT_RUN) or call.detail in _REASONS


def _find_answered(call: LogLine, facts: CallFacts, logs: Logs) -> Cause:
    if facts.status >= _SERVER_ERROR:
        return Cause.FAILED
    if facts.target_ms is None or facts.ms <= facts.target_ms:
        return Cause.NONE
    if facts.target_ms <= 0:
        return Cause.LATE_ON_ARRIVAL
    last = facts.attempts[-1]
    large = LARGE_SHARE * (facts.target_ms + facts.tried_ms)
    if last.sent_ms > large:
        return Cause.RETRIED
    dispatch = _find_owner(call, last.upstream, logs)
    return _find_slow_run(dispatch, large) if dispatch is not None else Cause.RAN_LONG


def _find_slow_run(dispatch: LogLine, large: Milliseconds) -> Cause:
    facts = dispatch.facts
    if isinstance(facts, DispatchFacts) and facts.waited_ms > large:
        return Cause.WAITED
    is_slowed = isinstance(facts, DispatchFacts) and facts.slow_factor >= SLOW_FACTOR
    return Cause.STARTED_SLOW if is_slowed else Cause.RAN_LONG


def _find_refused(call: LogLine, logs: Logs) -> Cause:
    reason = call.detail.rpartition(": ")[2]
    match reason:
        case "stale-configuration":
            return Cause.NO_CONFIGURATION
        case "over-quota" | "quota-unknown":
            return Cause.OVER_QUOTA
        case "no-upstream" | "draining" | "connect-failed":
            return Cause.NO_UPSTREAM
        case "shed":
            return Cause.SHED
    lines = list_owner_lines(call, logs)
    refusals = [line.facts for line in lines if isinstance(line.facts, RefusalFacts)]
    if not refusals:
        return Cause.OTHER
    at_pace = [facts for facts in refusals if facts.slow_factor < SLOW_FACTOR]
    if any(facts.running < (facts.limit or facts.slots) and not facts.waiting for facts in at_pace):
        return Cause.FREE_SLOT
    return Cause.FULL if at_pace else Cause.SLOWED


def _find_owner(call: LogLine, upstream: str, logs: Logs) -> LogLine | None:
    of_attempt = [line for line in list_owner_lines(call, logs) if line.upstream == upstream]
    return of_attempt[-1] if of_attempt else None
