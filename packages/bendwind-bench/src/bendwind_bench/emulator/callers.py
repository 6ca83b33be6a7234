"""Emulate callers: request times, timeouts and retries after refusals and failures."""

import itertools
import random

import msgspec

from bendwind_bench.emulator.demand import NO_SENDER, Demand, Sender
from bendwind_bench.emulator.entry_side import Answered, Outcome, Refused, ResultUnknown
from bendwind_bench.emulator.interfaces import Deployment, EmulatedNode
from bendwind_bench.emulator.quota import Quotas
from bendwind_bench.emulator.tables import RouteTable
from bendwind_bench.emulator.tally import Fate
from bendwind_core.attempts import owner_events as ov
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.world import Repeat

_FAILED_STATUS = 500
# A caller follows Retry-After if two thirds of its remaining time are left after the wait.
MAX_WAIT_SHARE = 1 / 3


class Request(msgspec.Struct, eq=False):
    """Hold one request of a caller, including all its retries."""

    route: RouteTable
    node: str
    began_at: Seconds
    retries_left: int
    retries_at_once: bool
    target: bytes
    sender: Sender = NO_SENDER
    is_counted: bool = True

    @property
    def deadline_at(self) -> Seconds:
        """Return the time at which the caller gives up."""
        return self.began_at + self.route.timeout_ms / MILLISECONDS_PER_SECOND

    @property
    def target_at(self) -> Seconds:
        """Return the time until which an answer is in time."""
        return self.began_at + self.route.target_ms / MILLISECONDS_PER_SECOND


class Callers:
    """Send the requests of a scenario at its rates."""

    __slots__ = ("request_numbers", "demand", "node_names", "quotas", "rng", "ends_at", "world")

    def __init__(self, world: Deployment, demand: Demand, rng: random.Random):
        self.world = world
        self.demand = demand
        self.rng = rng
        self.quotas = Quotas(world.scenario.customers)
        self.node_names = tuple(world.nodes)
        self.request_numbers = itertools.count()
        self.ends_at: Seconds = 0.0

    def start(self) -> None:
        """Start to send requests."""
        self.ends_at = self.world.scheduler.now + self.world.scenario.seconds
        for route in self.world.scenario.routes:
            if route.per_second > 0.0:
                self._schedule_next(route)

    def _schedule_next(self, route: RouteTable) -> None:
        interval = self.rng.expovariate(self.demand.find_rate(route, self.world.scheduler.now))
        if self.world.scheduler.now + interval < self.ends_at:
            self.world.scheduler.call_later(interval, lambda: self._handle_arrival(route))

    def _handle_arrival(self, route: RouteTable) -> None:
        callers = self.world.scenario.callers
        request = Request(
            route,
            self.demand.choose_node(self.world.scheduler.now),
            self.world.scheduler.now,
            callers.retries,
            self.rng.random() < callers.at_once,
            self._find_target(route),
            self.demand.choose_sender(route),
        )
        self._send(request)
        self._schedule_next(route)

    def _find_target(self, route: RouteTable) -> bytes:
        number = self.rng.randrange(route.targets) if route.targets else next(self.request_numbers)
        return f"/{route.name}/{number}".encode()

    def send_crashing_request(self, route: RouteTable, target: bytes) -> None:
        """Send a request that crashes upstreams to a random node; its outcome is not counted."""
        node = self.rng.choice(self.node_names)
        retries = self.world.scenario.callers.retries
        now = self.world.scheduler.now
        self._send(Request(route, node, now, retries, True, target, is_counted=False))

    def _send(self, request: Request) -> None:
        node = self.world.nodes[request.node]
        if not node.is_up:
            # Nothing listens on the port: the caller connects to another instance.
            up = [name for name, other in self.world.nodes.items() if other.is_up]
            if not up:
                self._handle_outcome(request, Refused(MILLISECONDS_PER_SECOND))
                return
            request.node = self.rng.choice(up)
            node = self.world.nodes[request.node]
        wait_ms = self.quotas.consume_token(request.sender.customer, self.world.scheduler.now)
        if wait_ms is not None:
            self._handle_outcome(request, Refused(wait_ms))
            return
        self.world.tally.calls += 1
        node.entry.start_call(
            request.route,
            request.deadline_at,
            request.target_at,
            lambda outcome: self._handle_outcome(request, outcome),
            request.target,
            request.sender.customer,
            request.sender.rank,
        )

    def _handle_outcome(self, request: Request, outcome: Outcome) -> None:
        now = self.world.scheduler.now
        match outcome:
            case Answered(status=status) if status < _FAILED_STATUS:
                is_in_time = now <= request.target_at
                is_late = now <= request.deadline_at
                fate = Fate.IN_TIME if is_in_time else Fate.LATE if is_late else Fate.FAILED
                self._record_fate(request, fate)
            case Refused(retry_after_ms=retry_after_ms):
                wait = retry_after_ms / MILLISECONDS_PER_SECOND
                self._retry(request, 0.0 if request.retries_at_once else wait, Fate.REFUSED)
            case Answered() | ResultUnknown():
                is_idempotent = request.route.repeat is Repeat.IDEMPOTENT
                if is_idempotent:
                    self._retry(request, 0.0, Fate.FAILED)
                else:
                    self._record_fate(request, Fate.FAILED)

    def _retry(self, request: Request, wait: Seconds, fate: Fate) -> None:
        time_left = request.deadline_at - self.world.scheduler.now
        if request.retries_left <= 0 or wait > MAX_WAIT_SHARE * time_left:
            self._record_fate(request, fate)
            return
        request.retries_left -= 1
        self.world.scheduler.call_later(wait, lambda: self._send(request))

    def _record_fate(self, request: Request, fate: Fate) -> None:
        if not request.is_counted:
            return
        sender = request.sender
        rank = request.route.priority if sender.rank is None else sender.rank
        self.world.tally.record_outcome(
            request.route, request.began_at, fate, rank, sender.customer
        )

    def start_inner_call(
        self, node: EmulatedNode, name: str, deadline_at: Seconds, on_done
    ) -> None:
        """Start a call that an upstream makes through its own node."""
        if not node.is_up:
            on_done(False)
            return
        route = self.world.scenario.find_route(name)
        now = self.world.scheduler.now

        def handle_outcome(outcome: Outcome) -> None:
            if isinstance(outcome, Refused):
                self.world.tally.inner_calls_refused += 1
                node.owner.apply_event(ov.UpstreamCallRefused())
            on_done(isinstance(outcome, Answered) and outcome.status < _FAILED_STATUS)

        self.world.tally.calls += 1
        self.world.tally.inner_calls += 1
        node.entry.start_call(
            route,
            min(deadline_at, now + route.timeout_ms / MILLISECONDS_PER_SECOND),
            now + route.target_ms / MILLISECONDS_PER_SECOND,
            handle_outcome,
            self._find_target(route),
        )
