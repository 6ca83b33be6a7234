"""Simulate registries and views with a faulty network and clocks that differ."""

import dataclasses
import heapq
import itertools
import random

from msgspec.structs import replace

from bendwind_core.core import Record
from bendwind_core.membership import (
    ConfigurationAccepted,
    ConfigurationAnswer,
    ConfigurationChanged,
    HeartbeatReply,
    LeaseTimes,
    LinkLost,
    MessageReceived,
    NodeView,
    PeerVersionReceived,
    QuorumConfirmed,
    SendTo,
    Tick,
    UpstreamAnnounced,
    VoterPlace,
    VoterRegistry,
    create_node_view,
    create_voter_registry,
    step_registry,
    step_view,
)
from bendwind_core.membership.settings import CLOCK_RATE_BOUND
from bendwind_core.world import (
    Configuration,
    Customer,
    Instance,
    Route,
    Routing,
    Service,
    Upstream,
    UpstreamState,
)

TICK = 0.05
CALM_DELAY = 0.02
BARRIER = 0.25
BARRIER_DURATION = 0.1
TIMES = LeaseTimes()
VOTERS = ("v0", "v1", "v2")
SERVICES = ("catastro", "emisor")
PLACES = tuple(VoterPlace(voter, f"dc{index}") for index, voter in enumerate(VOTERS))


@dataclasses.dataclass(slots=True)
class Clock:
    offset: float
    rate: float

    def read(self, now: float) -> float:
        return self.offset + self.rate * now


@dataclasses.dataclass(slots=True)
class Voter:
    clock: Clock
    registry: VoterRegistry
    applied: int = 0
    barrier: tuple[float, int] | None = None


@dataclasses.dataclass(slots=True)
class Node:
    clock: Clock
    view: NodeView
    highest: int = 0


@dataclasses.dataclass(slots=True)
class NodeDeath:
    name: str
    incarnation: int
    at: float


def remove_content_digest(message: Record) -> Record:
    """Return a message as a voter of a former release sends it."""
    match message:
        case ConfigurationAnswer(change=ConfigurationChanged() as change):
            return replace(message, content=None, change=replace(change, content=None))
        case ConfigurationAnswer() | ConfigurationChanged() | HeartbeatReply():
            return replace(message, content=None)
    return message


class World:
    """Hold the true time, all processes, the messages in flight and the true history."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.order = itertools.count()
        self.in_flight: list[tuple] = []
        self.cut: set[frozenset[str]] = set()
        self.loss = 0.0
        self.repeat = 0.0
        self.longest_delay = CALM_DELAY
        self.disturbed_at = self.now
        self.accepted = [(0.0, Configuration(0))]
        self.incarnation = 0
        self.former_voters: frozenset[str] = frozenset()
        self.truth: dict[str, dict[str, Upstream]] = {}
        self.deaths: list[NodeDeath] = []
        self.voters = {name: self.start_voter(name) for name in VOTERS}
        self.nodes: dict[str, Node] = {}

    def make_clock(self) -> Clock:
        drift = CLOCK_RATE_BOUND / 2
        return Clock(self.rng.uniform(0, 1e6), 1 + self.rng.uniform(-drift, drift))

    def start_voter(self, name: str) -> Voter:
        self.disturbed_at = self.now
        clock = self.make_clock()
        return Voter(clock, create_voter_registry(name, PLACES, TIMES, clock.read(self.now)))

    def start_node(self, name: str, data_centre: str) -> None:
        self.disturbed_at = self.now
        self.kill_node(name)
        self.incarnation += 1
        instance = Instance(name, data_centre, "127.0.0.1", 1, self.incarnation)
        clock = self.make_clock()
        view = create_node_view(
            instance, PLACES, TIMES, clock.read(self.now), self.rng, SERVICES[:1]
        )
        self.nodes[name] = Node(clock, view)
        self.truth[name] = {}

    def kill_node(self, name: str) -> None:
        node = self.nodes.pop(name, None)
        if node:
            self.truth.pop(name)
            self.deaths.append(NodeDeath(name, node.view.instance.incarnation, self.now))

    def announce(self, name: str, service: str, state: UpstreamState) -> None:
        instance = self.nodes[name].view.instance
        upstream = Upstream(f"{name}-{service}", service, instance, 4, 10, state)
        self.step(name, UpstreamAnnounced(upstream))
        self.truth[name].pop(upstream.name, None)
        if state is not UpstreamState.GONE:
            self.truth[name][upstream.name] = upstream

    def accept(
        self,
        services: tuple[Service, ...],
        evacuated: tuple[str, ...] | None = None,
        customers: tuple[Customer, ...] | None = None,
        routes: tuple[Route, ...] | None = None,
    ) -> bool:
        """Accept a configuration if a majority of voters is connected, as the log would."""
        majority = [voter for voter in VOTERS if self.has_quorum(voter)]
        if not majority:
            return False
        version = self.accepted[-1][1].version + self.rng.randint(1, 3)
        held = self.accepted[-1][1]
        after = held.evacuated if evacuated is None else evacuated
        routing = held.routing if routes is None else Routing(version, routes)
        configuration = Configuration(version, services, routing, after, customers)
        self.accepted.append((self.now, configuration))
        self.apply(self.rng.choice(majority), len(self.accepted) - 1)
        return True

    def apply(self, name: str, position: int) -> None:
        voter = self.voters[name]
        if position > voter.applied:
            voter.applied = position
            self.step(name, ConfigurationAccepted(self.accepted[position][1]))

    def is_cut(self, one: str, other: str) -> bool:
        return frozenset((one, other)) in self.cut

    def has_quorum(self, name: str) -> bool:
        others = [other for other in self.voters if not self.is_cut(name, other)]
        reached = len({name, *others}) if name in self.voters else 0
        return 2 * reached > len(VOTERS)

    def lose_link(self, one: str, other: str) -> None:
        """Break a link so that both ends detect it, and drop its messages in flight."""
        self.disturbed_at = self.now
        pair = {one, other}
        self.in_flight = [entry for entry in self.in_flight if set(entry[2:4]) != pair]
        heapq.heapify(self.in_flight)
        for name, peer in ((one, other), (other, one)):
            if name in self.nodes:
                self.step(name, LinkLost(peer))

    def step(self, name: str, event) -> None:
        process = self.nodes.get(name) or self.voters.get(name)
        if process is None:
            return
        local = process.clock.read(self.now)
        if isinstance(process, Node):
            effects = step_view(process.view, event, local, self.rng)
        else:
            effects = step_registry(process.registry, event, local, self.rng)
        for effect in effects:
            if isinstance(effect, SendTo):
                self.send(name, effect)

    def send(self, name: str, effect: SendTo) -> None:
        message = effect.message
        if name in self.former_voters:
            message = remove_content_digest(message)
        copies = 1 + (self.rng.random() < self.repeat)
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                due = self.now + self.rng.uniform(0.0005, self.longest_delay)
                entry = (due, next(self.order), name, effect.to, message)
                heapq.heappush(self.in_flight, entry)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            if self.cut or self.loss or self.repeat or self.longest_delay > CALM_DELAY:
                self.disturbed_at = self.now
            self._deliver()
            for name in self.voters:
                self._run_barrier(name)
                self.step(name, Tick())
            for name in list(self.nodes):
                self.step(name, Tick())
            self._deliver()

    def _deliver(self) -> None:
        while self.in_flight and self.in_flight[0][0] <= self.now:
            _, _, sender, to, message = heapq.heappop(self.in_flight)
            if not self.is_cut(sender, to):
                self.step(to, MessageReceived(sender, message))

    def _run_barrier(self, name: str) -> None:
        voter = self.voters[name]
        if not self.has_quorum(name):
            voter.barrier = None
            return
        if voter.barrier is None:
            voter.barrier = (self.now, len(self.accepted) - 1)
            return
        started, position = voter.barrier
        if self.now - started >= BARRIER_DURATION:
            self.apply(name, position)
            self.step(name, QuorumConfirmed(voter.clock.read(started)))
            voter.barrier = None

    def exchange_hello(self, one: str, other: str) -> None:
        """Deliver the Hello of one node to another, as sent when a call opens a link."""
        view = self.nodes[other].view
        age = view.confirmed_age_ms(self.nodes[other].clock.read(self.now))
        self.step(one, PeerVersionReceived(other, view.version, age))

    def is_fresh(self, name: str) -> bool:
        node = self.nodes[name]
        return node.view.is_fresh(node.clock.read(self.now))

    def newest_before(self, moment: float) -> int:
        return max(config.version for at, config in self.accepted if at <= moment)

    def heal(self) -> None:
        self.cut.clear()
        self.loss = self.repeat = 0.0
        self.longest_delay = CALM_DELAY
