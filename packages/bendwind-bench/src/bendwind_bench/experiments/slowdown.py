"""Measure tail latency while one of four upstreams becomes ten times slower for short periods."""

import random

from bendwind_bench.campaign import Campaign
from bendwind_bench.deployment import ServiceDescription
from bendwind_bench.experiments.phase_runner import (
    MILLISECONDS_IN_SECOND,
    Measurements,
    describe_small_deployment,
    run_small_deployment,
)
from bendwind_bench.load import RequestKind
from bendwind_bench.operators import apply_intent
from bendwind_bench.reports.plot import Span
from bendwind_bench.reports.result import Check
from bendwind_bench.upstream import Change

TITLE = "Tail latency while an upstream slows tenfold"
ABOUT = (
    "One service, 4 upstreams of 6 slots, log-normal service times of 40 ms mean, 60% load, calls "
    "to all nodes by turns. After each pause of 0.5 to 1.5 s one upstream, drawn at random, serves "
    "ten times slower for 20 to 500 ms, also what it is serving. Every policy sees the same "
    "arrivals and the same slow-downs, one after the other in each run. `direct` draws an upstream "
    "at random with no node between. `score, hedged` lets the service hedge after 2.5 mean service "
    "times, within the same retry budget of one in ten."
)
HEDGED = "score, hedged"
CHECKS = [
    Check("p99 of score / round-robin", "score/p99 ms", 0.4, "round-robin/p99 ms"),
    Check("p99 of score / least-in-flight", "score/p99 ms", 0.7, "least-in-flight/p99 ms"),
    Check("p99 of score, hedged / round-robin", f"{HEDGED}/p99 ms", 0.4, "round-robin/p99 ms"),
    Check("p99 of score, hedged / no slow-down", f"{HEDGED}/p99 ms", 1.3, "no slow-down/p99 ms"),
    Check("p99 of score / with no slow-down", "score/p99 ms", 1.3, "no slow-down/p99 ms"),
]
POLICIES = ("score", HEDGED, "least-in-flight", "round-robin", "random")
UPSTREAMS, SLOTS, SERVICE_MS = 4, 6, 40.0
HEDGE_AFTER = 2.5
SECONDS = 10.0
LOAD = 0.6
RATE = LOAD * UPSTREAMS * SLOTS * MILLISECONDS_IN_SECOND / SERVICE_MS
SERVICE = ServiceDescription("statusdesk", UPSTREAMS, SLOTS, 200, SERVICE_MS)
KINDS = [RequestKind("statusdesk", "/lamps/310")]


def write_intent(policy: str) -> str:
    """Return the intent of the one service with a policy."""
    hedge = f"hedge_after_ms = {HEDGE_AFTER * SERVICE_MS}\n" if policy == HEDGED else ""
    policy = "score" if policy == HEDGED else policy
    return (
        '[[services]]\nname = "statusdesk"\nupstreams = ["statusdesk-*"]\n'
        f'longest_wait_ms = 10000\npolicy = "{policy}"\n{hedge}'
    )


def draw_slowdowns(seed: int) -> list[Span]:
    """Draw the spans in which an upstream is slow; the label is the upstream's name."""
    rng = random.Random(seed)
    spans = []
    at_s = rng.uniform(0.5, 1.5)
    while at_s < SECONDS:
        end_s = at_s + rng.uniform(0.02, 0.5)
        spans.append(Span(at_s, end_s, f"statusdesk-{rng.randint(1, UPSTREAMS)}"))
        at_s = end_s + rng.uniform(0.5, 1.5)
    return spans


def make_campaign(policy: str, seed: int, **keys) -> Campaign:
    """Return the campaign that sends the same load under every policy."""
    return Campaign(
        policy.replace(", ", "-").replace(" ", "-"), RATE, SECONDS, KINDS, seed=seed, **keys
    )


async def run_once(seed: int, direct: bool) -> Measurements:
    """Measure every policy once, in an order that rotates with the seed."""
    measurements = Measurements()
    spans = draw_slowdowns(seed)

    async def slow_down() -> None:
        for name in {span.label for span in spans}:
            own = [span for span in spans if span.label == name]
            changes = [Change(span.start_s * MILLISECONDS_IN_SECOND, factor=10.0) for span in own]
            changes += [Change(span.end_s * MILLISECONDS_IN_SECOND, factor=1.0) for span in own]
            await deployment.change(name, changes)

    description = describe_small_deployment([SERVICE])
    async with run_small_deployment(
        description, write_intent(POLICIES[0]), seed, direct
    ) as deployment:
        addresses = deployment.direct_addresses()
        campaign = make_campaign("direct", seed, at_start=slow_down, direct=addresses)
        await measurements.measure(deployment, "direct", campaign, spans)
        if direct:
            return measurements
        undisturbed = make_campaign("no slow-down", seed)
        await measurements.measure(deployment, "no slow-down", undisturbed)
        first = seed % len(POLICIES)
        for policy in POLICIES[first:] + POLICIES[:first]:
            await apply_intent(deployment, write_intent(policy))
            campaign = make_campaign(policy, seed, at_start=slow_down)
            await measurements.measure(deployment, policy, campaign, spans)
    return measurements
