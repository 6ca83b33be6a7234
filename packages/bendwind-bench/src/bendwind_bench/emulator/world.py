"""Put nodes, upstreams, callers and faults together and run a scenario in virtual time."""

import random

from bendwind_bench.emulator.agenda import Agenda
from bendwind_bench.emulator.callers import Callers
from bendwind_bench.emulator.demand import Demand
from bendwind_bench.emulator.faults import plan_faults
from bendwind_bench.emulator.node import Node
from bendwind_bench.emulator.tables import Scenario
from bendwind_bench.emulator.tally import Figures, Tally
from bendwind_bench.emulator.upstream import CrashCount, UpstreamModel
from bendwind_bench.emulator.waiting import WaitWatch
from bendwind_core.attempts import Cancel, Fence, HandOver, NotRunReason
from bendwind_core.attempts import owner_events as ov
from bendwind_core.core import MILLISECONDS_PER_SECOND, Record, Seconds
from bendwind_core.suspicion import (
    SuspectReport,
    SuspectTable,
    create_report,
    merge_and_queue_report,
    pop_unreported,
)
from bendwind_core.world import Upstream, UpstreamState

# Callers' last requests end within their timeouts; nothing new begins after the scenario's time.
AFTERMATH: Seconds = 10.0
# A link that broke is noticed by a reset.
LINK_LOSS: Seconds = 0.02
# A process that was killed is up again after this time; Python and its libraries take half of it.
NODE_RESTART: Seconds = 1.0


class World:
    """Hold a run."""

    __slots__ = (
        "agenda",
        "callers",
        "crashes",
        "evacuated",
        "has_push",
        "nodes",
        "rng",
        "scenario",
        "seed",
        "tally",
        "voters",
        "watch",
    )

    def __init__(self, scenario: Scenario, seed: int):
        self.scenario = scenario
        self.seed = seed
        self.agenda = Agenda()
        self.rng = random.Random(f"{seed} world")
        self.tally = Tally()
        self.evacuated: set[str] = set()
        self.crashes: dict[bytes, CrashCount] = {}
        self.voters = SuspectTable("voters")
        self.has_push = False
        self.nodes: dict[str, Node] = {}
        self._create_nodes()
        rng = random.Random(f"{seed} callers")
        places = {node.name: node.upstream.data_centre for node in self.nodes.values()}
        self.callers = Callers(self, Demand(scenario, places, rng), rng)
        self.watch = WaitWatch(self)

    def _create_nodes(self) -> None:
        position = 0
        for table in self.scenario.services:
            places = table.data_centres or self.scenario.places.data_centres
            for number in range(table.upstreams):
                name = f"{table.name}-{number}"
                rng = random.Random(f"{self.seed} upstream {name}")
                place = places[position % len(places)]
                upstream = UpstreamModel(name, table, place, self.agenda, rng)
                node = Node(f"node-{name}", upstream, self)
                upstream.call = self.call
                upstream.crashes = self.crashes
                upstream.on_restart = node.owner.take_back
                self.nodes[node.name] = node
                position += 1

    def run(self) -> Figures:
        """Run the scenario and return its figures."""
        for node in self.nodes.values():
            node.owner.announce()
        self._push_now()
        self.agenda.run(1.0)
        self.callers.start()
        self.watch.start()
        plan_faults(self)
        self.agenda.run(self.agenda.now + self.scenario.seconds + AFTERMATH)
        services: dict[str, list[str]] = {}
        for node in self.nodes.values():
            services.setdefault(node.upstream.table.name, []).append(node.upstream.name)
        fell_over = sum(node.upstream.fell_over for node in self.nodes.values())
        self.tally.waited_long = self.watch.count_long()
        self.tally.waited_s = self.watch.sum_up()
        for node in self.nodes.values():
            node.upstream.limit.set_limit(None, self.agenda.now)
            self.tally.limits.append(node.upstream.limit)
        return self.tally.summarize(services, fell_over, self.crashes.values())

    def call(self, upstream: UpstreamModel, route: str, deadline_at: Seconds, done) -> None:
        """Carry a call that an upstream makes while it runs a request."""
        self.callers.call_from_upstream(
            self.nodes[f"node-{upstream.name}"], route, deadline_at, done
        )

    def _find_delay(self, one: str, other: str) -> Seconds:
        places = self.scenario.places
        first, second = self.nodes[one].upstream, self.nodes[other].upstream
        if one == other:
            return 0.0
        is_near = first.data_centre == second.data_centre
        delay_ms = places.within_ms if is_near else places.between_ms
        return delay_ms / MILLISECONDS_PER_SECOND

    def send(self, sender: str, to: str, message: Record) -> None:
        """Carry a message of an entry node to an owner node; lost if that is down."""
        delay = self._find_delay(sender, to)
        self.nodes[to].agenda.after(delay, lambda: self._arrive(sender, to, message))

    def _arrive(self, sender: str, to: str, message: Record) -> None:
        node = self.nodes[to]
        if not node.is_up:
            self.agenda.after(LINK_LOSS, lambda: self.nodes[sender].entry.lose(to))
            return
        match message:
            case HandOver():
                node.owner.feed(ov.HandOverArrived(message, self.nodes[sender].incarnation))
            case Cancel(attempt=attempt):
                node.owner.feed(ov.CancelArrived(attempt, self.nodes[sender].incarnation))
            case Fence():
                node.owner.feed(ov.FenceArrived(message, self.nodes[sender].incarnation))

    def carry_back(self, sender: str, to: str, message: Record) -> None:
        """Carry a message of an owner node to an entry node."""
        delay = self._find_delay(sender, to)
        self.nodes[to].agenda.after(delay, lambda: self._arrive_back(to, message))

    def _arrive_back(self, to: str, message: Record) -> None:
        if self.nodes[to].is_up:
            self.nodes[to].entry.hear(message)

    def note_attempt(self, upstream: str) -> None:
        """Count an attempt that was sent."""
        self.tally.attempts[upstream] += 1

    def note_sent_back(self, target: bytes, reason: NotRunReason) -> None:
        """Count an attempt that was sent back unrun."""
        self.tally.sent_back += 1
        if reason is NotRunReason.QUARANTINED and target not in self.crashes:
            self.tally.wronged += 1

    def find_run_rank(self, name: str) -> float | None:
        """Return the most urgent rank of what runs beside a node."""
        return self.nodes[name].owner.find_run_rank()

    def note_retry(self) -> None:
        """Count an attempt that the retry budget paid for."""
        self.tally.retries += 1

    def push(self) -> None:
        """Have all nodes hear soon which upstreams serve."""
        if not self.has_push:
            self.has_push = True
            delay = self.scenario.places.push_ms / MILLISECONDS_PER_SECOND
            self.agenda.after(delay, self._push_now)

    def _push_now(self) -> None:
        self.has_push = False
        serving: dict[str, list[Upstream]] = {table.name: [] for table in self.scenario.services}
        for node in self.nodes.values():
            if node.is_serving:
                serving[node.upstream.table.name].append(node.describe())
        for node in self.nodes.values():
            if node.is_up:
                for service, upstreams in serving.items():
                    node.entry.hear_upstreams(service, tuple(upstreams))

    def tell_voters(self, told: tuple[SuspectReport, ...]) -> None:
        """Carry to the voters what a node knows against requests, and on to all nodes."""
        delay = self.scenario.places.push_ms / MILLISECONDS_PER_SECOND
        self.agenda.after(delay, lambda: self._pass_on(told))

    def _pass_on(self, told: tuple[SuspectReport, ...]) -> None:
        for one in told:
            merge_and_queue_report(self.voters, one, self.agenda.now)
        news = pop_unreported(self.voters, self.agenda.now)
        for node in self.nodes.values():
            if node.is_up:
                node.hear_suspects(news)

    def kill(self, node: Node, restart: Seconds = NODE_RESTART) -> None:
        """Kill the process of a node and start it again."""
        if not node.is_up:
            return
        node.is_up = False
        node.owner.stop()
        node.entry.stop()
        for other in self.nodes.values():
            if other.is_up:
                self.agenda.after(LINK_LOSS, lambda entry=other.entry: entry.lose(node.name))
        self.push()
        self.agenda.after(restart, lambda: self._start(node))

    def _start(self, node: Node) -> None:
        node.start()
        node.upstream.on_restart = node.owner.take_back
        node.owner.announce()
        self._push_now()
        known = self.voters.suspects.values()
        node.hear_suspects(tuple(create_report(suspect, self.agenda.now) for suspect in known))

    def set_evacuated(self, data_centre: str, *, evacuated: bool) -> None:
        """Evacuate a data centre or take it back."""
        (self.evacuated.add if evacuated else self.evacuated.discard)(data_centre)
        self._push_now()
        for node in self.nodes.values():
            if node.upstream.data_centre != data_centre or not node.is_up:
                continue
            if evacuated:
                node.owner.announce(UpstreamState.DRAINING)
                node.owner.feed(ov.QueueWithdrawn())
            else:
                node.upstream.turn_cold()
                node.owner.take_back()


def run_scenario(scenario: Scenario, seed: int) -> Figures:
    """Run a scenario with a seed; the same two give the same figures."""
    return World(scenario, seed).run()
