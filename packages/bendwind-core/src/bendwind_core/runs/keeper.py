"""Keep what a node knows of the runs beside it, and have the voters record what it learns.

A node's process has no disk. What it has acknowledged holds in its next run only if the control log
holds it, so an acknowledgement that must outlive the process waits for the log, and a process that
has just started registers no upstream before it has learned what the log holds.
"""

import msgspec
from msgspec.structs import replace

from bendwind_core.core import Record, Seconds
from bendwind_core.runs.messages import (
    QueryRuns,
    ReportRuns,
    RunsAnswer,
    RunsRecorded,
    find_first_number,
)
from bendwind_core.runs.record import (
    RunRecord,
    find_record_fault,
    is_newer,
    is_overtaken,
    name_departed_run,
)
from bendwind_core.runs.table import MAX_RUNS_PER_INSTANCE, RETENTION_MS
from bendwind_core.world import UpstreamState

# A voter answers within a round trip to the leader and a write to disk. After this time the next
# voter is sent the same, which is harmless.
ANSWER_TIMEOUT: Seconds = 0.3
# Three reports fit into the time for which the log keeps a run.
_RENEWAL_INTERVAL: Seconds = RETENTION_MS / 1000 / 3


class KeeperSend(msgspec.Struct, frozen=True):
    """Send a message to the voter at a position in the list of voters, modulo its length."""

    position: int
    message: Record


class RunKeeper(msgspec.Struct):
    """Hold the runs that a node knows of; `known` includes what is not yet recorded.

    `is_loaded` says that the log's records are included. `unrecorded` maps the names whose newest
    record the log is not known to hold to the number of the report that is under way, 0 if none is.
    `refused` holds the names whose last report no entry of the log can hold, the oldest first, and
    `forgotten` the records that the log may still hold although this process has forgotten them.
    """

    instance: str
    is_loaded: bool = False
    known: dict[str, RunRecord] = msgspec.field(default_factory=dict)
    unrecorded: dict[str, int] = msgspec.field(default_factory=dict)
    refused: dict[str, None] = msgspec.field(default_factory=dict)
    forgotten: dict[str, RunRecord] = msgspec.field(default_factory=dict)
    number: int = 0
    query: int = 0
    position: int = 0
    sent_at: Seconds | None = None
    renewed_at: Seconds = 0.0


def create_run_keeper(instance: str, incarnation: int, *, is_loaded: bool) -> RunKeeper:
    """Create the keeper of a process that has just started.

    One that is loaded from the start takes what this process learns for all there is to know.
    """
    return RunKeeper(instance, is_loaded, number=find_first_number(incarnation))


def report_run(
    keeper: RunKeeper,
    name: str,
    state: UpstreamState,
    service: str = "",
    born_ms: int = 0,
    sequence: int = 0,
    *,
    is_unnamed: bool = False,
) -> None:
    """Note a state that an upstream announced; it is reported if it changes what is known.

    A state that no entry of the log can hold changes nothing.
    """
    keeper.refused.pop(name, None)
    held = keeper.known.get(name)
    stated = RunRecord(keeper.instance, name, service, born_ms, sequence, state, is_unnamed)
    stated = _number_above_forgotten(keeper, stated)
    if held is not None:
        stated = name_departed_run(stated, held)
        if _says_same(stated, held) or not is_newer(stated, held):
            return
    if find_record_fault(stated) is not None:
        _refuse(keeper, name)
        return
    keeper.known.pop(name, None)
    if len(keeper.known) >= MAX_RUNS_PER_INSTANCE:
        _forget_oldest(keeper)
    keeper.known[name] = stated
    keeper.unrecorded[name] = 0


def _number_above_forgotten(keeper: RunKeeper, stated: RunRecord) -> RunRecord:
    """Return a draining with a number that the log does not take for an earlier one."""
    forgotten = keeper.forgotten.get(stated.name)
    if forgotten is None or stated.state is not UpstreamState.DRAINING:
        return stated
    is_same_run = forgotten.born_ms == stated.born_ms
    number = max(stated.sequence, forgotten.sequence) if is_same_run else stated.sequence
    return replace(stated, sequence=number)


def _refuse(keeper: RunKeeper, name: str) -> None:
    keeper.refused[name] = None
    _drop_oldest(keeper.refused)


def _drop_oldest(by_name: dict[str, object]) -> None:
    if len(by_name) > MAX_RUNS_PER_INSTANCE:
        del by_name[next(iter(by_name))]


def _says_same(stated: RunRecord, held: RunRecord) -> bool:
    return (stated.born_ms, stated.state, stated.service, stated.is_unnamed) == (
        held.born_ms,
        held.state,
        held.service,
        held.is_unnamed,
    )


def _forget_oldest(keeper: RunKeeper) -> None:
    recorded = (name for name in keeper.known if name not in keeper.unrecorded)
    oldest = next(recorded, next(iter(keeper.known)))
    del keeper.known[oldest]
    keeper.unrecorded.pop(oldest, None)


def forget_run(keeper: RunKeeper, name: str) -> None:
    """Forget a run that fell silent; what it was told as draining or gone still holds."""
    held = keeper.known.get(name)
    if held is not None and held.state is UpstreamState.READY:
        del keeper.known[name]
        keeper.unrecorded.pop(name, None)
        earlier = keeper.forgotten.pop(name, held)
        keeper.forgotten[name] = held if is_newer(held, earlier) else earlier
        _drop_oldest(keeper.forgotten)


def is_late(keeper: RunKeeper, name: str, born_ms: int, sequence: int) -> bool:
    """Return whether an announcement is older than what is known of its upstream."""
    held = keeper.known.get(name)
    return held is not None and is_overtaken(held, born_ms, sequence)


def has_left(keeper: RunKeeper, name: str) -> bool:
    """Return whether the newest known run of an upstream has left."""
    held = keeper.known.get(name)
    return held is not None and held.state is UpstreamState.GONE


def is_heard(keeper: RunKeeper, name: str) -> bool:
    """Return whether anything but a departure is known of an upstream."""
    held = keeper.known.get(name)
    return held is not None and bool(held.born_ms or held.service)


def list_unnamed(keeper: RunKeeper) -> tuple[str, ...]:
    """Return the names of the upstreams whose last departure named no run."""
    return tuple(name for name, record in keeper.known.items() if record.is_unnamed)


def is_recorded(keeper: RunKeeper, name: str) -> bool:
    """Return whether the log holds all that is known of an upstream."""
    return name not in keeper.unrecorded


def is_refused(keeper: RunKeeper, name: str) -> bool:
    """Return whether no entry of the log can hold what was last reported of an upstream."""
    return name in keeper.refused


def list_ready(keeper: RunKeeper) -> tuple[RunRecord, ...]:
    """Return the runs that are known to serve; none before the log's records are known."""
    if not keeper.is_loaded:
        return ()
    return tuple(
        record
        for record in keeper.known.values()
        if record.state is UpstreamState.READY and record.service
    )


def has_work(keeper: RunKeeper) -> bool:
    """Return whether something is to be queried or recorded."""
    return not keeper.is_loaded or bool(keeper.unrecorded)


def find_next_due(keeper: RunKeeper, now: Seconds) -> Seconds:
    """Return when `send_due` has something to do next."""
    if not has_work(keeper):
        return keeper.renewed_at + _RENEWAL_INTERVAL
    is_query_unsent = not keeper.is_loaded and not keeper.query
    is_report_unsent = any(number == 0 for number in keeper.unrecorded.values())
    if is_query_unsent or is_report_unsent or keeper.sent_at is None:
        return now
    return keeper.sent_at + ANSWER_TIMEOUT


def send_due(keeper: RunKeeper, now: Seconds) -> list[KeeperSend]:
    """Return what is to be sent now; what was not answered in time goes to the next voter."""
    if now >= keeper.renewed_at + _RENEWAL_INTERVAL:
        keeper.renewed_at = now
        _renew(keeper)
    if not has_work(keeper):
        return []
    is_overdue = keeper.sent_at is not None and now >= keeper.sent_at + ANSWER_TIMEOUT
    if is_overdue:
        keeper.position += 1
        keeper.query = 0
        keeper.unrecorded = dict.fromkeys(keeper.unrecorded, 0)
    return _send_new(keeper, now)


def _renew(keeper: RunKeeper) -> None:
    present = (name for name, run in keeper.known.items() if run.state is not UpstreamState.GONE)
    for name in present:
        keeper.unrecorded.setdefault(name, 0)


def _send_new(keeper: RunKeeper, now: Seconds) -> list[KeeperSend]:
    sends: list[KeeperSend] = []
    if not keeper.is_loaded and not keeper.query:
        keeper.number += 1
        keeper.query = keeper.number
        sends.append(KeeperSend(keeper.position, QueryRuns(keeper.query)))
    unsent = [name for name, number in keeper.unrecorded.items() if number == 0]
    if unsent:
        keeper.number += 1
        keeper.unrecorded |= dict.fromkeys(unsent, keeper.number)
        records = tuple(keeper.known[name] for name in unsent)
        sends.append(KeeperSend(keeper.position, ReportRuns(keeper.number, records)))
    if sends:
        keeper.sent_at = now
    return sends


def handle_recorded(keeper: RunKeeper, recorded: RunsRecorded) -> None:
    """Note that the log holds what a report said, but for what no entry of it can hold."""
    refused = set(recorded.refused)
    for name, number in tuple(keeper.unrecorded.items()):
        if number == recorded.number:
            del keeper.unrecorded[name]
            if name in refused:
                keeper.known.pop(name, None)
                _refuse(keeper, name)


def handle_runs(keeper: RunKeeper, answer: RunsAnswer) -> None:
    """Include what the log held when the query was sent."""
    if keeper.is_loaded or answer.number != keeper.query:
        return
    keeper.is_loaded = True
    for record in answer.records:
        held = keeper.known.get(record.name)
        stated = None if held is None else name_departed_run(held, record)
        if stated is None or not is_newer(stated, record):
            keeper.known[record.name] = record
            keeper.unrecorded.pop(record.name, None)
        else:
            keeper.known[record.name] = stated
