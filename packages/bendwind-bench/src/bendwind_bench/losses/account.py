"""Give account of every call: what came of it, what it waited for and what ran for nothing."""

import collections
import enum
from collections.abc import Callable, Iterable

import msgspec

from bendwind_bench.losses.causes import Cause, find_cause, is_refused
from bendwind_bench.losses.free import FreeTimes, find_free_times, find_wait
from bendwind_bench.losses.read import Logs, list_owner_lines
from bendwind_bench.losses.runs import FailedRun, is_inner, list_failed_runs
from bendwind_bench.losses.stages import Stages, find_stages
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds
from bendwind_core.timeline import LogLine

# Asking another upstream takes a few round trips; clocks agree to about half of this.
SHORT_MS: Milliseconds = 20.0
# Clocks of instances agree to about this.
MOMENT_MS: Milliseconds = 10.0
# Customers that have a row of their own.
TOP = 10
REST = "the rest"
_SERVER_ERROR = 500


class Fate(enum.StrEnum):
    """Say what a call came to."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    GONE = "caller gone"


class By(enum.StrEnum):
    """Name what calls may be told apart by."""

    ROUTE = "route"
    RANK = "rank"
    CUSTOMER = "customer"
    SERVICE = "service"
    DATA_CENTRE = "data-centre"


class Row(msgspec.Struct, frozen=True):
    """Hold the account of one call.

    `second` counts from the first call on, `ages_ms` are those of the reports of pace that its
    owners went by. `waited_ms` is what its attempts waited at owners, `waited_free_ms` how much of
    that while an upstream of the service was free, `near_ms` while one was in the data centre of
    its entry node. `reason` is that of a refusal, and `was_free` says that an upstream of the
    service was free when it came.
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
        """Tell whether it ran and ended with an error since a call it made was refused."""
        return self.failed_run is not None and self.failed_run.is_refused


def list_rows(logs: Logs) -> list[Row]:
    """Give account of all calls with a latency objective, and of those refused without one."""
    calls = [call for call in logs.calls if call.facts.target_ms is not None or is_refused(call)]
    first_ms = min((_find_start(call) for call in calls), default=0.0)
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
    waits = [find_wait(line) for line in lines]
    return Row(
        int((_find_start(call) - first_ms) / MILLISECONDS_PER_SECOND),
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
    """Tell whether one was free for most of the last moment before the refusal."""
    ended_ms = call.physical_ms
    return free.measure(call.facts.service, ended_ms - MOMENT_MS, ended_ms) > MOMENT_MS / 2


def _find_start(call: LogLine) -> float:
    return call.physical_ms - call.facts.ms


def find_fate(call: LogLine) -> Fate:
    """Return what a call came to."""
    facts = call.facts
    if call.detail == "answered":
        if facts.status >= _SERVER_ERROR:
            return Fate.FAILED
        is_in_time = facts.target_ms is None or facts.ms <= facts.target_ms
        return Fate.IN_TIME if is_in_time else Fate.LATE
    if is_refused(call):
        return Fate.REFUSED
    return Fate.GONE if call.detail == "caller gone" else Fate.FAILED


class Account(msgspec.Struct):
    """Hold what calls together came to."""

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
        """Return a number as a share of the calls."""
        return number / max(1, self.calls)

    @property
    def served(self) -> int:
        """Count the calls that were answered at all."""
        return self.fates[Fate.IN_TIME] + self.fates[Fate.LATE]


def sum_up(rows: Iterable[Row]) -> Account:
    """Add calls up."""
    account = Account()
    for row in rows:
        account.calls += 1
        account.fates[row.fate] += 1
        account.causes[row.cause] += 1
        if row.reason:
            account.reasons[row.reason] += 1
        account.refused_free += row.was_free
        account.sent_back += row.sent_back
        account.waited += row.waited_ms > SHORT_MS
        account.waited_free += row.waited_free_ms > SHORT_MS
        account.waited_near += row.near_ms > SHORT_MS
        account.waited_free_ms += row.waited_free_ms
        account.for_nothing += row.is_for_nothing
        if row.fate in (Fate.IN_TIME, Fate.LATE):
            account.stages.append(row.stages)
    return account


def group(rows: list[Row], by: By) -> dict[str, list[Row]]:
    """Tell calls apart, those of most calls first; of customers, the ten largest and the rest."""
    groups: dict[str, list[Row]] = collections.defaultdict(list)
    find_name = _NAMES[by]
    for row in rows:
        groups[find_name(row)].append(row)
    ordered = sorted(groups.items(), key=lambda item: (-len(item[1]), item[0]))
    if by not in (By.CUSTOMER, By.ROUTE) or len(ordered) <= TOP:
        return dict(ordered)
    rest = [row for _, found in ordered[TOP:] for row in found]
    return {**dict(ordered[:TOP]), REST: rest}


_NAMES: dict[By, Callable[[Row], str]] = {
    By.ROUTE: lambda row: f"{row.call.facts.service} {row.call.facts.route}",
    By.RANK: lambda row: f"rank {row.call.facts.rank}",
    By.CUSTOMER: lambda row: row.call.facts.customer or "unnamed",
    By.SERVICE: lambda row: row.call.facts.service,
    By.DATA_CENTRE: lambda row: row.place or "unknown",
}


__all__ = ["Account", "By", "Fate", "Row", "find_fate", "group", "list_rows", "sum_up"]
