"""Measure what a node adds to a call, by its own upstream and through another node."""

from bendwind_bench.deployment import Deployment, ServiceDescription
from bendwind_bench.experiments.result import Check
from bendwind_bench.experiments.scene import Measured, describe_scene, run_phase, run_scene
from bendwind_bench.load import RequestKind
from bendwind_bench.reports.plot import Panel

TITLE = "Latency added to a call"
ABOUT = (
    "One upstream that answers at once, 100 calls a second of about 300 bytes, three nodes, all of "
    "them voters. `own` enters at the upstream's own node, `other` at another one, `direct` asks "
    "the upstream itself. `added` is the difference of the percentiles from direct in the same run."
)
AIM_MS = 0.43
CHECKS = [
    Check("p99 added by the own node, ms", "own/added p99 ms", AIM_MS),
    Check("p99 added through another node, ms", "other/added p99 ms", AIM_MS),
]
RATE = 100.0
SECONDS = 10.0
SERVICES = ("solo", "second", "third")
KINDS = [RequestKind("solo", "/item", answer_bytes=(200, 400), chunked=0.0)]
INTENT = "".join(
    f'[[services]]\nname = "{name}"\nupstreams = ["{name}-*"]\n\n' for name in SERVICES
)


def describe_solo(slots: int = 64, service_ms: float = 0.001):
    """Describe three services of one upstream each, so that there are three nodes."""
    return describe_scene(
        [ServiceDescription(name, 1, slots, 200, service_ms, 0.0) for name in SERVICES]
    )


async def _measure(deployment: Deployment, variant: str, seed: int, measured, **keys) -> None:
    phase = await run_phase(deployment, variant, KINDS, RATE, SECONDS, seed=seed, **keys)
    figures = phase.figures()
    figures["node CPU ms/call"] = phase.cpu_ms_per_call
    if variant != "direct":
        for mark in ("p50 ms", "p99 ms"):
            figures[f"added {mark}"] = figures[mark] - measured.figures["direct"][mark]
    measured.figures[variant] = figures
    measured.panels.append(Panel(variant, phase.samples))
    measured.broken += phase.verdict.broken


async def run_once(seed: int, direct: bool) -> Measured:
    """Measure direct calls, then calls by each path."""
    measured = Measured()
    async with run_scene(describe_solo(), INTENT, seed, direct) as deployment:
        addresses = deployment.direct_addresses()
        await _measure(deployment, "direct", seed, measured, direct=addresses)
        if direct:
            return measured
        own, other = deployment.layout.members[:2]
        await _measure(deployment, "own", seed, measured, entries=[own.callers_address])
        await _measure(deployment, "other", seed, measured, entries=[other.callers_address])
    return measured
