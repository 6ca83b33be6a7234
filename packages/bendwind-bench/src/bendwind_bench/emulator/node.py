"""Emulate one instance: its owner side, its entry side and its upstream."""

import random

from bendwind_bench.emulator.entry_side import EntrySide
from bendwind_bench.emulator.interfaces import NodeEnvironment
from bendwind_bench.emulator.owner_side import OwnerSide
from bendwind_bench.emulator.scheduler import PausableScheduler
from bendwind_bench.emulator.upstream import UpstreamModel
from bendwind_core.core import Record
from bendwind_core.suspicion import (
    SuspectReport,
    SuspectTable,
    SuspicionLimits,
    merge_report,
    pop_unreported,
)
from bendwind_core.world import Instance, Upstream


class Node:
    """Hold one instance: its owner side, its entry side and its upstream."""

    __slots__ = (
        "scheduler",
        "entry",
        "incarnation",
        "is_up",
        "name",
        "owner",
        "suspects",
        "upstream",
        "world",
    )

    def __init__(self, name: str, upstream: UpstreamModel, world: NodeEnvironment):
        self.name = name
        self.upstream = upstream
        self.world = world
        self.incarnation = 0
        self.is_up = False
        self.scheduler = PausableScheduler(world.scheduler)
        self.start()

    def start(self) -> None:
        """Start the process as a new incarnation."""
        world, upstream = self.world, self.upstream
        self.incarnation += 1
        self.is_up = True
        policy = world.scenario.policy
        limits = SuspicionLimits(policy.apart_from, policy.quarantine_from, policy.quarantine_s)
        self.suspects = SuspectTable(self.name, limits)
        self.owner = OwnerSide(
            world.scenario, upstream, self.scheduler, self, self.incarnation, self.suspects
        )
        self.entry = EntrySide(
            self.name,
            upstream.data_centre,
            upstream.table.name,
            world.scenario,
            self.scheduler,
            world,
            random.Random(f"{world.seed} {self.name} {self.incarnation}"),
            self.incarnation,
            self.suspects,
        )

    def reply(self, entry: str, message: Record) -> None:
        """Send a message of the owner side to an entry node."""
        self.world.send_to_entry(self.name, entry, message)

    def request_push(self) -> None:
        """Schedule a push of the serving upstreams to all nodes."""
        self.world.schedule_push()

    def send_suspects(self) -> None:
        """Send new suspect reports to the voters."""
        self.world.report_to_voters(pop_unreported(self.suspects, self.world.scheduler.now))

    def merge_suspect_reports(self, reports: tuple[SuspectReport, ...]) -> None:
        """Merge suspect reports that the voters sent."""
        for report in reports:
            merge_report(self.suspects, report, self.world.scheduler.now)

    def describe(self) -> Upstream:
        """Return the description with which the upstream is announced."""
        place = Instance(self.name, self.upstream.data_centre, "", 0, self.incarnation)
        slots = self.upstream.table.slots
        return Upstream(self.upstream.name, self.upstream.table.name, place, slots, 10 * slots)

    @property
    def is_serving(self) -> bool:
        """Return whether the upstream is pushed to other nodes as usable."""
        is_open = self.upstream.data_centre not in self.world.evacuated
        # An older core that is compared may not support upstreams that announce their leaving in
        # answers.
        is_leaving = getattr(self.owner.owner_state, "is_leaving", False)
        return self.is_up and is_open and not self.owner.is_unreachable and not is_leaving


__all__ = ["Node"]
