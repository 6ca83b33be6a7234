"""Measure the latency that a node adds to a call, for its own upstream and through another node."""

from bendwind_bench.campaign import Campaign
from bendwind_bench.deployment import Deployment, ServiceDescription
from bendwind_bench.experiments.phase_runner import (
    Measurements,
    describe_small_deployment,
    run_phase,
    run_small_deployment,
)
from bendwind_bench.load import RequestKind
from bendwind_bench.reports.result import Check

TITLE = "Latency added to a call"
ABOUT = (
    "One upstream that answers at once, bodies of about 300 bytes, three nodes, all voters. Calls "
    "are drawn at random from three ways, so that all meet the same machine: `own` enters at the "
    "upstream's own node, `other` at another one, `direct` asks the upstream itself; 60 calls a "
    "second in all. `added` is the difference of the percentiles from direct in the same run. "
    "`late` is how late the load tool itself was; it is part of every latency."
)
AIM_MS = 0.43
CHECKS = [
    Check("p99 added by the own node, ms", "own/added p99 ms", AIM_MS),
    Check("p99 added through another node, ms", "other/added p99 ms", AIM_MS),
]
RATE = 60.0
SECONDS = 20.0
SERVICES = ("solo", "second", "third")
KINDS = [RequestKind("solo", "/item", answer_bytes=(200, 400), chunked=0.0)]
INTENT = "".join(
    f'[[services]]\nname = "{name}"\nupstreams = ["{name}-*"]\n\n' for name in SERVICES
)


def describe_solo(slots: int = 64, service_ms: float = 0.001):
    """Describe three services with one upstream each, so that there are three nodes."""
    return describe_small_deployment(
        [ServiceDescription(name, 1, slots, 200, service_ms, 0.0) for name in SERVICES]
    )


def find_addresses(deployment: Deployment) -> dict[str, str]:
    """Return the address to which each path of a call sends its requests."""
    own, other = deployment.layout.members[:2]
    addresses = {"direct": own.upstream_address}
    if not deployment.direct:
        addresses |= {"own": own.callers_address, "other": other.callers_address}
    return addresses


async def run_once(seed: int, direct: bool) -> Measurements:
    """Measure all paths concurrently."""
    measurements = Measurements()
    async with run_small_deployment(describe_solo(), INTENT, seed, direct) as deployment:
        addresses = find_addresses(deployment)
        kinds = [
            RequestKind("solo", "/item", answer_bytes=(200, 400), chunked=0.0, addresses=[address])
            for address in addresses.values()
        ]
        campaign = Campaign("ways", RATE, SECONDS, kinds, seed=seed)
        phase = await run_phase(deployment, campaign)
    for path, address in addresses.items():
        measurements.record_phase(path, phase.select(address))
        figures = measurements.figures[path]
        for mark in ("p50 ms", "p99 ms") if path != "direct" else ():
            figures[f"added {mark}"] = figures[mark] - measurements.figures["direct"][mark]
    return measurements
