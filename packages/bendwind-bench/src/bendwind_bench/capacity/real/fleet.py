"""Measure deployments of growing size: memory, idle processor time and spread of a change."""

import statistics
from dataclasses import dataclass, field

import msgspec
import trio

from bendwind_bench.capacity.real.processes import measure_cpu
from bendwind_bench.capacity.slope import Slope, fit
from bendwind_bench.deployment import (
    Deployment,
    DeploymentDescription,
    Member,
    ServiceDescription,
    run_deployment,
)
from bendwind_bench.http import send_json
from bendwind_bench.load import RequestKind
from bendwind_bench.operators import apply_intent
from bendwind_core.timeline import EventKind

NODE_COUNTS = (4, 8, 16, 32)
VOTERS = 3
SETTLE_S = 2.0
IDLE_S = 5.0
CHANGES = 3
APPLY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.1
_SERVICE = "service"


@dataclass(slots=True)
class FleetMeasurement:
    """Hold the measurements of one deployment size.

    Units: kB resident, percent of a core, milliseconds.
    """

    nodes: int
    node_kb: float = 0.0
    voter_kb: float = 0.0
    leader_kb: float = 0.0
    node_percent: float = 0.0
    voter_percent: float = 0.0
    leader_percent: float = 0.0
    without_upstream_percent: float = 0.0
    spread_ms: list[float] = field(default_factory=list)


def describe_fleet(nodes: int) -> DeploymentDescription:
    """Describe a deployment whose nodes all serve one service and therefore watch it."""
    centres = [f"centre-{number}" for number in range(1, VOTERS + 1)]
    service = ServiceDescription(_SERVICE, nodes, 12, 200, 1.0)
    return DeploymentDescription("fleet", "bench", 0.0, 0.0, centres, VOTERS, [service], [])


def make_intent(wait_ms: int) -> str:
    """Make an intent that differs from others only in the longest wait."""
    return (
        f'[[services]]\nname = "{_SERVICE}"\nupstreams = ["{_SERVICE}-*"]\n'
        f"longest_wait_ms = {wait_ms}\n"
    )


async def measure_fleet(nodes: int) -> FleetMeasurement:
    """Measure a deployment with this many nodes."""
    fleet = FleetMeasurement(nodes)
    async with run_deployment(describe_fleet(nodes)) as deployment:
        await apply_intent(deployment, make_intent(2000))
        if not await deployment.wait_served([RequestKind(_SERVICE, "/")]):
            raise AssertionError(f"{nodes} nodes did not begin to serve the service in time")
        await trio.sleep(SETTLE_S)
        leader = await _find_leader(deployment)
        await _measure_idle(deployment, leader, fleet)
        for number in range(CHANGES):
            fleet.spread_ms.append(await _measure_change(deployment, 2001 + number))
        await _measure_idle_without_upstreams(deployment, fleet)
    return fleet


async def _find_leader(deployment: Deployment) -> str:
    address = deployment.layout.voters[0].operators_address
    answer = await send_json(address, "GET", "/v1/status")
    return msgspec.json.decode(answer.body)["leader"]


async def _measure_idle(deployment: Deployment, leader: str, fleet: FleetMeasurement) -> None:
    names = list(deployment.nodes)
    shares = await measure_cpu([deployment.nodes[name] for name in names], IDLE_S)
    percent = dict(zip(names, shares, strict=True))
    kb = {name: float(node.resident_kb()) for name, node in deployment.nodes.items()}
    voters = {member.name for member in deployment.layout.voters}
    plain = [name for name in names if name not in voters]
    followers = [name for name in voters if name != leader]
    fleet.node_kb = statistics.fmean(kb[name] for name in plain)
    fleet.voter_kb = statistics.fmean(kb[name] for name in followers)
    fleet.leader_kb = kb[leader]
    fleet.node_percent = statistics.fmean(percent[name] for name in plain)
    fleet.voter_percent = statistics.fmean(percent[name] for name in followers)
    fleet.leader_percent = percent[leader]


async def _measure_change(deployment: Deployment, wait_ms: int) -> float:
    """Return the time from the confirmation of a change until the last node applied it."""
    version = await apply_intent(deployment, make_intent(wait_ms))
    confirmed = [
        time_ms
        for voter in deployment.layout.voters
        for time_ms in await _read_events(voter, EventKind.PLAN_CONFIRMED)
    ]
    applied = [await _wait_applied(member, version) for member in deployment.layout.members]
    return max(applied) - max(confirmed)


async def _wait_applied(member: Member, version: int) -> float:
    """Return when a node applied a version.

    The time is read from the timeline, since a voter's status shows the version before its node
    has applied it."""
    with trio.fail_after(APPLY_TIMEOUT_S):
        while True:
            times = await _read_events(member, EventKind.CONFIGURATION_APPLIED, str(version))
            if times:
                return min(times)
            await trio.sleep(POLL_INTERVAL_S)


async def _read_events(member: Member, kind: EventKind, word: str | None = None) -> list[float]:
    """Return the times of a member's events of a kind, of those whose detail begins with a word."""
    path = f"/v1/timeline?kind={kind.name}&limit=50"
    answer = await send_json(member.operators_address, "GET", path)
    events = msgspec.json.decode(answer.body)["events"]
    matching = [event for event in events if word is None or event["detail"].split(" ")[0] == word]
    return [float(event["physical_ms"]) for event in matching]


async def _measure_idle_without_upstreams(deployment: Deployment, fleet: FleetMeasurement) -> None:
    """Measure nodes whose upstreams have been killed, so that they receive no announcements."""
    for upstream in deployment.upstreams.values():
        upstream.kill()
    await trio.sleep(SETTLE_S)
    voters = {member.name for member in deployment.layout.voters}
    plain = [node for name, node in deployment.nodes.items() if name not in voters]
    fleet.without_upstream_percent = statistics.fmean(await measure_cpu(plain, IDLE_S))


async def measure_fleets() -> dict[str, Slope]:
    """Measure deployments of every size, one after the other."""
    fleets = [await measure_fleet(count) for count in NODE_COUNTS]
    return {
        "node_resident_kb": _fit("Resident memory of a node", "kB", fleets, "node_kb"),
        "voter_resident_kb": _fit("Resident memory of a following voter", "kB", fleets, "voter_kb"),
        "leader_resident_kb": _fit("Resident memory of the leader", "kB", fleets, "leader_kb"),
        "node_idle_percent": _fit("Idle node", "% of a core", fleets, "node_percent"),
        "node_lone_percent": _fit(
            "Idle node without an upstream's announcements",
            "% of a core",
            fleets,
            "without_upstream_percent",
        ),
        "voter_idle_percent": _fit(
            "Following voter without calls", "% of a core", fleets, "voter_percent"
        ),
        "leader_idle_percent": _fit(
            "Leader without calls", "% of a core", fleets, "leader_percent"
        ),
        "change_spread_ms": fit(
            "From the confirmation of a change until the last node applied it",
            "ms",
            "node",
            [(fleet.nodes, value) for fleet in fleets for value in fleet.spread_ms],
        ),
    }


def _fit(title: str, unit: str, fleets: list[FleetMeasurement], name: str) -> Slope:
    return fit(title, unit, "node", [(fleet.nodes, getattr(fleet, name)) for fleet in fleets])
