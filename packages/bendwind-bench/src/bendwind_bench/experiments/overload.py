"""Measure goodput and memory as the load grows to ten times the capacity of the upstreams."""

from bendwind_bench.campaign import Campaign
from bendwind_bench.deployment import ServiceDescription
from bendwind_bench.experiments.phase_runner import (
    Measurements,
    describe_small_deployment,
    run_small_deployment,
)
from bendwind_bench.load import RequestKind
from bendwind_bench.reports.result import Check

TITLE = "Goodput and memory under ten times overload"
ABOUT = (
    "One service with three upstreams of 2 slots and 60 ms, which carry 100 calls a second; calls "
    "may wait 1 s. Load at 0.5, 1, 2, 5 and 10 times that. `peak kB` is the largest resident "
    "memory of any node during the phase. Calls that are not served should be told not-run early."
)
CAPACITY = 100.0
TIMES = (0.5, 1.0, 2.0, 5.0, 10.0)
SECONDS = 8.0
CHECKS = [
    Check("goodput at 10 times / at 1 time", "10x/whole/s", 0.9, "1x/whole/s", at_least=True),
    Check("goodput at 10 times / at 2 times", "10x/whole/s", 0.9, "2x/whole/s", at_least=True),
    Check("memory at 10 times / at 0.5 times", "10x/peak kB", 1.5, "0.5x/peak kB"),
]
KINDS = [RequestKind("status", "/item", answer_bytes=(200, 400))]
INTENT = '[[services]]\nname = "status"\nupstreams = ["status-*"]\nlongest_wait_ms = 1000\n'


async def run_once(seed: int, direct: bool) -> Measurements:
    """Measure each multiple of the capacity once."""
    measurements = Measurements()
    service = ServiceDescription("status", 3, 2, 200, 60.0)
    async with run_small_deployment(
        describe_small_deployment([service]), INTENT, seed, direct
    ) as deployment:
        addresses = deployment.direct_addresses() if direct else {}
        for times in TIMES:
            name = f"{times:g}x"
            campaign = Campaign(
                name, CAPACITY * times, SECONDS, KINDS, seed=seed, workers=4, direct=addresses
            )
            await measurements.measure(deployment, name, campaign)
    return measurements
