"""Measure the throughput of one node and the processor time that each call costs it."""

from bendwind_bench.campaign import Campaign
from bendwind_bench.experiments.added_latency import INTENT, KINDS, describe_solo
from bendwind_bench.experiments.phase_runner import Measurements, measure_idle, run_small_deployment

TITLE = "Throughput of one node and processor time a call"
ABOUT = (
    "One upstream that answers at once, behind its own node; open-loop load at rising rates from "
    "four load processes. `whole/s` is what got a whole answer; it ends to grow where the node's "
    "one core is full. `node CPU ms/call` is the processor time of all three nodes, heartbeats "
    "and all, divided by the calls. `no calls` is the mean of the three nodes, all voters."
)
CHECKS = []
RATES = (50.0, 100.0, 200.0, 400.0, 800.0)
SECONDS = 5.0
TIMEOUT_MS = 2000.0


async def run_once(seed: int, direct: bool) -> Measurements:
    """Measure each rate once."""
    measurements = Measurements()
    async with run_small_deployment(describe_solo(), INTENT, seed, direct) as deployment:
        keys = {"entries": [deployment.layout.members[0].callers_address]}
        if direct:
            keys = {"direct": deployment.direct_addresses()}
        measurements.figures["no calls"] = await measure_idle(deployment, SECONDS)
        for rate in RATES:
            name = f"rate-{rate:.0f}"
            campaign = Campaign(
                name, rate, SECONDS, KINDS, seed=seed, workers=4, timeout_ms=TIMEOUT_MS, **keys
            )
            await measurements.measure(deployment, f"{rate:.0f} a second", campaign)
    return measurements
