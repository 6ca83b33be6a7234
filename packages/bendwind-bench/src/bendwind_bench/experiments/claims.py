"""Measure the latency that a claim adds to a call, and the rate of claims that a group sustains."""

from bendwind_bench.campaign import Campaign
from bendwind_bench.experiments.added_latency import describe_solo
from bendwind_bench.experiments.phase_runner import Measurements, run_small_deployment
from bendwind_bench.load import RequestKind

TITLE = "Claims: latency added, and claims a second"
ABOUT = (
    "One upstream that answers at once, three nodes; marked requests enter at its own node. "
    "`unkeyed` ones are not claimed. `keyed` ones are claimed before they run; a fifth of those in "
    "`resent` is sent twice. The other rows raise the rate until claims no longer keep up. `added` "
    "is the difference of the percentiles from unkeyed in the same run."
)
CHECKS = []
RATE = 50.0
RATES = (100.0, 200.0, 400.0)
SECONDS = 6.0
TIMEOUT_MS = 3000.0
INTENT = "".join(
    f'[[services]]\nname = "{name}"\nupstreams = ["{name}-*"]\n\n'
    '[[services.rules]]\npath = "/issue"\nmethods = ["POST"]\nrepeat = "never"\n\n'
    for name in ("solo", "second", "third")
)
PLAIN = RequestKind("solo", "/issue", "POST", marked=True, request_bytes=300, chunked=0.0)
KEYED = RequestKind(
    "solo", "/issue", "POST", marked=True, keyed=True, request_bytes=300, chunked=0.0
)
RESENT = RequestKind(
    "solo", "/issue", "POST", marked=True, keyed=True, resend=0.2, request_bytes=300, chunked=0.0
)


async def run_once(seed: int, direct: bool) -> Measurements:
    """Measure requests without and with keys, then increasing rates of claims."""
    measurements = Measurements()
    steps = [("unkeyed", PLAIN, RATE), ("keyed", KEYED, RATE), ("resent", RESENT, RATE)]
    steps += [(f"keyed, {rate:.0f} a second", KEYED, rate) for rate in RATES]
    async with run_small_deployment(describe_solo(), INTENT, seed, direct, [KEYED]) as deployment:
        keys = {"entries": [deployment.layout.members[0].callers_address]}
        if direct:
            keys = {"direct": deployment.direct_addresses()}
        for variant, kind, rate in steps:
            name = variant.replace(" ", "-")
            campaign = Campaign(
                name, rate, SECONDS, [kind], seed=seed, timeout_ms=TIMEOUT_MS, **keys
            )
            figures = await measurements.measure(deployment, variant, campaign)
            for mark in ("p50 ms", "p99 ms"):
                figures[f"added {mark}"] = figures[mark] - measurements.figures["unkeyed"][mark]
    return measurements
