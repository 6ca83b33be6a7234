"""Model an upstream: slots, a load knee, slow phases, a cold start and its capacity while cold."""

import collections
import math
import random
from collections.abc import Callable

import msgspec

from bendwind_bench.emulator.scenario import RouteTable, ServiceTable
from bendwind_bench.emulator.scheduler import Scheduler
from bendwind_bench.limit_count import LimitCount
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds

# Time after which a supervisor restarts an upstream that fell over from overload.
RESTART_DELAY: Seconds = 1.0
# A crashing request ends its upstream early in its run, and a supervisor restarts the upstream
# after some seconds: logs of an incident show 30 to 90 ms and 1.3 to 4.9 s.
CRASH_DELAY: Seconds = 0.05
CRASH_RESTART_DELAY: Seconds = 1.5
# Requests that arrive later than this after an upstream first stated its leaving are too late.
LEAVING_GRACE: Seconds = 2.0
OK = 200
SHED = 503
FAILED = 500
_ARRIVAL_WINDOW: Seconds = 1.0

Reply = Callable[[int | None], None]
CallFunction = Callable[["UpstreamModel", str, Seconds, Callable[[bool], None]], None]


class Run(msgspec.Struct, eq=False):
    """Hold one request at an upstream; `reply` receives its status, None for a lost connection."""

    route: RouteTable
    reply: Reply
    deadline_at: Seconds
    calls_left: list[str]
    target: bytes = b""
    is_cancelled: bool = False


class CrashHistory(msgspec.Struct):
    """Hold the times at which a crashing request reached upstreams and at which it ended them."""

    arrived: list[Seconds] = msgspec.field(default_factory=list)
    ended: list[Seconds] = msgspec.field(default_factory=list)


class UpstreamModel:
    """Answer requests as the scenario defines."""

    __slots__ = (
        "arrivals_after_leaving",
        "scheduler",
        "arrivals",
        "call",
        "cold_until",
        "crashes",
        "data_centre",
        "fell_over",
        "generation",
        "is_down",
        "leaves_at",
        "limit",
        "max_running",
        "name",
        "on_restart",
        "queue",
        "reset_share",
        "rng",
        "running",
        "served",
        "shed_share",
        "slow_factor",
        "slow_until",
        "table",
    )

    def __init__(
        self,
        name: str,
        table: ServiceTable,
        data_centre: str,
        scheduler: Scheduler,
        rng: random.Random,
    ):
        self.name = name
        self.table = table
        self.data_centre = data_centre
        self.scheduler = scheduler
        self.rng = rng
        self.call: CallFunction = lambda upstream, route, deadline_at, on_done: on_done(True)
        self.on_restart: Callable[[], None] = lambda: None
        self.crashes: dict[bytes, CrashHistory] = {}
        self.running: list[Run] = []
        self.queue: collections.deque[Run] = collections.deque()
        self.arrivals: collections.deque[Seconds] = collections.deque()
        self.cold_until: Seconds = -math.inf
        self.slow_until: Seconds = -math.inf
        self.slow_factor = 1.0
        self.shed_share = 0.0
        self.reset_share = 0.0
        self.is_down = False
        self.leaves_at: Seconds = math.inf
        self.arrivals_after_leaving = 0
        self.limit = LimitCount()
        self.generation = 0
        self.fell_over = 0
        self.max_running = 0
        self.served = 0
        if table.phases is not None:
            self._schedule_slow_phase()

    @property
    def is_leaving(self) -> bool:
        """Return whether the upstream states in its answers that it leaves."""
        return self.scheduler.now >= self.leaves_at

    @property
    def is_cold(self) -> bool:
        """Return whether the upstream is still warming up."""
        return self.scheduler.now < self.cold_until

    @property
    def warm_up_left_ms(self) -> Milliseconds:
        """Return the remaining warm-up time."""
        return max(0.0, self.cold_until - self.scheduler.now) * MILLISECONDS_PER_SECOND

    def find_factor(self) -> float:
        """Return the factor by which work that begins now takes longer than usual."""
        factor = self.slow_factor if self.scheduler.now < self.slow_until else 1.0
        if self.is_cold and self.table.warm_up is not None:
            factor *= self.table.warm_up.factor
        return factor

    def _schedule_slow_phase(self) -> None:
        phases = self.table.phases
        self.scheduler.call_later(self.rng.expovariate(1 / phases.every_s), self._start_slow_phase)

    def _start_slow_phase(self) -> None:
        phases = self.table.phases
        self.slow_down(phases.factor, phases.length_s)
        self.scheduler.call_later(phases.length_s, self._schedule_slow_phase)

    def slow_down(self, factor: float, length: Seconds) -> None:
        """Slow down work that begins within a time from now."""
        self.slow_factor = factor
        self.slow_until = max(self.slow_until, self.scheduler.now + length)

    def receive(
        self, route: RouteTable, deadline_at: Seconds, reply: Reply, target: bytes = b""
    ) -> Run | None:
        """Accept a request; if it is not accepted, reply to it and return None."""
        self._record_arrival()
        self.limit.record_arrival(self.scheduler.now)
        self.arrivals_after_leaving += self.scheduler.now > self.leaves_at + LEAVING_GRACE
        if target in self.crashes:
            self.crashes[target].arrived.append(self.scheduler.now)
        if self.is_down or self._is_drawn(self.reset_share):
            reply(None)
            return None
        run = Run(route, reply, deadline_at, self._list_calls(route), target)
        if (
            self._is_drawn(self.shed_share)
            or len(self.queue) >= self.table.queue + self.table.slots
        ):
            reply(SHED)
            return None
        if len(self.running) < self.table.slots:
            self._start_run(run)
        else:
            self.queue.append(run)
        return run

    def _is_drawn(self, share: float) -> bool:
        return share > 0.0 and self.rng.random() < share

    def _list_calls(self, route: RouteTable) -> list[str]:
        if route.calling < 1.0 and self.rng.random() >= route.calling:
            return []
        return list(route.calls)

    def _record_arrival(self) -> None:
        warm_up = self.table.warm_up
        if warm_up is None or not self.is_cold:
            return
        now = self.scheduler.now
        self.arrivals.append(now)
        while self.arrivals[0] < now - _ARRIVAL_WINDOW:
            self.arrivals.popleft()
        max_arrivals = warm_up.per_second * warm_up.overage + warm_up.slack
        if warm_up.falls_over and len(self.arrivals) > max_arrivals:
            self.fell_over += 1
            self.crash(RESTART_DELAY)

    def _start_run(self, run: Run) -> None:
        self.running.append(run)
        self.max_running = max(self.max_running, len(self.running))
        work_s = run.route.work_ms / MILLISECONDS_PER_SECOND
        scatter = self.table.scatter
        work_s *= self.rng.lognormvariate(-scatter * scatter / 2, scatter) * self.find_factor()
        if len(self.running) > self.table.knee * self.table.slots:
            work_s *= self.table.knee_factor
        generation = self.generation
        if run.target in self.crashes:
            self.scheduler.call_later(CRASH_DELAY, lambda: self._crash_under(run, generation))
            return
        self.scheduler.call_later(work_s, lambda: self._continue_run(run, generation))

    def _crash_under(self, run: Run, generation: int) -> None:
        if generation == self.generation and run in self.running:
            self.crashes[run.target].ended.append(self.scheduler.now)
            self.crash(CRASH_RESTART_DELAY)

    def _continue_run(self, run: Run, generation: int) -> None:
        if generation != self.generation or run not in self.running:
            return
        if run.is_cancelled or not run.calls_left:
            self._finish_run(run, OK)
            return
        route = run.calls_left.pop(0)
        self.call(
            self,
            route,
            run.deadline_at,
            lambda is_successful: self._handle_call_result(run, generation, is_successful),
        )

    def _handle_call_result(self, run: Run, generation: int, is_successful: bool) -> None:
        if is_successful:
            self._continue_run(run, generation)
        elif generation == self.generation and run in self.running:
            self._finish_run(run, FAILED)

    def _finish_run(self, run: Run, status: int) -> None:
        self.running.remove(run)
        if not run.is_cancelled:
            self.served += 1
            run.reply(status)
        while self.queue and len(self.running) < self.table.slots:
            self._start_run(self.queue.popleft())

    def cancel(self, run: Run) -> None:
        """Cancel a request whose connection was closed."""
        run.is_cancelled = True
        if run in self.queue:
            self.queue.remove(run)
        elif run in self.running:
            self._finish_run(run, FAILED)

    def crash(self, down_s: Seconds) -> None:
        """End the process: all connections are lost, and a cold start follows after `down_s`."""
        lost = [*self.running, *self.queue]
        self.generation += 1
        self.running.clear()
        self.queue.clear()
        self.arrivals.clear()
        self.is_down = True
        for run in lost:
            if not run.is_cancelled:
                run.reply(None)
        generation = self.generation
        self.scheduler.call_later(down_s, lambda: self._restart(generation))

    def _restart(self, generation: int) -> None:
        if generation != self.generation:
            return
        self.is_down = False
        self.start_warm_up()
        self.on_restart()

    def start_warm_up(self) -> None:
        """Start the warm-up."""
        if self.table.warm_up is not None:
            self.cold_until = self.scheduler.now + self.table.warm_up.seconds
