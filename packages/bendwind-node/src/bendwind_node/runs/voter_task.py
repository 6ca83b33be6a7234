"""Record in the control log what nodes report of runs, and answer nodes that have just started.

Reports that arrive while others are being recorded wait and share the next command, so the number
of commands is bounded by the time that one takes, not by the number of nodes.
"""

from collections.abc import Callable, Collection

import msgspec
import trio

from bendwind_core.core import Record, Seconds
from bendwind_core.plans import RecordedPart, divide_records
from bendwind_core.runs import (
    ForwardedRecorded,
    ForwardRuns,
    QueryRuns,
    ReportRuns,
    RunRecord,
    RunsAnswer,
    RunsRecorded,
    find_first_number,
    list_runs,
)
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.guarded_tasks import record_task_failure
from bendwind_node.operators import ControlClient

Send = Callable[[str, Record], object]

# Of a name, in an event.
MAX_NAME_CHARACTERS = 64
# Records of one command, some hundred bytes each: far below the limit of a command.
MAX_BATCH = 2_000
# Reports that wait; a node sends one that was dropped again after its timeout.
MAX_WAITING = 20_000
# The leader answers within a write to disk and a round trip; nodes turn to another voter by then.
FORWARD_TIMEOUT: Seconds = 0.5


class _Report(msgspec.Struct, frozen=True):
    """Hold records to keep, and what to send to whom once they are kept."""

    records: tuple[RunRecord, ...]
    sender: str
    confirmation: Record


class VoterRunTask:
    """Record runs for the nodes that are attached to a voter, or for other voters as the leader."""

    __slots__ = (
        "_forwarded",
        "_has_queries",
        "_has_reports",
        "_number",
        "_queries",
        "_reports",
        "client",
        "name",
        "read_wall_ms",
        "recorder",
        "send",
    )

    def __init__(
        self,
        name: str,
        incarnation: int,
        client: ControlClient,
        send: Send,
        read_wall_ms: Callable[[], int],
        recorder: Recorder,
    ):
        self.name = name
        self.client = client
        self.send = send
        self.read_wall_ms = read_wall_ms
        self.recorder = recorder
        self._reports: list[_Report] = []
        self._has_reports = trio.Event()
        self._queries: list[tuple[str, int]] = []
        self._has_queries = trio.Event()
        self._number = find_first_number(incarnation)
        self._forwarded = trio.Event()

    async def run(self) -> None:
        """Record and answer until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._record_reports)
            nursery.start_soon(self._answer_queries)

    def receive(self, sender: str, message: Record) -> None:
        """Handle a message of a node or of another voter."""
        match message:
            case ReportRuns(number=number, records=records):
                # A node may report for its own instance only.
                own = tuple(record for record in records if record.instance == sender)
                self._add_report(_Report(own, sender, RunsRecorded(number)))
            case ForwardRuns(number=number, records=records) if self._is_leader():
                self._add_report(_Report(records, sender, ForwardedRecorded(number)))
            case ForwardedRecorded(number=number) if number == self._number:
                self._forwarded.set()
            case QueryRuns(number=number) if len(self._queries) < MAX_WAITING:
                self._queries.append((sender, number))
                self._has_queries.set()

    def _add_report(self, report: _Report) -> None:
        if len(self._reports) < MAX_WAITING:
            self._reports.append(report)
            self._has_reports.set()

    def _is_leader(self) -> bool:
        return self.client.leader() == self.name

    async def _record_reports(self) -> None:
        while True:
            await self._has_reports.wait()
            await self._record_batch(self._take_batch())

    async def _record_batch(self, batch: list[_Report]) -> None:
        """Record reports together; if that meets a fault, record each alone."""
        try:
            await self._record_together(batch)
        except Exception as error:
            record_task_failure(self.recorder, error, "record runs")
            # One that is left unconfirmed is sent again by its node.
            for report in batch if len(batch) > 1 else ():
                await self._record_batch([report])

    async def _record_together(self, batch: list[_Report]) -> None:
        records = tuple(record for report in batch for record in report.records)
        divided = divide_records(records, self.read_wall_ms())
        self._report_refused(divided.refused)
        for part in divided.parts:
            if not await self._record(part):
                return
        for report in batch:
            self._confirm(report, divided.refused)

    def _report_refused(self, refused: dict[RunRecord, str]) -> None:
        for record, fault in refused.items():
            names = f"{record.instance[:MAX_NAME_CHARACTERS]} {record.name[:MAX_NAME_CHARACTERS]}"
            detail = f"report of a run, {ascii(names)}: {fault}"
            self.recorder.record(EventKind.COMMAND_REFUSED, detail=detail)

    def _confirm(self, report: _Report, refused: Collection[RunRecord]) -> None:
        """Confirm a report to its sender, which keeps no record that was refused."""
        confirmation = report.confirmation
        if isinstance(confirmation, RunsRecorded):
            names = tuple(record.name for record in report.records if record in refused)
            confirmation = msgspec.structs.replace(confirmation, refused=names)
        self.send(report.sender, confirmation)

    def _take_batch(self) -> list[_Report]:
        batch: list[_Report] = []
        room = MAX_BATCH
        while self._reports and (not batch or len(self._reports[0].records) <= room):
            batch.append(self._reports.pop(0))
            room -= len(batch[-1].records)
        if not self._reports:
            self._has_reports = trio.Event()
        return batch

    async def _record(self, part: RecordedPart) -> bool:
        if self._is_leader():
            return (await self.client.propose(part.command)).is_ok()
        leader = self.client.leader()
        if leader is None:
            return False
        self._number += 1
        self._forwarded = trio.Event()
        self.send(leader, ForwardRuns(self._number, part.records))
        with trio.move_on_after(FORWARD_TIMEOUT):
            await self._forwarded.wait()
            return True
        return False

    async def _answer_queries(self) -> None:
        while True:
            await self._has_queries.wait()
            queries = self._queries
            self._queries = []
            self._has_queries = trio.Event()
            # One round confirms the state for all nodes that have asked before it began.
            if (await self.client.barrier()).is_error():
                continue
            for node, number in queries:
                self.send(node, RunsAnswer(number, list_runs(self.client.state.runs, node)))
