"""Assemble nodes, upstreams, callers and faults, and run a scenario in virtual time."""

import random

from bendwind_bench.emulator.callers import Callers
from bendwind_bench.emulator.demand import Demand
from bendwind_bench.emulator.faults import schedule_faults
from bendwind_bench.emulator.node import Node
from bendwind_bench.emulator.scheduler import Scheduler
from bendwind_bench.emulator.tables import Scenario
from bendwind_bench.emulator.tally import Figures, Tally
from bendwind_bench.emulator.upstream import CrashHistory, UpstreamModel
from bendwind_bench.emulator.wait_sampler import WaitSampler
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

# Time for the callers' last requests to end within their timeouts; no new requests begin after the
# scenario's time.
SETTLING_TIME: Seconds = 10.0
# A connection reset reveals a broken link after this time.
LINK_LOSS_DELAY: Seconds = 0.02
# Time until a killed process is up again; loading Python and its libraries takes half of it.
NODE_RESTART_DELAY: Seconds = 1.0


class World:
    """Hold the state of one run of a scenario."""

    __slots__ = (
        "scheduler",
        "callers",
        "crashes",
        "evacuated",
        "is_push_scheduled",
        "nodes",
        "rng",
        "scenario",
        "seed",
        "tally",
        "voters",
        "wait_sampler",
    )

    def __init__(self, scenario: Scenario, seed: int):
        self.scenario = scenario
        self.seed = seed
        self.scheduler = Scheduler()
        self.rng = random.Random(f"{seed} world")
        self.tally = Tally()
        self.evacuated: set[str] = set()
        self.crashes: dict[bytes, CrashHistory] = {}
        self.voters = SuspectTable("voters")
        self.is_push_scheduled = False
        self.nodes: dict[str, Node] = {}
        self._create_nodes()
        rng = random.Random(f"{seed} callers")
        places = {node.name: node.upstream.data_centre for node in self.nodes.values()}
        self.callers = Callers(self, Demand(scenario, places, rng), rng)
        self.wait_sampler = WaitSampler(self)

    def _create_nodes(self) -> None:
        position = 0
        for table in self.scenario.services:
            places = table.data_centres or self.scenario.places.data_centres
            for number in range(table.upstreams):
                name = f"{table.name}-{number}"
                rng = random.Random(f"{self.seed} upstream {name}")
                place = places[position % len(places)]
                upstream = UpstreamModel(name, table, place, self.scheduler, rng)
                node = Node(f"node-{name}", upstream, self)
                upstream.call = self.call
                upstream.crashes = self.crashes
                upstream.on_restart = node.owner.readmit_upstream
                self.nodes[node.name] = node
                position += 1

    def run(self) -> Figures:
        """Run the scenario and return its figures."""
        for node in self.nodes.values():
            node.owner.announce()
        self._push_upstreams()
        self.scheduler.run(1.0)
        self.callers.start()
        self.wait_sampler.start()
        schedule_faults(self)
        self.scheduler.run(self.scheduler.now + self.scenario.seconds + SETTLING_TIME)
        services: dict[str, list[str]] = {}
        for node in self.nodes.values():
            services.setdefault(node.upstream.table.name, []).append(node.upstream.name)
        fell_over = sum(node.upstream.fell_over for node in self.nodes.values())
        self.tally.long_waits = self.wait_sampler.count_long_waits()
        self.tally.waited_s = self.wait_sampler.sum_waits()
        for node in self.nodes.values():
            node.upstream.limit.set_limit(None, self.scheduler.now)
            self.tally.limits.append(node.upstream.limit)
        return self.tally.summarize(services, fell_over, self.crashes.values())

    def call(self, upstream: UpstreamModel, route: str, deadline_at: Seconds, on_done) -> None:
        """Start a call that an upstream makes while it runs a request."""
        self.callers.start_inner_call(
            self.nodes[f"node-{upstream.name}"], route, deadline_at, on_done
        )

    def _find_delay(self, one: str, other: str) -> Seconds:
        places = self.scenario.places
        first, second = self.nodes[one].upstream, self.nodes[other].upstream
        if one == other:
            return 0.0
        is_near = first.data_centre == second.data_centre
        delay_ms = places.within_ms if is_near else places.between_ms
        return delay_ms / MILLISECONDS_PER_SECOND

    def send_to_owner(self, sender: str, to: str, message: Record) -> None:
        """Send a message of an entry node to an owner node; it is lost if that node is down."""
        delay = self._find_delay(sender, to)
        self.nodes[to].scheduler.call_later(
            delay, lambda: self._deliver_to_owner(sender, to, message)
        )

    def _deliver_to_owner(self, sender: str, to: str, message: Record) -> None:
        node = self.nodes[to]
        if not node.is_up:
            self.scheduler.call_later(
                LINK_LOSS_DELAY, lambda: self.nodes[sender].entry.handle_link_lost(to)
            )
            return
        match message:
            case HandOver():
                node.owner.apply_event(ov.HandOverArrived(message, self.nodes[sender].incarnation))
            case Cancel(attempt=attempt):
                node.owner.apply_event(ov.CancelArrived(attempt, self.nodes[sender].incarnation))
            case Fence():
                node.owner.apply_event(ov.FenceArrived(message, self.nodes[sender].incarnation))

    def send_to_entry(self, sender: str, to: str, message: Record) -> None:
        """Send a message of an owner node to an entry node."""
        delay = self._find_delay(sender, to)
        self.nodes[to].scheduler.call_later(delay, lambda: self._deliver_to_entry(to, message))

    def _deliver_to_entry(self, to: str, message: Record) -> None:
        if self.nodes[to].is_up:
            self.nodes[to].entry.handle_message(message)

    def record_attempt(self, upstream: str) -> None:
        """Count an attempt that was sent."""
        self.tally.attempts[upstream] += 1

    def record_refused_attempt(self, target: bytes, reason: NotRunReason) -> None:
        """Count an attempt that an owner refused without running it."""
        self.tally.sent_back += 1
        if reason is NotRunReason.QUARANTINED and target not in self.crashes:
            self.tally.wronged += 1

    def find_run_rank(self, name: str) -> float | None:
        """Return the most urgent rank among the requests that run at a node's upstream."""
        return self.nodes[name].owner.find_run_rank()

    def record_retry(self) -> None:
        """Count an attempt that was charged to the retry budget."""
        self.tally.retries += 1

    def schedule_push(self) -> None:
        """Schedule a push of the serving upstreams to all nodes."""
        if not self.is_push_scheduled:
            self.is_push_scheduled = True
            delay = self.scenario.places.push_ms / MILLISECONDS_PER_SECOND
            self.scheduler.call_later(delay, self._push_upstreams)

    def _push_upstreams(self) -> None:
        self.is_push_scheduled = False
        serving: dict[str, list[Upstream]] = {table.name: [] for table in self.scenario.services}
        for node in self.nodes.values():
            if node.is_serving:
                serving[node.upstream.table.name].append(node.describe())
        for node in self.nodes.values():
            if node.is_up:
                for service, upstreams in serving.items():
                    node.entry.update_upstreams(service, tuple(upstreams))

    def report_to_voters(self, reports: tuple[SuspectReport, ...]) -> None:
        """Send a node's suspect reports to the voters, which forward them to all nodes."""
        delay = self.scenario.places.push_ms / MILLISECONDS_PER_SECOND
        self.scheduler.call_later(delay, lambda: self._merge_reports(reports))

    def _merge_reports(self, reports: tuple[SuspectReport, ...]) -> None:
        for one in reports:
            merge_and_queue_report(self.voters, one, self.scheduler.now)
        unreported = pop_unreported(self.voters, self.scheduler.now)
        for node in self.nodes.values():
            if node.is_up:
                node.merge_suspect_reports(unreported)

    def kill(self, node: Node, restart: Seconds = NODE_RESTART_DELAY) -> None:
        """Kill the process of a node and restart it after a delay."""
        if not node.is_up:
            return
        node.is_up = False
        node.owner.stop()
        node.entry.stop()
        for other in self.nodes.values():
            if other.is_up:
                self.scheduler.call_later(
                    LINK_LOSS_DELAY, lambda entry=other.entry: entry.handle_link_lost(node.name)
                )
        self.schedule_push()
        self.scheduler.call_later(restart, lambda: self._restart_node(node))

    def _restart_node(self, node: Node) -> None:
        node.start()
        node.upstream.on_restart = node.owner.readmit_upstream
        node.owner.announce()
        self._push_upstreams()
        known = self.voters.suspects.values()
        node.merge_suspect_reports(
            tuple(create_report(suspect, self.scheduler.now) for suspect in known)
        )

    def set_evacuated(self, data_centre: str, *, evacuated: bool) -> None:
        """Evacuate a data centre or end its evacuation."""
        (self.evacuated.add if evacuated else self.evacuated.discard)(data_centre)
        self._push_upstreams()
        for node in self.nodes.values():
            if node.upstream.data_centre != data_centre or not node.is_up:
                continue
            if evacuated:
                node.owner.announce(UpstreamState.DRAINING)
                node.owner.apply_event(ov.QueueWithdrawn())
            else:
                node.upstream.start_warm_up()
                node.owner.readmit_upstream()


def run_scenario(scenario: Scenario, seed: int) -> Figures:
    """Run a scenario with a seed; equal arguments give equal figures."""
    return World(scenario, seed).run()
