"""Keep the newest run of each upstream in the state that the control log determines."""

import msgspec

from bendwind_core.core import Milliseconds, Record
from bendwind_core.runs.record import RunRecord, is_newer, name_departed_run
from bendwind_core.world import UpstreamState

# Reports of a run that has left may be seconds late, and its health answers may be false until it
# ends, which takes seconds to minutes.
GONE_RETENTION_MS: Milliseconds = 600_000
# A node reports the runs beside it again in a third of this time. Those of an instance that is gone
# are dropped after it.
RETENTION_MS: Milliseconds = 21_600_000
# Several times the upstreams that an instance holds, so that a faulty one fills only its own share.
MAX_RUNS_PER_INSTANCE = 64

_Key = tuple[str, str]


class KeptRun(Record, frozen=True, array_like=True):
    """Hold a record and when it was reported last.

    Units: `reported_ms` is the leader's wall clock in milliseconds since 1970.
    """

    record: RunRecord
    reported_ms: int


class RunTable(msgspec.Struct):
    """Hold the runs of all instances; equal logs give equal tables.

    `present` and `gone` list the kept runs in the order of their reports, the oldest first.
    Units: `clock_ms` is the latest time that a command has named; it never goes back.
    """

    by_instance: dict[str, dict[str, KeptRun]] = msgspec.field(default_factory=dict)
    present: dict[_Key, None] = msgspec.field(default_factory=dict)
    gone: dict[_Key, None] = msgspec.field(default_factory=dict)
    clock_ms: int = 0


def put_runs(table: RunTable, records: tuple[RunRecord, ...], now_ms: int) -> None:
    """Apply the reports of a command, and drop what is kept for long enough."""
    table.clock_ms = max(table.clock_ms, now_ms)
    for record in records:
        _put_run(table, record)
    _drop_older(table, table.gone, table.clock_ms - GONE_RETENTION_MS)
    _drop_older(table, table.present, table.clock_ms - RETENTION_MS)


def list_runs(table: RunTable, instance: str) -> tuple[RunRecord, ...]:
    """Return the kept runs of an instance."""
    return tuple(kept.record for kept in table.by_instance.get(instance, {}).values())


def _put_run(table: RunTable, record: RunRecord) -> None:
    runs = table.by_instance.setdefault(record.instance, {})
    kept = runs.get(record.name)
    if kept is not None:
        record = name_departed_run(record, kept.record)
        if not is_newer(record, kept.record):
            if kept.record.state is UpstreamState.GONE:
                # Repeated reports do not prolong how long it is kept.
                return
            record = kept.record
    _remove(table, record.instance, record.name)
    runs = table.by_instance.setdefault(record.instance, {})
    if len(runs) >= MAX_RUNS_PER_INSTANCE:
        _remove_oldest(table, record.instance)
        runs = table.by_instance.setdefault(record.instance, {})
    _insert(table, KeptRun(record, table.clock_ms))


def _insert(table: RunTable, kept: KeptRun) -> None:
    record = kept.record
    table.by_instance.setdefault(record.instance, {})[record.name] = kept
    _find_order(table, kept)[record.instance, record.name] = None


def _find_order(table: RunTable, kept: KeptRun) -> dict[_Key, None]:
    return table.gone if kept.record.state is UpstreamState.GONE else table.present


def _remove(table: RunTable, instance: str, name: str) -> None:
    runs = table.by_instance.get(instance, {})
    kept = runs.pop(name, None)
    if kept is not None:
        del _find_order(table, kept)[instance, name]
    if not runs:
        table.by_instance.pop(instance, None)


def _remove_oldest(table: RunTable, instance: str) -> None:
    """Remove the run of an instance that was reported first; one that is gone stays longest."""
    runs = table.by_instance[instance]

    def find_age(name: str) -> tuple[bool, int]:
        kept = runs[name]
        return kept.record.state is UpstreamState.GONE, kept.reported_ms

    _remove(table, instance, min(runs, key=find_age))


def _drop_older(table: RunTable, order: dict[_Key, None], limit_ms: int) -> None:
    while order:
        instance, name = next(iter(order))
        if table.by_instance[instance][name].reported_ms >= limit_ms:
            return
        _remove(table, instance, name)


def list_kept(table: RunTable) -> tuple[KeptRun, ...]:
    """Return all kept runs for a snapshot, in the order of their reports."""
    keys = (*table.present, *table.gone)
    return tuple(table.by_instance[instance][name] for instance, name in keys)


def create_run_table(kept: tuple[KeptRun, ...], clock_ms: int) -> RunTable:
    """Create the table of a snapshot."""
    table = RunTable(clock_ms=clock_ms)
    for run in kept:
        _insert(table, run)
    return table
