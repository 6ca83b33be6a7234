"""Run one soak: real processes, callers, operators and the faults of a schedule."""

import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import trio

from bendwind_bench.deployment import (
    Action,
    Deployment,
    Fault,
    Layout,
    Member,
    inject_fault,
    run_deployment,
)
from bendwind_bench.http import HttpBrokenError
from bendwind_bench.load import read_runs
from bendwind_bench.operators import (
    IntentRefusedError,
    apply_intent,
    post_to_leader,
    read_version_in_force,
)
from bendwind_bench.soak.caller import StickyCaller
from bendwind_bench.soak.content import SeenContent, see_content
from bendwind_bench.soak.event_logs import has_differed, has_failed_start, read_applied
from bendwind_bench.soak.ports import reserve_ports
from bendwind_bench.soak.record import (
    DisturbedLink,
    Ended,
    Injected,
    PlannedStop,
    SeenVersion,
    SoakRecord,
    create_record,
)
from bendwind_bench.soak.recovery import (
    CLAIM_UNAVAILABLE,
    accept_claim_loss,
    wait_until_served,
)
from bendwind_bench.soak.schedule import (
    ClockStep,
    DiskFault,
    LinkFault,
    RacingChange,
    SoakSchedule,
    make_schedule,
)
from bendwind_bench.soak.surroundings import Surroundings, list_targets, surround
from bendwind_bench.soak.system import FIRST_WAIT_MS, KINDS, describe_system, make_intent
from bendwind_bench.upstream import (
    MISSING_ID,
    Change,
    DrainNotice,
    SlotWait,
    read_arrivals,
    read_clock,
)
from bendwind_core.core import Milliseconds, Seconds

CALLERS_PER_NODE = 6
# The time in which a change comes into force everywhere.
RECOVERY_S = 10.0
WATCH_INTERVAL_S = 0.3
LAST_READING_S = 60.0
HEALTHY = Change(factor=1.0, fail_share=0.0, shed_share=0.0, draining=False, surplus_share=0.0)


@dataclass(slots=True)
class Soak:
    """Hold a running soak, what surrounds its processes, and its record."""

    deployment: Deployment
    schedule: SoakSchedule
    surroundings: Surroundings
    record: SoakRecord
    report: Callable[[str], None]
    is_service_awaited: bool = True
    start: Seconds = field(default_factory=trio.current_time)
    start_clock: Seconds = field(default_factory=read_clock)

    @property
    def now(self) -> Seconds:
        """Return the time since the start of the load."""
        return trio.current_time() - self.start

    async def run(self) -> None:
        """Send the load and inject everything, then repair all and wait for recovery."""
        end = self.start + self.schedule.seconds
        async with trio.open_nursery() as watching:
            watching.start_soon(self._watch)
            async with trio.open_nursery() as nursery:
                for caller in self._make_callers():
                    nursery.start_soon(caller.run, end)
                for fault in self.schedule.faults:
                    nursery.start_soon(self._inject, fault)
                for fault in self.schedule.link_faults:
                    nursery.start_soon(self._disturb, fault)
                for fault in self.schedule.disk_faults:
                    nursery.start_soon(self._disturb_disk, fault)
                for step in self.schedule.clock_steps:
                    nursery.start_soon(self._step_clock, step)
                for change in self.schedule.changes:
                    nursery.start_soon(self._change, change)
                nursery.start_soon(self._repair_and_recover)
            watching.cancel_scope.cancel()
        await self._wait_acknowledged()
        self._read_files()

    async def _wait_acknowledged(self) -> None:
        """Read versions until all nodes have what was acknowledged, or for a limited time."""
        expected = max(self.record.acknowledged, default=0)
        with trio.move_on_after(LAST_READING_S):
            while True:
                await self._read_versions(LAST_READING_S)
                last = {seen.node: seen.version for seen in self.record.versions}
                if all(last.get(node, -1) >= expected for node in self.deployment.nodes):
                    return
                await trio.sleep(WATCH_INTERVAL_S)

    def _read_files(self) -> None:
        layout = self.deployment.layout
        self.record.runs = read_runs(self.deployment.runs_files)
        files = [Path(member.upstream.arrivals_file) for member in layout.members]
        for record in read_arrivals(files):
            record = msgspec.structs.replace(record, at_s=record.at_s - self.start_clock)
            if isinstance(record, SlotWait):
                self.record.slot_waits.append(record)
            elif isinstance(record, DrainNotice):
                self.record.drain_notices.append(record)
            elif record.request != MISSING_ID:
                self.record.arrivals.append(record)
        for node, process in self.deployment.nodes.items():
            self.record.applied += [(node, run) for run in read_applied(process.log)]
            if has_differed(process.log):
                self.record.differing.append(node)

    def _make_callers(self) -> list[StickyCaller]:
        entries = [member.callers_address for member in self.deployment.layout.members]
        callers = []
        for number in range(CALLERS_PER_NODE * len(entries)):
            rng = random.Random(f"caller {self.schedule.seed} {number}")
            name = f"s{self.schedule.seed}-c{number}"
            callers.append(
                StickyCaller(
                    name, entries, KINDS, rng, self.start, self._record, number % len(entries)
                )
            )
        return callers

    def _record(self, sample, at_s: Seconds) -> None:
        self.record.ended.append(Ended(sample, at_s))

    async def _inject(self, fault: Fault) -> None:
        await trio.sleep_until(self.start + fault.at_s)
        begin_s = self.now
        self.report(f"{begin_s:6.2f} s {fault.label}")
        self.record.injected.append(Injected(begin_s, fault.target, fault.action))
        if fault.action is Action.CHANGE:
            await self._change_upstream(fault.target, fault.change)
            return
        if fault.action is Action.STOP and not self._is_up(fault.target):
            return
        exit_code = await inject_fault(self.deployment, fault)
        if fault.action is not Action.STOP or fault.target not in self.deployment.nodes:
            return
        if not self._is_kept_from_starting(fault.target):
            self.record.stops.append(PlannedStop(fault.target, begin_s, self.now, exit_code))

    def _is_up(self, target: str) -> bool:
        process = self.deployment.find_process(target)
        return process.is_running and not process.is_expected_down

    async def _change_upstream(self, target: str, change: Change) -> None:
        # A stand-in that is down or frozen is not changed.
        with contextlib.suppress(OSError, HttpBrokenError), trio.move_on_after(1.0):
            await self.deployment.change(target, [change])

    async def _disturb(self, fault: LinkFault) -> None:
        await trio.sleep_until(self.start + fault.at_s)
        begin_s = self.now
        self.report(f"{begin_s:6.2f} s link {fault.target}: {fault.kind}")
        proxy = self.surroundings.proxies[fault.target]
        proxy.begin(fault.kind)
        await trio.sleep(fault.seconds)
        proxy.end()
        self.record.links.append(DisturbedLink(begin_s, self.now, fault.target))

    async def _disturb_disk(self, fault: DiskFault) -> None:
        await trio.sleep_until(self.start + fault.at_s)
        self.report(f"{self.now:6.2f} s disk of {fault.target}: {fault.kind}")
        self.surroundings.begin_disk_fault(fault.target, fault.kind)
        await trio.sleep(fault.seconds)
        self.surroundings.end_disk_fault(fault.target, fault.kind)

    async def _step_clock(self, step: ClockStep) -> None:
        await trio.sleep_until(self.start + step.at_s)
        self.report(f"{self.now:6.2f} s clock of {step.target}: off by {step.step_s:.0f} s")
        self.surroundings.step_clock(step)

    async def _change(self, change: RacingChange) -> None:
        await trio.sleep_until(self.start + change.at_s)
        async with trio.open_nursery() as nursery:
            for wait_ms in change.waits_ms:
                nursery.start_soon(self._confirm_intent, wait_ms)

    async def _confirm_intent(self, wait_ms: Milliseconds) -> None:
        with contextlib.suppress(IntentRefusedError):
            answer = await post_to_leader(self.deployment, "/v1/plans", make_intent(wait_ms))
            plan = msgspec.json.decode(answer.body)
            path = f"/v1/plans/{plan['id']}/confirm"
            outcome = msgspec.json.decode((await post_to_leader(self.deployment, path, "")).body)
            if outcome["kind"] == "confirmed":
                self.record.acknowledged.append(outcome["version"])
                self.record.waits_ms[outcome["version"]] = wait_ms
                self.report(f"{self.now:6.2f} s version {outcome['version']} acknowledged")

    async def _watch(self) -> None:
        while True:
            await self._read_versions(WATCH_INTERVAL_S)
            self._find_unexpected_ends()
            await trio.sleep(WATCH_INTERVAL_S)

    async def _read_versions(self, timeout_s: Seconds) -> None:
        async with trio.open_nursery() as nursery:
            for member in self.deployment.layout.members:
                nursery.start_soon(self._read_version, member, timeout_s)

    async def _read_version(self, member: Member, timeout_s: Seconds) -> None:
        process = self.deployment.nodes[member.name]
        if not process.is_running:
            return
        pid = process.popen.pid
        version = -1
        with trio.move_on_after(timeout_s):
            version = await read_version_in_force(member.operators_address)
        if version < 0 or process.popen.pid != pid:
            return
        self.record.versions.append(SeenVersion(self.now, member.name, pid, version))
        if version in self.record.waits_ms:
            await self._see_content(member, version)

    async def _see_content(self, member: Member, version: int) -> None:
        wait_ms = self.record.waits_ms[version]
        is_own = await see_content(
            member.callers_address, member.operators_address, version, wait_ms
        )
        if is_own is not None:
            self.record.contents.append(SeenContent(self.now, member.name, version, is_own))

    def _find_unexpected_ends(self) -> None:
        for name, process in self.deployment.nodes.items():
            is_ended = not process.is_running and not process.is_expected_down
            if is_ended and self._is_kept_from_starting(name):
                process.is_expected_down = True
            elif is_ended and name not in self.record.unexpected_ends:
                self.record.unexpected_ends.append(name)

    def _is_kept_from_starting(self, node: str) -> bool:
        # A voter does not start on a full disk.
        since = trio.current_time() - 2.0 * WATCH_INTERVAL_S
        is_full = self.surroundings.was_disk_full(node, since)
        return is_full and has_failed_start(self.deployment.nodes[node].log)

    async def _repair_and_recover(self) -> None:
        last = [fault.at_s for fault in self.schedule.faults]
        last += [fault.at_s + fault.seconds for fault in self.schedule.link_faults]
        last += [fault.at_s + fault.seconds for fault in self.schedule.disk_faults]
        await trio.sleep_until(self.start + max(last, default=0.0) + WATCH_INTERVAL_S)
        for name in (*self.deployment.nodes, *self.deployment.upstreams):
            await inject_fault(self.deployment, Fault(0.0, Action.THAW, name))
            await inject_fault(self.deployment, Fault(0.0, Action.START, name))
        await self.deployment.wait_ready()
        for name in self.deployment.upstreams:
            await self._change_upstream(name, HEALTHY)
        self.report(f"{self.now:6.2f} s all repaired")
        if self.is_service_awaited:
            await self._wait_served()

    async def _wait_served(self) -> None:
        begin_s = self.now
        unserved = await wait_until_served(self.deployment, KINDS, RECOVERY_S)
        lost = {wait.kind.service for wait in unserved if wait.last == CLAIM_UNAVAILABLE}
        for service in sorted(lost):
            if await accept_claim_loss(self.deployment, service):
                self.report(f"{self.now:6.2f} s lost claims of {service} given up by an operator")
                self.record.lost_claims.append(service)
        if self.record.lost_claims:
            begin_s = self.now
            unserved = await wait_until_served(self.deployment, KINDS, RECOVERY_S)
        self.record.unserved += [wait.describe() for wait in unserved]
        if not unserved:
            self.report(f"{self.now:6.2f} s recovered after {self.now - begin_s:.2f} s")


async def run_soak(
    seed: int,
    nodes: int,
    seconds: Seconds,
    report: Callable[[str], None],
    planned: SoakSchedule | None = None,
    *,
    is_service_awaited: bool = True,
) -> tuple[SoakSchedule, SoakRecord]:
    """Run one seed on `nodes` nodes with as many upstreams; return what was planned and seen.

    What is `planned` is run, by default the schedule of the seed.
    """
    async with trio.open_nursery() as nursery:
        found: list[Surroundings] = []

        async def adapt(layout: Layout) -> Layout:
            layout, surroundings = await surround(layout, nursery)
            found.append(surroundings)
            return layout

        with reserve_ports() as ports:
            async with run_deployment(
                describe_system(nodes), seed=seed, adapt=adapt, ports=ports
            ) as deployment:
                layout = deployment.layout
                report(f"files in {layout.folder}")
                schedule = planned or make_schedule(seed, seconds, list_targets(layout))
                (layout.folder / "schedule.json").write_bytes(msgspec.json.encode(schedule))
                record = create_record(layout.members)
                version = await apply_intent(deployment, make_intent(FIRST_WAIT_MS))
                record.waits_ms[version] = FIRST_WAIT_MS
                await deployment.wait_served(KINDS)
                await Soak(deployment, schedule, found[0], record, report, is_service_awaited).run()
        nursery.cancel_scope.cancel()
    return schedule, record
