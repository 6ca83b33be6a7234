"""Declare the interfaces between the parts of an emulated deployment.

The parts import this module, and only `world` imports the parts, which avoids import cycles.
"""

import random
from collections.abc import Mapping
from typing import Protocol

from bendwind_bench.emulator.agenda import Agenda, PausableAgenda
from bendwind_bench.emulator.entry_side import EntrySide
from bendwind_bench.emulator.owner_side import OwnerSide
from bendwind_bench.emulator.tables import RouteTable, Scenario
from bendwind_bench.emulator.tally import Tally
from bendwind_bench.emulator.upstream import CrashCount, UpstreamModel
from bendwind_core.attempts import NotRunReason
from bendwind_core.core import Record, Seconds
from bendwind_core.suspicion import SuspectReport


class Instance(Protocol):
    """Declare what other parts use of a node."""

    name: str
    agenda: PausableAgenda
    entry: EntrySide
    is_up: bool
    owner: OwnerSide
    upstream: UpstreamModel


class Site(Protocol):
    """Declare what all parts use of their deployment."""

    agenda: Agenda
    nodes: Mapping[str, Instance]
    scenario: Scenario
    seed: int
    tally: Tally


class Surroundings(Site, Protocol):
    """Declare what a node needs from its environment."""

    evacuated: set[str]

    def carry_back(self, sender: str, to: str, message: Record) -> None:
        """Send a message of an owner node to an entry node."""

    def note_attempt(self, upstream: str) -> None:
        """Count an attempt that was sent."""

    def note_retry(self) -> None:
        """Count an attempt that was charged to the retry budget."""

    def note_sent_back(self, target: bytes, reason: NotRunReason) -> None:
        """Count an attempt that an owner refused without running it."""

    def push(self) -> None:
        """Schedule a push of the serving upstreams to all nodes."""

    def send(self, sender: str, to: str, message: Record) -> None:
        """Send a message of an entry node to an owner node."""

    def tell_voters(self, told: tuple[SuspectReport, ...]) -> None:
        """Send a node's suspect reports to the voters."""


class Demand(Protocol):
    """Declare how faults change the callers' demand."""

    def set_rate(self, route: str, factor: float) -> None:
        """Multiply the request rate of a route, or of all routes if `route` is empty."""

    def heat(self, customer: str, factor: float) -> None:
        """Multiply the request rate of a customer; a factor of 1 restores the usual rate."""


class Crowd(Protocol):
    """Declare what faults use of the callers."""

    demand: Demand

    def send_crashing(self, route: RouteTable, target: bytes) -> None:
        """Send a request that crashes upstreams to a random node."""


class Stage(Site, Protocol):
    """Declare how faults change a deployment."""

    callers: Crowd
    crashes: dict[bytes, CrashCount]
    rng: random.Random

    def kill(self, node: Instance, restart: Seconds = ...) -> None:
        """Kill the process of a node and restart it after a delay."""

    def set_evacuated(self, data_centre: str, *, evacuated: bool) -> None:
        """Evacuate a data centre or end its evacuation."""


__all__ = ["Crowd", "Demand", "Instance", "Site", "Stage", "Surroundings"]
