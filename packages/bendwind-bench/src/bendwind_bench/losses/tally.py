"""Count the calls of a deployment by route, second and cause."""

import collections

import msgspec

from bendwind_bench.losses.causes import Cause, find_cause
from bendwind_bench.losses.read import Logs
from bendwind_core.core import MILLISECONDS_PER_SECOND


class Tally(msgspec.Struct):
    """Hold counts of calls by cause: for each route, and for each second from the first call on.

    `age_ms` holds, for each cause, the ages of the upstreams' last reports that decided.
    """

    routes: dict[str, collections.Counter[Cause]]
    seconds: dict[int, collections.Counter[Cause]]
    age_ms: dict[Cause, list[float]]


def count_losses(logs: Logs) -> Tally:
    """Count all calls that have a latency objective."""
    routes: dict[str, collections.Counter] = collections.defaultdict(collections.Counter)
    seconds: dict[int, collections.Counter] = collections.defaultdict(collections.Counter)
    ages: dict[Cause, list[float]] = collections.defaultdict(list)
    calls = [call for call in logs.calls if call.facts.target_ms is not None]
    first_ms = min((_find_start(call) for call in calls), default=0.0)
    for call in calls:
        cause = find_cause(call, logs)
        routes[call.facts.route][cause] += 1
        seconds[int((_find_start(call) - first_ms) / MILLISECONDS_PER_SECOND)][cause] += 1
        if cause is not Cause.NONE:
            ages[cause].extend(_list_ages(call.request, logs))
    return Tally(dict(routes), dict(seconds), dict(ages))


def _find_start(call) -> float:
    return call.physical_ms - call.facts.ms


def _list_ages(request: str, logs: Logs) -> list[float]:
    lines = logs.owners.get(request, ())
    return [line.facts.report_age_ms for line in lines if line.facts.report_age_ms is not None]
