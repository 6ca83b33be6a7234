"""Emulate callers: request times, timeouts and retries after refusals and failures."""

import itertools
import random

import msgspec

from bendwind_bench.emulator.demand import NOBODY, Demand, Sender
from bendwind_bench.emulator.entry_side import Answered, Lost, Outcome, Refused
from bendwind_bench.emulator.interfaces import Instance, Site
from bendwind_bench.emulator.quota import Quotas
from bendwind_bench.emulator.tables import RouteTable
from bendwind_bench.emulator.tally import Fate
from bendwind_core.attempts import owner_events as ov
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.world import Repeat

_FAILED_STATUS = 500
# A caller follows Retry-After if two thirds of its remaining time are left after the wait.
PATIENCE = 1 / 3


class Request(msgspec.Struct, eq=False):
    """Hold one request of a caller, including all its retries."""

    route: RouteTable
    node: str
    began_at: Seconds
    tries_left: int
    is_at_once: bool
    target: bytes
    sender: Sender = NOBODY
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

    __slots__ = ("asked", "demand", "names", "quotas", "rng", "until", "world")

    def __init__(self, world: Site, demand: Demand, rng: random.Random):
        self.world = world
        self.demand = demand
        self.rng = rng
        self.quotas = Quotas(world.scenario.customers)
        self.names = tuple(world.nodes)
        self.asked = itertools.count()
        self.until: Seconds = 0.0

    def start(self) -> None:
        """Start to send requests."""
        self.until = self.world.agenda.now + self.world.scenario.seconds
        for route in self.world.scenario.routes:
            if route.per_second > 0.0:
                self._plan_next(route)

    def _plan_next(self, route: RouteTable) -> None:
        gap = self.rng.expovariate(self.demand.find_rate(route, self.world.agenda.now))
        if self.world.agenda.now + gap < self.until:
            self.world.agenda.after(gap, lambda: self._arrive(route))

    def _arrive(self, route: RouteTable) -> None:
        callers = self.world.scenario.callers
        request = Request(
            route,
            self.demand.pick_node(self.world.agenda.now),
            self.world.agenda.now,
            callers.retries,
            self.rng.random() < callers.at_once,
            self._find_target(route),
            self.demand.pick_sender(route),
        )
        self._try(request)
        self._plan_next(route)

    def _find_target(self, route: RouteTable) -> bytes:
        number = self.rng.randrange(route.targets) if route.targets else next(self.asked)
        return f"/{route.name}/{number}".encode()

    def send_crashing(self, route: RouteTable, target: bytes) -> None:
        """Send a request that crashes upstreams to a random node; its outcome is not counted."""
        node = self.rng.choice(self.names)
        retries = self.world.scenario.callers.retries
        now = self.world.agenda.now
        self._try(Request(route, node, now, retries, True, target, is_counted=False))

    def _try(self, request: Request) -> None:
        node = self.world.nodes[request.node]
        if not node.is_up:
            # Nothing listens on the port: the caller connects to another instance.
            up = [name for name, other in self.world.nodes.items() if other.is_up]
            if not up:
                self._hear(request, Refused(MILLISECONDS_PER_SECOND))
                return
            request.node = self.rng.choice(up)
            node = self.world.nodes[request.node]
        wait_ms = self.quotas.take(request.sender.customer, self.world.agenda.now)
        if wait_ms is not None:
            self._hear(request, Refused(wait_ms))
            return
        self.world.tally.calls += 1
        node.entry.begin(
            request.route,
            request.deadline_at,
            request.target_at,
            lambda outcome: self._hear(request, outcome),
            request.target,
            request.sender.customer,
            request.sender.rank,
        )

    def _hear(self, request: Request, outcome: Outcome) -> None:
        now = self.world.agenda.now
        match outcome:
            case Answered(status=status) if status < _FAILED_STATUS:
                is_in_time = now <= request.target_at
                is_late = now <= request.deadline_at
                fate = Fate.IN_TIME if is_in_time else Fate.LATE if is_late else Fate.FAILED
                self._end(request, fate)
            case Refused(retry_after_ms=retry_after_ms):
                wait = retry_after_ms / MILLISECONDS_PER_SECOND
                self._come_back(request, 0.0 if request.is_at_once else wait, Fate.REFUSED)
            case Answered() | Lost():
                is_idempotent = request.route.repeat is Repeat.IDEMPOTENT
                if is_idempotent:
                    self._come_back(request, 0.0, Fate.FAILED)
                else:
                    self._end(request, Fate.FAILED)

    def _come_back(self, request: Request, wait: Seconds, fate: Fate) -> None:
        left = request.deadline_at - self.world.agenda.now
        if request.tries_left <= 0 or wait > PATIENCE * left:
            self._end(request, fate)
            return
        request.tries_left -= 1
        self.world.agenda.after(wait, lambda: self._try(request))

    def _end(self, request: Request, fate: Fate) -> None:
        if not request.is_counted:
            return
        sender = request.sender
        rank = request.route.priority if sender.rank is None else sender.rank
        self.world.tally.note(request.route, request.began_at, fate, rank, sender.customer)

    def call_from_upstream(self, node: Instance, name: str, deadline_at: Seconds, done) -> None:
        """Start a call that an upstream makes through its own node."""
        if not node.is_up:
            done(False)
            return
        route = self.world.scenario.find_route(name)
        now = self.world.agenda.now

        def hear(outcome: Outcome) -> None:
            if isinstance(outcome, Refused):
                self.world.tally.inner_refused += 1
                node.owner.feed(ov.UpstreamCallRefused())
            done(isinstance(outcome, Answered) and outcome.status < _FAILED_STATUS)

        self.world.tally.calls += 1
        self.world.tally.inner_calls += 1
        node.entry.begin(
            route,
            min(deadline_at, now + route.timeout_ms / MILLISECONDS_PER_SECOND),
            now + route.target_ms / MILLISECONDS_PER_SECOND,
            hear,
            self._find_target(route),
        )
