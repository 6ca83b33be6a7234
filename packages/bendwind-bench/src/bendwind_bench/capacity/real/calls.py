"""Measure the cost of calls for their entry and owner nodes, and the latency of a hop."""

import trio

from bendwind_bench.campaign import Campaign, run_campaign
from bendwind_bench.capacity.slope import Slope, fit
from bendwind_bench.deployment import Deployment, DeploymentDescription, ServiceDescription
from bendwind_bench.experiments.phase_runner import run_small_deployment
from bendwind_bench.http import create_pool
from bendwind_bench.load import Outcome, RequestKind, Sample
from bendwind_bench.reports import summarize_latency

RATES = (50.0, 100.0, 200.0, 400.0)
SECONDS = 4.0
US_PER_SECOND = 1e6
HTTP_OK = 200
CALLS_IN_FLIGHT = (30, 60, 90, 120)
SLOW_CALL_MS = 2000.0
CALLS_SETTLE_S = 1.0
BYTES_PER_KB = 1024.0
_SLOW_SERVICE = "third"
_SERVICES = ("first", "second", _SLOW_SERVICE, "fourth")
_KINDS = [RequestKind("first", "/records/1", answer_bytes=(1024, 1024), chunked=0.0)]
_INTENT = "".join(
    f'[[services]]\nname = "{name}"\nupstreams = ["{name}-*"]\nlongest_wait_ms = 20000\n\n'
    for name in _SERVICES
)


def _describe() -> DeploymentDescription:
    services = [
        ServiceDescription(
            name, 1, 512, 512, SLOW_CALL_MS if name == _SLOW_SERVICE else 1.0, spread=0.0
        )
        for name in _SERVICES
    ]
    # The last node is not a voter. It is the entry node, so that the work of a voter does not count
    # as a cost of calls.
    return DeploymentDescription("calls", "bench", 0.0, 0.0, ["centre"], 3, services, [])


async def _send(deployment: Deployment, name: str, rate: float, direct: bool) -> list[Sample]:
    campaign = Campaign(
        name,
        rate,
        SECONDS,
        _KINDS,
        entries=[deployment.layout.members[-1].callers_address],
        direct=deployment.direct_addresses() if direct else {},
    )
    samples, _ = await run_campaign(deployment, campaign)
    return [sample for sample in samples if sample.outcome is Outcome.WHOLE]


async def _measure_calls_in_flight(deployment: Deployment) -> dict[str, Slope]:
    """Measure the resident memory of both nodes while calls wait for a slow upstream."""
    members = deployment.layout.members
    owner = next(member for member in members if member.upstream.service == _SLOW_SERVICE)
    nodes = deployment.nodes[members[-1].name], deployment.nodes[owner.name]
    entry_bytes, owner_bytes = [], []
    for count in CALLS_IN_FLIGHT:
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(_send_slow_call, members[-1].callers_address)
            await trio.sleep(CALLS_SETTLE_S)
            entry_bytes.append((count, nodes[0].resident_kb() * BYTES_PER_KB))
            owner_bytes.append((count, nodes[1].resident_kb() * BYTES_PER_KB))
    return {
        "entry_held_bytes": fit(
            "Entry node's resident memory by calls held", "bytes", "call", entry_bytes
        ),
        "owner_held_bytes": fit(
            "Owner node's resident memory by calls held", "bytes", "call", owner_bytes
        ),
    }


async def _send_slow_call(address: str) -> None:
    pool = create_pool(address)
    try:
        answer = await pool.request("GET", "/", [(b"Bendwind-Service", _SLOW_SERVICE.encode())])
    finally:
        pool.close()
    if answer.status != HTTP_OK:
        reason = answer.find(b"bendwind-reason")
        raise AssertionError(
            f"a call to the slow upstream ended with status {answer.status}: {reason}"
        )


async def measure_calls() -> tuple[dict[str, Slope], dict[str, float]]:
    """Measure calls from an entry node over a link to the upstream of another node."""
    entry_us, owner_us = [], []
    async with run_small_deployment(_describe(), _INTENT, 1, False) as deployment:
        members = deployment.layout.members
        entry, owner = (deployment.nodes[members[index].name] for index in (-1, 0))
        await _send(deployment, "warm", RATES[1], False)
        direct = await _send(deployment, "direct", RATES[1], True)
        for rate in RATES:
            before = entry.cpu_seconds(), owner.cpu_seconds()
            samples = await _send(deployment, f"rate-{rate:.0f}", rate, False)
            entry_us.append((len(samples), (entry.cpu_seconds() - before[0]) * US_PER_SECOND))
            owner_us.append((len(samples), (owner.cpu_seconds() - before[1]) * US_PER_SECOND))
            if rate == RATES[1]:
                through = samples
        held = await _measure_calls_in_flight(deployment)
    slopes = {
        "entry_call_us": fit("Entry node's time for a call, all of it", "us", "call", entry_us),
        "owner_call_us": fit("Owner node's time for a call, all of it", "us", "call", owner_us),
    }
    slopes |= held
    percentiles = zip(("p50", "p99"), (0, 2), strict=True)
    figures = {}
    for name, index in percentiles:
        direct_ms = summarize_latency([sample.latency_ms for sample in direct])[index]
        through_ms = summarize_latency([sample.latency_ms for sample in through])[index]
        figures |= {f"direct_{name}_ms": direct_ms, f"through_{name}_ms": through_ms}
        figures[f"added_{name}_ms"] = through_ms - direct_ms
    return slopes, figures
