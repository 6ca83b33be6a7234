"""Model an upstream: slots, a knee, slow phases, a cold start, and what it bears."""

import collections
import math
import random
from collections.abc import Callable

import msgspec

from bendwind_bench.emulator.agenda import Agenda
from bendwind_bench.emulator.scenario import RouteTable, ServiceTable
from bendwind_bench.limit_count import LimitCount
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds

# An upstream that fell over starts again after this time; a guess for a supervised process.
RESTART: Seconds = 1.0
# A request that ends its upstream does so early in its run, and a supervisor has the upstream back
# after some seconds: 30 to 90 ms, and 1.3 to 4.9 s, in the logs of an incident.
CRASH_AFTER: Seconds = 0.05
CRASH_RESTART: Seconds = 1.5
# What an upstream that leaves is sent this long after it first said so comes too late.
DRAIN: Seconds = 2.0
OK = 200
SHED = 503
FAILED = 500
_WINDOW: Seconds = 1.0

Reply = Callable[[int | None], None]
Call = Callable[["UpstreamModel", str, Seconds, Callable[[bool], None]], None]


class Run(msgspec.Struct, eq=False):
    """Hold one request at an upstream; `reply` takes its status, None for a lost connection."""

    route: RouteTable
    reply: Reply
    deadline_at: Seconds
    calls_left: list[str]
    target: bytes = b""
    is_cancelled: bool = False


class CrashCount(msgspec.Struct):
    """Hold when a request that ends upstreams reached one, and when one ended under it."""

    arrived: list[Seconds] = msgspec.field(default_factory=list)
    ended: list[Seconds] = msgspec.field(default_factory=list)


class UpstreamModel:
    """Answer requests as the scenario states."""

    __slots__ = (
        "after_leaving",
        "agenda",
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
        "most_running",
        "name",
        "on_restart",
        "queue",
        "rng",
        "running",
        "served",
        "shed_share",
        "slow_factor",
        "slow_until",
        "table",
    )

    def __init__(
        self, name: str, table: ServiceTable, data_centre: str, agenda: Agenda, rng: random.Random
    ):
        self.name = name
        self.table = table
        self.data_centre = data_centre
        self.agenda = agenda
        self.rng = rng
        self.call: Call = lambda upstream, route, deadline_at, done: done(True)
        self.on_restart: Callable[[], None] = lambda: None
        self.crashes: dict[bytes, CrashCount] = {}
        self.running: list[Run] = []
        self.queue: collections.deque[Run] = collections.deque()
        self.arrivals: collections.deque[Seconds] = collections.deque()
        self.cold_until: Seconds = -math.inf
        self.slow_until: Seconds = -math.inf
        self.slow_factor = 1.0
        self.shed_share = 0.0
        self.is_down = False
        self.leaves_at: Seconds = math.inf
        self.after_leaving = 0
        self.limit = LimitCount()
        self.generation = 0
        self.fell_over = 0
        self.most_running = 0
        self.served = 0
        if table.phases is not None:
            self._plan_phase()

    @property
    def is_leaving(self) -> bool:
        """Tell whether the upstream says in its answers that it leaves."""
        return self.agenda.now >= self.leaves_at

    @property
    def is_cold(self) -> bool:
        """Tell whether the upstream started a short while ago."""
        return self.agenda.now < self.cold_until

    @property
    def warm_up_left_ms(self) -> Milliseconds:
        """Return how much longer the upstream is cold."""
        return max(0.0, self.cold_until - self.agenda.now) * MILLISECONDS_PER_SECOND

    def find_factor(self) -> float:
        """Return how many times the usual work takes that begins now."""
        factor = self.slow_factor if self.agenda.now < self.slow_until else 1.0
        if self.is_cold and self.table.warm_up is not None:
            factor *= self.table.warm_up.factor
        return factor

    def _plan_phase(self) -> None:
        phases = self.table.phases
        self.agenda.after(self.rng.expovariate(1 / phases.every_s), self._begin_phase)

    def _begin_phase(self) -> None:
        phases = self.table.phases
        self.slow(phases.factor, phases.length_s)
        self.agenda.after(phases.length_s, self._plan_phase)

    def slow(self, factor: float, length: Seconds) -> None:
        """Make work that begins within a time slower."""
        self.slow_factor = factor
        self.slow_until = max(self.slow_until, self.agenda.now + length)

    def receive(
        self, route: RouteTable, deadline_at: Seconds, reply: Reply, target: bytes = b""
    ) -> Run | None:
        """Take a request; None, with the reply made, where it is not taken."""
        self._note_arrival()
        self.limit.record_arrival(self.agenda.now)
        self.after_leaving += self.agenda.now > self.leaves_at + DRAIN
        if target in self.crashes:
            self.crashes[target].arrived.append(self.agenda.now)
        if self.is_down:
            reply(None)
            return None
        run = Run(route, reply, deadline_at, self._list_calls(route), target)
        is_shed = self.shed_share > 0.0 and self.rng.random() < self.shed_share
        if is_shed or len(self.queue) >= self.table.queue + self.table.slots:
            reply(SHED)
            return None
        if len(self.running) < self.table.slots:
            self._start(run)
        else:
            self.queue.append(run)
        return run

    def _list_calls(self, route: RouteTable) -> list[str]:
        if route.calling < 1.0 and self.rng.random() >= route.calling:
            return []
        return list(route.calls)

    def _note_arrival(self) -> None:
        warm_up = self.table.warm_up
        if warm_up is None or not self.is_cold:
            return
        now = self.agenda.now
        self.arrivals.append(now)
        while self.arrivals[0] < now - _WINDOW:
            self.arrivals.popleft()
        borne = warm_up.per_second * warm_up.overage + warm_up.slack
        if warm_up.falls_over and len(self.arrivals) > borne:
            self.fell_over += 1
            self.crash(RESTART)

    def _start(self, run: Run) -> None:
        self.running.append(run)
        self.most_running = max(self.most_running, len(self.running))
        work_s = run.route.work_ms / MILLISECONDS_PER_SECOND
        scatter = self.table.scatter
        work_s *= self.rng.lognormvariate(-scatter * scatter / 2, scatter) * self.find_factor()
        if len(self.running) > self.table.knee * self.table.slots:
            work_s *= self.table.knee_factor
        generation = self.generation
        if run.target in self.crashes:
            self.agenda.after(CRASH_AFTER, lambda: self._end_under(run, generation))
            return
        self.agenda.after(work_s, lambda: self._go_on(run, generation))

    def _end_under(self, run: Run, generation: int) -> None:
        if generation == self.generation and run in self.running:
            self.crashes[run.target].ended.append(self.agenda.now)
            self.crash(CRASH_RESTART)

    def _go_on(self, run: Run, generation: int) -> None:
        if generation != self.generation or run not in self.running:
            return
        if run.is_cancelled or not run.calls_left:
            self._end(run, OK)
            return
        route = run.calls_left.pop(0)
        self.call(
            self, route, run.deadline_at, lambda is_well: self._hear(run, generation, is_well)
        )

    def _hear(self, run: Run, generation: int, is_well: bool) -> None:
        if is_well:
            self._go_on(run, generation)
        elif generation == self.generation and run in self.running:
            self._end(run, FAILED)

    def _end(self, run: Run, status: int) -> None:
        self.running.remove(run)
        if not run.is_cancelled:
            self.served += 1
            run.reply(status)
        while self.queue and len(self.running) < self.table.slots:
            self._start(self.queue.popleft())

    def cancel(self, run: Run) -> None:
        """Drop a request whose connection was closed."""
        run.is_cancelled = True
        if run in self.queue:
            self.queue.remove(run)
        elif run in self.running:
            self._end(run, FAILED)

    def crash(self, down_s: Seconds) -> None:
        """End; the connections are lost, and a cold start follows after a time."""
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
        self.agenda.after(down_s, lambda: self._restart(generation))

    def _restart(self, generation: int) -> None:
        if generation != self.generation:
            return
        self.is_down = False
        self.turn_cold()
        self.on_restart()

    def turn_cold(self) -> None:
        """Begin a warm-up."""
        if self.table.warm_up is not None:
            self.cold_until = self.agenda.now + self.table.warm_up.seconds
