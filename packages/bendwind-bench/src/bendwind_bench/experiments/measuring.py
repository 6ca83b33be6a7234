"""Measure what the nodes spend on measuring the load of upstreams."""

import timeit

from bendwind_bench.campaign import Campaign
from bendwind_bench.deployment import Deployment, ServiceDescription
from bendwind_bench.experiments.result import Check
from bendwind_bench.experiments.scene import MILLI, Measured, describe_scene, run_phase, run_scene
from bendwind_bench.load import RequestKind
from bendwind_core.attempts import AttemptId, NotRun, NotRunReason
from bendwind_core.messages import decode_message, encode_message
from bendwind_core.world import LoadSample

TITLE = "Cost of measuring"
ABOUT = (
    "Three upstreams with their nodes; load at 0.1, 1 and 10 times a normal 20 calls a second. "
    "`probes` are the load requests that the stand-ins counted. `sample B` are the bytes by which "
    "a load sample lengthens an answer between nodes, and `sample ms` the processor time to encode "
    "and decode it, timed in a loop in the bench's process; both are per 1,000 calls. `share %` is "
    "that time as a part of the nodes' processor time for the calls."
)
NORMAL = 20.0
TIMES = (0.1, 1.0, 10.0)
SECONDS = 8.0
BUDGET_PER_S = 20.0
CHECKS = [
    Check("share of measuring at 10 times, %", "10x/share %", 1.0),
    Check("share of measuring at 1 time, %", "1x/share %", 1.0),
    Check("probes a second and node at 10 times", "10x/probes/s", BUDGET_PER_S),
    Check("probes a second and node at 0.1 times", "0.1x/probes/s", BUDGET_PER_S),
]
KINDS = [RequestKind("desk", "/item", answer_bytes=(200, 400))]
INTENT = '[[services]]\nname = "desk"\nupstreams = ["desk-*"]\n'
UPSTREAMS = 3
REPEATS = 1000
ROUNDS = 20
PER = 1000.0


def measure_sample() -> tuple[float, float]:
    """Return the bytes of a load sample in a message, and the milliseconds to carry it."""
    attempt = AttemptId("centre-1-1", 1_790_000_000_000, 123_456)
    sample = LoadSample(5, 2, 12, 12.345678, 0.01)
    bare = NotRun(attempt, NotRunReason.SHED)
    laden = NotRun(attempt, NotRunReason.SHED, sample)
    extra_bytes = len(encode_message(laden)) - len(encode_message(bare))
    extra_s = _time_codec(laden) - _time_codec(bare)
    return float(extra_bytes), extra_s * MILLI / REPEATS


def _time_codec(message: NotRun) -> float:
    rounds = timeit.repeat(
        lambda: decode_message(encode_message(message)), number=REPEATS, repeat=ROUNDS
    )
    return min(rounds)


async def _count_probes(deployment: Deployment) -> float:
    names = [member.upstream.name for member in deployment.layout.members]
    return float(sum([(await deployment.counters(name))["loads"] for name in names]))


async def run_once(seed: int, direct: bool) -> Measured:
    """Measure each multiple of the normal traffic once."""
    measured = Measured()
    sample_bytes, sample_ms = measure_sample()
    service = ServiceDescription("desk", UPSTREAMS, 12, 200, 5.0)
    async with run_scene(describe_scene([service]), INTENT, seed, direct) as deployment:
        addresses = deployment.direct_addresses() if direct else {}
        for times in TIMES:
            before = await _count_probes(deployment)
            name = f"{times:g}x"
            campaign = Campaign(name, NORMAL * times, SECONDS, KINDS, seed=seed, direct=addresses)
            phase = await run_phase(deployment, campaign)
            probes = await _count_probes(deployment) - before
            call_ms = phase.cpu_ms_per_call
            measured.figures[name] = {
                "calls": float(len(phase.samples)),
                "probes/s": probes / SECONDS / UPSTREAMS,
                "sample B": sample_bytes * PER,
                "sample ms": sample_ms * PER,
                "node CPU ms": call_ms * PER,
                "share %": 100.0 * sample_ms / call_ms if call_ms else 0.0,
            }
            measured.broken += phase.verdict.broken
    return measured
