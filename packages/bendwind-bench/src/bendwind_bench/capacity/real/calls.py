"""Measure what calls cost their entry node and their owner node, and what a hop adds."""

import trio

from bendwind_bench.campaign import Campaign, run_campaign
from bendwind_bench.capacity.slope import Slope, fit
from bendwind_bench.deployment import Deployment, DeploymentDescription, ServiceDescription
from bendwind_bench.experiments.phase_runner import run_small_deployment
from bendwind_bench.http import pool_of
from bendwind_bench.load import Outcome, RequestKind, Sample
from bendwind_bench.reports import summarize_latency

RATES = (50.0, 100.0, 200.0, 400.0)
SECONDS = 4.0
US_PER_SECOND = 1e6
HTTP_OK = 200
HELD_CALLS = (30, 60, 90, 120)
HELD_MS = 2000.0
HELD_AFTER_S = 1.0
BYTES_PER_KB = 1024.0
_SLOW = "third"
_SERVICES = ("first", "second", _SLOW, "fourth")
_KINDS = [RequestKind("first", "/records/1", answer_bytes=(1024, 1024), chunked=0.0)]
_INTENT = "".join(
    f'[[services]]\nname = "{name}"\nupstreams = ["{name}-*"]\nlongest_wait_ms = 20000\n\n'
    for name in _SERVICES
)


def _describe() -> DeploymentDescription:
    services = [
        ServiceDescription(name, 1, 512, 512, HELD_MS if name == _SLOW else 1.0, spread=0.0)
        for name in _SERVICES
    ]
    # The last node is no voter: it is the entry, so that no control work counts for calls.
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


async def _measure_held(deployment: Deployment) -> dict[str, Slope]:
    """Measure the resident memory of both nodes while calls wait for a slow upstream."""
    members = deployment.layout.members
    owner = next(member for member in members if member.upstream.service == _SLOW)
    nodes = deployment.nodes[members[-1].name], deployment.nodes[owner.name]
    entry_bytes, owner_bytes = [], []
    for count in HELD_CALLS:
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(_hold_call, members[-1].callers_address)
            await trio.sleep(HELD_AFTER_S)
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


async def _hold_call(address: str) -> None:
    pool = pool_of(address)
    try:
        answer = await pool.request("GET", "/", [(b"Bendwind-Service", _SLOW.encode())])
    finally:
        pool.close()
    if answer.status != HTTP_OK:
        reason = answer.find(b"bendwind-reason")
        raise AssertionError(f"a held call ended with {answer.status}: {reason}")


async def measure_calls() -> tuple[dict[str, Slope], dict[str, float]]:
    """Measure calls from an entry node, over a link, to another node's upstream."""
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
        held = await _measure_held(deployment)
    slopes = {
        "entry_call_us": fit("Entry node's time for a call, all of it", "us", "call", entry_us),
        "owner_call_us": fit("Owner node's time for a call, all of it", "us", "call", owner_us),
    }
    slopes |= held
    marks = zip(("p50", "p99"), (0, 2), strict=True)
    figures = {}
    for name, index in marks:
        straight = summarize_latency([sample.latency_ms for sample in direct])[index]
        hopped = summarize_latency([sample.latency_ms for sample in through])[index]
        figures |= {f"direct_{name}_ms": straight, f"through_{name}_ms": hopped}
        figures[f"added_{name}_ms"] = hopped - straight
    return slopes, figures
