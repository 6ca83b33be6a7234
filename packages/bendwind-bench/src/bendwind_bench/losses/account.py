"""Compute for every call its outcome, its waits and whether it ran for nothing."""

import collections
import enum
from collections.abc import Callable, Iterable

import msgspec

from bendwind_bench.losses.causes import Cause, find_cause, is_refused
from bendwind_bench.losses.free import FreeTimes, find_free_times, find_wait_span
from bendwind_bench.losses.read import Logs, list_owner_lines
from bendwind_bench.losses.runs import FailedRun, is_inner, list_failed_runs
from bendwind_bench.losses.stages import Stages, find_stages
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds
from bendwind_core.timeline import LogLine

# Longer waits are counted. Sending an attempt to another upstream takes a few round trips, and the
# clocks of instances agree to about half of this time.
NEGLIGIBLE_WAIT_MS: Milliseconds = 20.0
# The clocks of instances agree to about this.
CLOCK_ACCURACY_MS: Milliseconds = 10.0
# Maximum number of customers or routes that have a row of their own.
MAX_GROUPS = 10
REMAINING_GROUPS = "the rest"
_SERVER_ERROR = 500


class Fate(enum.StrEnum):
    """List the outcomes of a call."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    CALLER_GONE = "caller gone"


class By(enum.StrEnum):
    """List the properties by which calls are grouped."""

    ROUTE = "route"
    RANK = "rank"
    CUSTOMER = "customer"
    SERVICE = "service"
    DATA_CENTRE = "data-centre"


class Row(msgspec.Struct, frozen=True):
    """Hold what the logs show of one call.

    `second` counts from the start of the first call. `ages_ms` are the ages of the pace reports
    that its owners used. `waited_ms` is the time that its attempts waited at owners,
    `waited_free_ms` the part of it during which an upstream of the service was free, `near_ms` the
    part during which one was free in the data centre of its entry node. `reason` is the reason of
    a refusal, and `was_free` is true if an upstream of the service was free at the refusal.
    """

    second: int
    call: LogLine
    place: str
    fate: Fate
    cause: Cause
    stages: Stages
    sent_back: int
    waited_ms: Milliseconds
    waited_free_ms: Milliseconds
    near_ms: Milliseconds
    ages_ms: tuple[Milliseconds, ...]
    reason: str = ""
    was_free: bool = False
    is_inner: bool = False
    failed_run: FailedRun | None = None

    @property
    def is_for_nothing(self) -> bool:
        """Return whether it ran and ended with an error because a call that it made was refused."""
        return self.failed_run is not None and self.failed_run.is_refused


def list_rows(logs: Logs) -> list[Row]:
    """Return a row for each call that has a latency objective or was refused."""
    calls = [call for call in logs.calls if call.facts.target_ms is not None or is_refused(call)]
    first_ms = min((_find_start_ms(call) for call in calls), default=0.0)
    requests = {call.request for call in logs.calls}
    free, failed = find_free_times(logs), list_failed_runs(logs)
    return [
        _make_row(call, first_ms, logs, free, failed.get(call.call), is_inner(call, requests))
        for call in calls
    ]


def _make_row(
    call: LogLine,
    first_ms: float,
    logs: Logs,
    free: FreeTimes,
    failed: FailedRun | None,
    inner: bool,
) -> Row:
    fate = find_fate(call)
    place = logs.places.get(call.instance, "")
    service = call.facts.service
    lines = list_owner_lines(call, logs)
    waits = [find_wait_span(line) for line in lines]
    return Row(
        int((_find_start_ms(call) - first_ms) / MILLISECONDS_PER_SECOND),
        call,
        place,
        fate,
        find_cause(call, logs),
        find_stages(call, logs),
        sum(attempt.end.startswith("not-run") for attempt in call.facts.attempts),
        sum(until - since for since, until in waits),
        sum(free.measure(service, *wait) for wait in waits),
        sum(free.measure_near(service, place, *wait) for wait in waits),
        tuple(line.facts.report_age_ms for line in lines if line.facts.report_age_ms is not None),
        call.detail.rpartition(": ")[2] if fate is Fate.REFUSED else "",
        fate is Fate.REFUSED and _was_free(call, free),
        inner,
        failed,
    )


def _was_free(call: LogLine, free: FreeTimes) -> bool:
    """Return whether an upstream was free for most of CLOCK_ACCURACY_MS before the refusal."""
    ended_ms = call.physical_ms
    return (
        free.measure(call.facts.service, ended_ms - CLOCK_ACCURACY_MS, ended_ms)
        > CLOCK_ACCURACY_MS / 2
    )


def _find_start_ms(call: LogLine) -> float:
    return call.physical_ms - call.facts.ms


def find_fate(call: LogLine) -> Fate:
    """Return the outcome of a call."""
    facts = call.facts
    if call.detail == "answered":
        if facts.status >= _SERVER_ERROR:
            return Fate.FAILED
        is_in_time = facts.target_ms is None or facts.ms <= facts.target_ms
        return Fate.IN_TIME if is_in_time else Fate.LATE
    if is_refused(call):
        return Fate.REFUSED
    return Fate.CALLER_GONE if call.detail == "caller gone" else Fate.FAILED


class Account(msgspec.Struct):
    """Hold the totals of several calls."""

    calls: int = 0
    fates: collections.Counter[Fate] = msgspec.field(default_factory=collections.Counter)
    causes: collections.Counter[Cause] = msgspec.field(default_factory=collections.Counter)
    reasons: collections.Counter[str] = msgspec.field(default_factory=collections.Counter)
    refused_free: int = 0
    sent_back: int = 0
    waited: int = 0
    waited_free: int = 0
    waited_free_ms: Milliseconds = 0.0
    waited_near: int = 0
    for_nothing: int = 0
    stages: list[Stages] = msgspec.field(default_factory=list)

    def share(self, number: float) -> float:
        """Return a number divided by the number of calls."""
        return number / max(1, self.calls)

    @property
    def served(self) -> int:
        """Return the number of calls that were answered, in time or late."""
        return self.fates[Fate.IN_TIME] + self.fates[Fate.LATE]


def aggregate_rows(rows: Iterable[Row]) -> Account:
    """Return the totals of the rows."""
    account = Account()
    for row in rows:
        account.calls += 1
        account.fates[row.fate] += 1
        account.causes[row.cause] += 1
        if row.reason:
            account.reasons[row.reason] += 1
        account.refused_free += row.was_free
        account.sent_back += row.sent_back
        account.waited += row.waited_ms > NEGLIGIBLE_WAIT_MS
        account.waited_free += row.waited_free_ms > NEGLIGIBLE_WAIT_MS
        account.waited_near += row.near_ms > NEGLIGIBLE_WAIT_MS
        account.waited_free_ms += row.waited_free_ms
        account.for_nothing += row.is_for_nothing
        if row.fate in (Fate.IN_TIME, Fate.LATE):
            account.stages.append(row.stages)
    return account


def group_rows(rows: list[Row], by: By) -> dict[str, list[Row]]:
    """Group rows by a property, the largest group first.

    Customers and routes beyond the ten largest share one group.
    """
    groups: dict[str, list[Row]] = collections.defaultdict(list)
    find_name = _GROUP_NAMES[by]
    for row in rows:
        groups[find_name(row)].append(row)
    ordered = sorted(groups.items(), key=lambda item: (-len(item[1]), item[0]))
    if by not in (By.CUSTOMER, By.ROUTE) or len(ordered) <= MAX_GROUPS:
        return dict(ordered)
    rest = [row for _, found in ordered[MAX_GROUPS:] for row in found]
    return {**dict(ordered[:MAX_GROUPS]), REMAINING_GROUPS: rest}


_GROUP_NAMES: dict[By, Callable[[Row], str]] = {
    By.ROUTE: lambda row: f"{row.call.facts.service} {row.call.facts.route}",
    By.RANK: lambda row: f"rank {row.call.facts.rank}",
    By.CUSTOMER: lambda row: row.call.facts.customer or "unnamed",
    By.SERVICE: lambda row: row.call.facts.service,
    By.DATA_CENTRE: lambda row: row.place or "unknown",
}


__all__ = ["Account", "By", "Fate", "Row", "aggregate_rows", "find_fate", "group_rows", "list_rows"]
