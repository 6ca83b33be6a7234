"""Find the runs that ended with an error, and the failed call that each of them made, if any."""

import collections

import msgspec

from bendwind_bench.losses.read import Logs
from bendwind_bench.losses.stages import find_dispatch
from bendwind_core.timeline import LogLine

_SERVER_ERROR = 500
_SEPARATOR = "."
# The clocks of instances differ by some milliseconds.
_CLOCK_SKEW_MS = 20.0


class FailedRun(msgspec.Struct, frozen=True):
    """Hold a run that ended with an error; `inner` is the call that caused it, if one is known."""

    call: LogLine
    inner: LogLine | None = None
    is_refused: bool = False


def is_inner(call: LogLine, requests: set[str]) -> bool:
    """Return whether an upstream made a call while it ran another.

    The request id of such a call is the id of the outer request, a dot and a part of its own.
    """
    outer = find_outer_request(call.request)
    return bool(outer) and outer in requests


def find_outer_request(request: str) -> str:
    """Return the id of the request that an inner call belongs to, empty for other calls.

    >>> find_outer_request("5f3c.a1")
    '5f3c'
    """
    return request.rpartition(_SEPARATOR)[0]


def list_failed_runs(logs: Logs) -> dict[str, FailedRun]:
    """Return the runs that answered with an error, by the ids of their calls."""
    inner: dict[str, list[LogLine]] = collections.defaultdict(list)
    for call in logs.calls:
        if outer := find_outer_request(call.request):
            inner[outer].append(call)
    failed = {}
    for call in logs.calls:
        if any(_is_error(attempt.end) for attempt in call.facts.attempts):
            failed[call.call] = _find_failed_call(call, inner.get(call.request, []), logs)
    return failed


def _is_error(end: str) -> bool:
    return end.isdigit() and int(end) >= _SERVER_ERROR


def _find_failed_call(call: LogLine, inner: list[LogLine], logs: Logs) -> FailedRun:
    """Find the last inner call that failed during the failed run; earlier runs are ignored."""
    last = next(one for one in reversed(call.facts.attempts) if _is_error(one.end))
    dispatch = find_dispatch(call, last, logs)
    until = dispatch.physical_ms if dispatch is not None else call.physical_ms
    since = until - (dispatch.facts.ms if dispatch is not None else call.facts.ms)
    within = [
        one for one in inner if since - _CLOCK_SKEW_MS <= one.physical_ms <= until + _CLOCK_SKEW_MS
    ]
    bad = [one for one in within if one.detail != "answered" or one.facts.status >= _SERVER_ERROR]
    if not bad:
        return FailedRun(call)
    worst = max(bad, key=lambda one: one.physical_ms)
    return FailedRun(call, worst, worst.detail.startswith("not-run"))


__all__ = ["FailedRun", "find_outer_request", "is_inner", "list_failed_runs"]
