"""Emulate callers: when they come, how long they wait, and what they do when they are refused."""

import itertools
import random
from typing import TYPE_CHECKING

import msgspec

from bendwind_bench.emulator.entry_side import Answered, Lost, Outcome, Refused
from bendwind_bench.emulator.scenario import RouteTable
from bendwind_bench.emulator.tally import Fate
from bendwind_core.attempts import owner_events as ov
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.world import Repeat

if TYPE_CHECKING:
    from bendwind_bench.emulator.world import Node, World

_FAILED_STATUS = 500
# Customers that turn hot are among so many of the largest.
LARGE = 10
# A caller does as Retry-After says if that leaves it two thirds of its time.
PATIENCE = 1 / 3


class Request(msgspec.Struct, eq=False):
    """Hold one request of a caller over all of its tries."""

    route: RouteTable
    node: str
    began_at: Seconds
    tries_left: int
    is_at_once: bool
    target: bytes
    is_counted: bool = True
    customer: str = ""

    @property
    def deadline_at(self) -> Seconds:
        """Return when the caller gives up."""
        return self.began_at + self.route.timeout_ms / MILLISECONDS_PER_SECOND

    @property
    def target_at(self) -> Seconds:
        """Return until when an answer is in time."""
        return self.began_at + self.route.target_ms / MILLISECONDS_PER_SECOND


class Callers:
    """Send the requests of a scenario at its rates."""

    __slots__ = ("asked", "customers", "hot", "names", "rate_factors", "rng", "until", "world")

    def __init__(self, world: "World", rng: random.Random):
        self.world = world
        self.rng = rng
        self.names = tuple(world.nodes)
        self.rate_factors: dict[str, float] = {}
        callers = world.scenario.callers
        self.customers = {
            f"customer-{place}": place**-callers.skew for place in range(1, callers.customers + 1)
        }
        self.hot: dict[str, float] = {}
        self.asked = itertools.count()
        self.until: Seconds = 0.0

    def start(self) -> None:
        """Begin to send."""
        self.until = self.world.agenda.now + self.world.scenario.seconds
        for route in self.world.scenario.routes:
            if route.per_second > 0.0:
                self._plan_next(route)

    def _plan_next(self, route: RouteTable) -> None:
        gap = self.rng.expovariate(route.per_second * self._find_rate_factor(route))
        if self.world.agenda.now + gap < self.until:
            self.world.agenda.after(gap, lambda: self._arrive(route))

    def set_rate(self, route: str, factor: float) -> None:
        """Have the callers of a route, of all if it is empty, come at so many times the usual."""
        self.rate_factors[route] = factor

    def set_customers(self, names: tuple[str, ...], factor: float) -> None:
        """Have customers send so many times their usual."""
        self.hot |= dict.fromkeys(names, factor)
        self.world.tally.hot.update(names)

    def pick_large(self, count: int) -> tuple[str, ...]:
        """Pick some of the largest customers."""
        large = list(self.customers)[:LARGE]
        return tuple(self.rng.sample(large, min(count, len(large))))

    def _find_rate_factor(self, route: RouteTable) -> float:
        factor = self.rate_factors.get("", 1.0) * self.rate_factors.get(route.name, 1.0)
        if not self.hot:
            return factor
        usual = sum(self.customers.values())
        return factor * sum(self._list_weights()) / usual

    def _list_weights(self) -> list[float]:
        return [weight * self.hot.get(name, 1.0) for name, weight in self.customers.items()]

    def _pick_customer(self) -> str:
        if not self.customers:
            return ""
        return self.rng.choices(list(self.customers), self._list_weights())[0]

    def _arrive(self, route: RouteTable) -> None:
        callers = self.world.scenario.callers
        request = Request(
            route,
            self.rng.choice(self.names),
            self.world.agenda.now,
            callers.retries,
            self.rng.random() < callers.at_once,
            self._find_target(route),
            customer=self._pick_customer(),
        )
        self._try(request)
        self._plan_next(route)

    def _find_target(self, route: RouteTable) -> bytes:
        number = self.rng.randrange(route.targets) if route.targets else next(self.asked)
        return f"/{route.name}/{number}".encode()

    def send_crashing(self, route: RouteTable, target: bytes) -> None:
        """Send a request that ends upstreams to any node; what becomes of it is not counted."""
        node = self.rng.choice(self.names)
        retries = self.world.scenario.callers.retries
        now = self.world.agenda.now
        self._try(Request(route, node, now, retries, True, target, is_counted=False))

    def _try(self, request: Request) -> None:
        node = self.world.nodes[request.node]
        if not node.is_up:
            # A port with nothing behind it: the caller turns to another instance.
            up = [name for name, other in self.world.nodes.items() if other.is_up]
            if not up:
                self._hear(request, Refused(MILLISECONDS_PER_SECOND))
                return
            request.node = self.rng.choice(up)
            node = self.world.nodes[request.node]
        node.entry.begin(
            request.route,
            request.deadline_at,
            request.target_at,
            lambda outcome: self._hear(request, outcome),
            request.target,
            request.customer,
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
        route = request.route
        self.world.tally.note(route.name, request.began_at, fate, route.priority, request.customer)

    def call_from_upstream(self, node: "Node", name: str, deadline_at: Seconds, done) -> None:
        """Carry a call that an upstream makes at its own node."""
        if not node.is_up:
            done(False)
            return
        route = self.world.scenario.find_route(name)
        now = self.world.agenda.now

        def hear(outcome: Outcome) -> None:
            if isinstance(outcome, Refused):
                node.owner.feed(ov.CallRefused())
            done(isinstance(outcome, Answered) and outcome.status < _FAILED_STATUS)

        node.entry.begin(
            route,
            min(deadline_at, now + route.timeout_ms / MILLISECONDS_PER_SECOND),
            now + route.target_ms / MILLISECONDS_PER_SECOND,
            hear,
            self._find_target(route),
        )
