"""Measure the errors that callers see while an upstream fails fast."""

from bendwind_bench.campaign import Campaign
from bendwind_bench.experiments.phase_runner import (
    MILLISECONDS_IN_SECOND,
    Measurements,
    describe_small_deployment,
    run_small_deployment,
)
from bendwind_bench.experiments.slowdown import KINDS, POLICIES, RATE, SERVICE, write_intent
from bendwind_bench.operators import apply_intent
from bendwind_bench.reports.plot import Span
from bendwind_bench.reports.result import Check
from bendwind_bench.upstream import Change

TITLE = "Errors that callers see while an upstream fails fast"
ABOUT = (
    "The service, load and policies of the slow-down experiment, but one of the 4 upstreams "
    "answers 500 at once for the middle 6 of 8 seconds, so that it looks idle. The calls are "
    "idempotent. An error is anything but a whole answer of status 200."
)
CHECKS = [Check("errors with score, %", "score/errors %", 1.0)]
SECONDS = 8.0
FAILING = Span(1.0, 7.0, "statusdesk-2 fails")


async def run_once(seed: int, direct: bool) -> Measurements:
    """Measure every policy once."""
    measurements = Measurements()

    async def fail() -> None:
        begin = Change(FAILING.start_s * MILLISECONDS_IN_SECOND, fail_share=1.0)
        end = Change(FAILING.end_s * MILLISECONDS_IN_SECOND, fail_share=0.0)
        await deployment.change("statusdesk-2", [begin, end])

    intent = write_intent(POLICIES[0])
    async with run_small_deployment(
        describe_small_deployment([SERVICE]), intent, seed, direct
    ) as deployment:
        for policy in ("direct",) if direct else ("direct", *POLICIES[:3]):
            addresses = deployment.direct_addresses() if policy == "direct" else {}
            if policy != "direct":
                await apply_intent(deployment, write_intent(policy))
            campaign = Campaign(
                policy, RATE, SECONDS, KINDS, seed=seed, at_start=fail, direct=addresses
            )
            await measurements.measure(deployment, policy, campaign, [FAILING])
    return measurements
