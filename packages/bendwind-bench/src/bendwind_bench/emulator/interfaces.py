"""Declare the interfaces between the parts of an emulated deployment.

The parts import this module, and only `world` imports the parts, which avoids import cycles.
"""

import random
from collections.abc import Mapping
from typing import Protocol

from bendwind_bench.emulator.entry_side import EntrySide
from bendwind_bench.emulator.owner_side import OwnerSide
from bendwind_bench.emulator.scheduler import PausableScheduler, Scheduler
from bendwind_bench.emulator.tables import RouteTable, Scenario
from bendwind_bench.emulator.tally import Tally
from bendwind_bench.emulator.upstream import CrashHistory, UpstreamModel
from bendwind_core.attempts import NotRunReason
from bendwind_core.core import Record, Seconds
from bendwind_core.suspicion import SuspectReport


class EmulatedNode(Protocol):
    """Declare what other parts use of a node."""

    name: str
    scheduler: PausableScheduler
    entry: EntrySide
    is_up: bool
    owner: OwnerSide
    upstream: UpstreamModel


class Deployment(Protocol):
    """Declare what all parts use of their deployment."""

    scheduler: Scheduler
    nodes: Mapping[str, EmulatedNode]
    scenario: Scenario
    seed: int
    tally: Tally


class NodeEnvironment(Deployment, Protocol):
    """Declare what a node needs from its environment."""

    evacuated: set[str]

    def send_to_entry(self, sender: str, to: str, message: Record) -> None:
        """Send a message of an owner node to an entry node."""

    def record_attempt(self, upstream: str) -> None:
        """Count an attempt that was sent."""

    def record_retry(self) -> None:
        """Count an attempt that was charged to the retry budget."""

    def record_refused_attempt(self, target: bytes, reason: NotRunReason) -> None:
        """Count an attempt that an owner refused without running it."""

    def schedule_push(self) -> None:
        """Schedule a push of the serving upstreams to all nodes."""

    def send_to_owner(self, sender: str, to: str, message: Record) -> None:
        """Send a message of an entry node to an owner node."""

    def report_to_voters(self, reports: tuple[SuspectReport, ...]) -> None:
        """Send a node's suspect reports to the voters."""


class DemandControl(Protocol):
    """Declare how faults change the callers' demand."""

    def set_rate_factor(self, route: str, factor: float) -> None:
        """Multiply the request rate of a route, or of all routes if `route` is empty."""

    def set_customer_factor(self, customer: str, factor: float) -> None:
        """Multiply the request rate of a customer; a factor of 1 restores the usual rate."""


class CallersControl(Protocol):
    """Declare what faults use of the callers."""

    demand: DemandControl

    def send_crashing_request(self, route: RouteTable, target: bytes) -> None:
        """Send a request that crashes upstreams to a random node."""


class FaultTarget(Deployment, Protocol):
    """Declare how faults change a deployment."""

    callers: CallersControl
    crashes: dict[bytes, CrashHistory]
    rng: random.Random

    def kill(self, node: EmulatedNode, restart: Seconds = ...) -> None:
        """Kill the process of a node and restart it after a delay."""

    def set_evacuated(self, data_centre: str, *, evacuated: bool) -> None:
        """Evacuate a data centre or end its evacuation."""


__all__ = [
    "CallersControl",
    "DemandControl",
    "Deployment",
    "EmulatedNode",
    "FaultTarget",
    "NodeEnvironment",
]
