"""State what the parts of an emulated deployment ask of each other.

The modules of the parts import this one, and only `world` imports them.
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
    """State what others see of a node."""

    name: str
    agenda: PausableAgenda
    entry: EntrySide
    is_up: bool
    owner: OwnerSide
    upstream: UpstreamModel


class Site(Protocol):
    """State what all parts see of the deployment that they are in."""

    agenda: Agenda
    nodes: Mapping[str, Instance]
    scenario: Scenario
    seed: int
    tally: Tally


class Surroundings(Site, Protocol):
    """State what a node asks of the world around it."""

    evacuated: set[str]

    def carry_back(self, sender: str, to: str, message: Record) -> None:
        """Carry a message of an owner node to an entry node."""

    def note_attempt(self, upstream: str) -> None:
        """Count an attempt that was sent."""

    def note_retry(self) -> None:
        """Count an attempt that the retry budget paid for."""

    def note_sent_back(self, target: bytes, reason: NotRunReason) -> None:
        """Count an attempt that was sent back unrun."""

    def push(self) -> None:
        """Have all nodes hear soon which upstreams serve."""

    def send(self, sender: str, to: str, message: Record) -> None:
        """Carry a message of an entry node to an owner node."""

    def tell_voters(self, told: tuple[SuspectReport, ...]) -> None:
        """Carry to the voters what a node knows against requests."""


class Demand(Protocol):
    """State what faults change of the callers' demand."""

    def set_rate(self, route: str, factor: float) -> None:
        """Have a route's requests, all where it is empty, come so many times as often as usual."""

    def heat(self, customer: str, factor: float) -> None:
        """Have a customer send so many times its usual; 1 ends that."""


class Crowd(Protocol):
    """State what faults ask of the callers."""

    demand: Demand

    def send_crashing(self, route: RouteTable, target: bytes) -> None:
        """Send a request that ends upstreams to any node."""


class Stage(Site, Protocol):
    """State what faults may do to a deployment."""

    callers: Crowd
    crashes: dict[bytes, CrashCount]
    rng: random.Random

    def kill(self, node: Instance, restart: Seconds = ...) -> None:
        """Kill the process of a node and start it again."""

    def set_evacuated(self, data_centre: str, *, evacuated: bool) -> None:
        """Evacuate a data centre or take it back."""


__all__ = ["Crowd", "Demand", "Instance", "Site", "Stage", "Surroundings"]
