"""Run requests in a bounded number of slots, at a speed that the benchmark can change."""

import math
import os
import random
from dataclasses import dataclass, field

import trio

from bendwind_bench.limit_count import LimitCount
from bendwind_bench.upstream.arrivals import Arrival, ArrivalFile, DrainNotice, SlotWait, read_clock
from bendwind_bench.upstream.settings import Change, UpstreamSettings
from bendwind_core.core import MILLISECONDS_PER_SECOND


@dataclass(slots=True, eq=False)
class Job:
    """Track one request from its arrival to its answer."""

    attempt: str
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    is_cancelled: bool = False
    ends_at: float = 0.0

    def cancel(self) -> None:
        """Cancel the request."""
        self.is_cancelled = True
        self.scope.cancel()


@dataclass(slots=True)
class Counters:
    """Count what happened to the requests of a stand-in."""

    runs: int = 0
    shed: int = 0
    failed: int = 0
    cancelled: int = 0
    loads: int = 0
    most_in_flight: int = 0
    most_waiting: int = 0
    most_connections: int = 0
    limit_worst: float = 0.0
    while_leaving: int = 0


class Executor:
    """Manage the slots of a stand-in, its jobs and its current behaviour."""

    def __init__(self, settings: UpstreamSettings):
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.limiter = trio.CapacityLimiter(settings.slots)
        self.counters = Counters()
        self.jobs: dict[str, Job] = {}
        self.serving: set[Job] = set()
        self.factor = 1.0
        self.fail_share = 0.0
        self.shed_share = 0.0
        self.surplus_share = 0.0
        self.reported_in_flight = -1
        self.healthy = True
        self.draining = False
        self.is_leaving = False
        self.is_drain_acknowledged: bool | None = None
        self.node = settings.node
        self.limit = LimitCount()
        self.started_at = trio.current_time()
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.runs_file = os.open(settings.runs_file, flags) if settings.runs_file else None
        self.arrivals = ArrivalFile(settings.arrivals_file)

    def record_arrival(self, request: str, send: str) -> None:
        """Record a request, count it against the rate limit and, when leaving, as unwanted."""
        settings = self.settings
        at_s = read_clock()
        self.arrivals.append(Arrival(at_s, settings.name, settings.service, request, send))
        self.limit.record_arrival(trio.current_time())
        self.counters.limit_worst = self.limit.fullest_window_share
        self.counters.while_leaving += self.is_leaving

    def record_drain_notice(self, *, is_draining: bool) -> None:
        """Record whether the node of the stand-in has to keep from it what is new."""
        if is_draining is not self.is_drain_acknowledged:
            self.is_drain_acknowledged = is_draining
            notice = DrainNotice(read_clock(), self.settings.name, is_draining)
            self.arrivals.append(notice)

    def should_shed(self) -> bool:
        """Return whether a request that arrives now is refused without being run."""
        statistics = self.limiter.statistics()
        is_full = statistics.tasks_waiting >= self.settings.queue
        if statistics.borrowed_tokens >= statistics.total_tokens:
            waiting = statistics.tasks_waiting + 1
            self.counters.most_waiting = max(self.counters.most_waiting, waiting)
        return is_full or self.rng.random() < self.shed_share

    async def acquire_slot(self, job: Job) -> None:
        """Wait for a slot; record the wait if there was one, also one that is given up."""
        began_at = trio.current_time()
        is_full = self.limiter.available_tokens <= 0
        try:
            await self.limiter.acquire_on_behalf_of(job)
        finally:
            if is_full:
                waited_s = trio.current_time() - began_at
                self.arrivals.append(SlotWait(read_clock(), self.settings.name, waited_s))

    def should_fail(self) -> bool:
        """Return whether a request that arrives now fails immediately."""
        return self.rng.random() < self.fail_share

    def should_add_surplus(self) -> bool:
        """Return whether another answer follows the one that is sent now."""
        return self.surplus_share > 0.0 and self.rng.random() < self.surplus_share

    def record_run(self, request: str, send: str) -> None:
        """Record that a request is run; the written line survives the end of the process."""
        self.counters.runs += 1
        if self.runs_file is not None:
            os.write(self.runs_file, f"{request} {send}\n".encode())

    def draw_service_time(self) -> float:
        """Draw a random service time in seconds, at normal speed."""
        sigma = self.settings.spread
        mean = self.settings.service_ms / MILLISECONDS_PER_SECOND
        service_time = self.rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma)
        age_ms = (trio.current_time() - self.started_at) * MILLISECONDS_PER_SECOND
        return (
            service_time * self.settings.cold_factor
            if age_ms < self.settings.cold_ms
            else service_time
        )

    async def run_job(self, job: Job, wait_closed) -> bool:
        """Occupy the slot for a drawn service time; return whether the job was not cancelled."""
        end = trio.current_time() + self.draw_service_time() * self.factor
        job.ends_at = job.scope.deadline = end
        self.serving.add(job)
        self.counters.most_in_flight = max(self.counters.most_in_flight, len(self.serving))
        try:
            with job.scope:
                await wait_closed()
                job.is_cancelled = True
        finally:
            self.serving.discard(job)
        return not job.is_cancelled

    def apply(self, change: Change) -> None:
        """Apply a change of behaviour."""
        if change.factor is not None:
            self._set_factor(change.factor)
        if change.fail_share is not None:
            self.fail_share = change.fail_share
        if change.shed_share is not None:
            self.shed_share = change.shed_share
        if change.noisy_slots is not None:
            self.limiter.total_tokens = max(1, self.settings.slots - change.noisy_slots)
        if change.reported_in_flight is not None:
            self.reported_in_flight = change.reported_in_flight
        if change.healthy is not None:
            self.healthy = change.healthy
        if change.draining is not None:
            self.draining = change.draining

        if change.rate_limit is not None:
            limit = None if change.rate_limit < 0 else change.rate_limit
            self.limit.set_limit(limit, trio.current_time())
        if change.leaving is not None:
            self.is_leaving = change.leaving
        if change.surplus_share is not None:
            self.surplus_share = change.surplus_share
        if change.node is not None:
            self.node = change.node

    def _set_factor(self, factor: float) -> None:
        now = trio.current_time()
        for job in self.serving:
            job.ends_at = now + (job.ends_at - now) * factor / self.factor
            job.scope.deadline = job.ends_at
        self.factor = factor
