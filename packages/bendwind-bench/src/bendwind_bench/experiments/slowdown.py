"""Measure tail latency while one of four upstreams slows tenfold for moments."""

import random

from bendwind_bench.deployment import Deployment, ServiceDescription
from bendwind_bench.experiments.result import Check
from bendwind_bench.experiments.scene import Measured, describe_scene, run_phase, run_scene
from bendwind_bench.load import RequestKind
from bendwind_bench.operators import apply_intent
from bendwind_bench.reports.plot import Panel, Span
from bendwind_bench.upstream import Change

TITLE = "Tail latency while an upstream slows tenfold"
ABOUT = (
    "One service, 4 upstreams of 6 slots, log-normal service times of 40 ms mean, 60% load, calls "
    "to all nodes by turns. After each pause of 0.5 to 1.5 s one upstream, drawn at random, serves "
    "ten times slower for 20 to 500 ms, also what it is serving. Every policy sees the same "
    "arrivals and the same slow-downs, one after the other in each run. `direct` draws an upstream "
    "at random with no node between."
)
CHECKS = [
    Check("p99 of score / round-robin", "score/p99 ms", 0.4, "round-robin/p99 ms"),
    Check("p99 of score / least-in-flight", "score/p99 ms", 0.7, "least-in-flight/p99 ms"),
    Check("p99 of score / with no slow-down", "score/p99 ms", 1.3, "no slow-down/p99 ms"),
]
POLICIES = ("score", "least-in-flight", "round-robin", "random")
UPSTREAMS, SLOTS, SERVICE_MS = 4, 6, 40.0
SECONDS = 10.0
LOAD = 0.6
RATE = LOAD * UPSTREAMS * SLOTS * 1000.0 / SERVICE_MS
KINDS = [RequestKind("statusdesk", "/lamps/310")]


def write_intent(policy: str) -> str:
    """Write the intent of the one service with a policy."""
    return (
        '[[services]]\nname = "statusdesk"\nupstreams = ["statusdesk-*"]\n'
        f'longest_wait_ms = 10000\npolicy = "{policy}"\n'
    )


def draw_slowdowns(seed: int) -> list[Span]:
    """Draw when which upstream is slow; the label is its name."""
    rng = random.Random(seed)
    spans = []
    at_s = rng.uniform(0.5, 1.5)
    while at_s < SECONDS:
        end_s = at_s + rng.uniform(0.02, 0.5)
        spans.append(Span(at_s, end_s, f"statusdesk-{rng.randint(1, UPSTREAMS)}"))
        at_s = end_s + rng.uniform(0.5, 1.5)
    return spans


async def _measure(deployment: Deployment, variant: str, spans, seed, measured, **keys) -> None:
    async def slow_down() -> None:
        for name in {span.label for span in spans}:
            own = [span for span in spans if span.label == name]
            changes = [Change(span.start_s * 1000.0, factor=10.0) for span in own]
            changes += [Change(span.end_s * 1000.0, factor=1.0) for span in own]
            await deployment.change(name, changes)

    name = variant.replace(" ", "-")
    phase = await run_phase(
        deployment,
        name,
        KINDS,
        RATE,
        SECONDS,
        seed=seed,
        at_start=slow_down,
        **keys,
    )
    measured.figures[variant] = phase.figures()
    measured.panels.append(Panel(variant, phase.samples, spans))
    measured.broken += phase.verdict.broken


async def run_once(seed: int, direct: bool) -> Measured:
    """Measure every policy once, in an order that rotates with the seed."""
    measured = Measured()
    service = ServiceDescription("statusdesk", UPSTREAMS, SLOTS, 200, SERVICE_MS)
    spans = draw_slowdowns(seed)
    async with run_scene(
        describe_scene([service]), write_intent(POLICIES[0]), seed, direct
    ) as deployment:
        addresses = deployment.direct_addresses()
        await _measure(deployment, "direct", spans, seed, measured, direct=addresses)
        if direct:
            return measured
        await _measure(deployment, "no slow-down", [], seed, measured)
        turn = seed % len(POLICIES)
        for policy in POLICIES[turn:] + POLICIES[:turn]:
            await apply_intent(deployment, write_intent(policy))
            await _measure(deployment, policy, spans, seed, measured)
    return measured
