"""Measure the cost to the nodes of measuring the load of upstreams."""

import timeit
from dataclasses import dataclass

from bendwind_bench.campaign import Campaign
from bendwind_bench.deployment import Deployment, ServiceDescription
from bendwind_bench.experiments.phase_runner import (
    MILLISECONDS_IN_SECOND,
    Measurements,
    describe_small_deployment,
    run_phase,
    run_small_deployment,
)
from bendwind_bench.load import RequestKind
from bendwind_bench.operators import read_metrics
from bendwind_bench.reports.result import Check
from bendwind_core.attempts import AttemptId, NotRun, NotRunReason
from bendwind_core.messages import PeerMessage, decode_message, encode_message
from bendwind_core.routing import LoadProbe, LoadReport
from bendwind_core.world import LoadSample

TITLE = "Cost of measuring"
ABOUT = (
    "Three upstreams with their nodes; load at 0.1, 1 and 10 times a normal 20 calls a second. "
    "`messages/s` are the load probes asked and answered a second and node, from the nodes' "
    "metrics. `B` and `CPU ms` are what these probes and the load samples on answers take for "
    "1,000 calls: the bytes of the messages, and the processor time to encode and decode them, "
    "timed in a loop in the bench's process. `share %` is that time as a part of the nodes' "
    "processor time."
)
NORMAL_RATE = 20.0
TIMES = (0.1, 1.0, 10.0)
SECONDS = 8.0
# Default of the setting measuring.messages_per_s.
BUDGET_PER_S = 20.0
CHECKS = [
    Check("share of measuring at 0.1 times, %", "0.1x/share %", 1.0),
    Check("share of measuring at 1 time, %", "1x/share %", 1.0),
    Check("share of measuring at 10 times, %", "10x/share %", 1.0),
    Check("messages a second and node at 0.1 times", "0.1x/messages/s", BUDGET_PER_S),
    Check("messages a second and node at 1 time", "1x/messages/s", BUDGET_PER_S),
    Check("messages a second and node at 10 times", "10x/messages/s", BUDGET_PER_S),
]
KINDS = [RequestKind("status", "/item", answer_bytes=(200, 400))]
INTENT = '[[services]]\nname = "status"\nupstreams = ["status-*"]\n'
UPSTREAMS = 3
REPEATS = 1000
ROUNDS = 20
CALLS_PER_FIGURE = 1000.0
SAMPLE = LoadSample(5, 2, 12, 12.345678, 0.01)


@dataclass(frozen=True, slots=True)
class Cost:
    """Hold the bytes and the processor time in milliseconds of one message."""

    size: float
    cpu_ms: float


def measure_message(message: PeerMessage) -> Cost:
    """Measure the size of a message and the time to encode and decode it once."""
    rounds = timeit.repeat(
        lambda: decode_message(encode_message(message)), number=REPEATS, repeat=ROUNDS
    )
    return Cost(len(encode_message(message)), min(rounds) * MILLISECONDS_IN_SECOND / REPEATS)


def measure_sample() -> Cost:
    """Measure the cost that a load sample adds to an answer."""
    attempt = AttemptId("centre-1-1", 1_790_000_000_000, 123_456)
    bare = measure_message(NotRun(attempt, NotRunReason.SHED))
    with_sample = measure_message(NotRun(attempt, NotRunReason.SHED, SAMPLE))
    return Cost(with_sample.size - bare.size, max(0.0, with_sample.cpu_ms - bare.cpu_ms))


def measure_probe() -> Cost:
    """Measure the mean cost of a probe and its reply, which are equally frequent."""
    probe = measure_message(LoadProbe("status-1"))
    report = measure_message(LoadReport("status-1", "status", SAMPLE))
    return Cost((probe.size + report.size) / 2, (probe.cpu_ms + report.cpu_ms) / 2)


async def _count_probes(deployment: Deployment) -> float:
    if deployment.direct:
        return 0.0
    total = 0.0
    for member in deployment.layout.members:
        metrics = await read_metrics(member.operators_address)
        total += metrics["bendwind_load_probes_total"]
    return total


async def run_once(seed: int, direct: bool) -> Measurements:
    """Measure each multiple of the normal rate once."""
    measurements = Measurements()
    sample = measure_sample()
    probe = measure_probe()
    service = ServiceDescription("status", UPSTREAMS, 12, 200, 5.0)
    async with run_small_deployment(
        describe_small_deployment([service]), INTENT, seed, direct
    ) as deployment:
        addresses = deployment.direct_addresses() if direct else {}
        for times in TIMES:
            before = await _count_probes(deployment)
            name = f"{times:g}x"
            campaign = Campaign(
                name, NORMAL_RATE * times, SECONDS, KINDS, seed=seed, direct=addresses
            )
            phase = await run_phase(deployment, campaign)
            probes = await _count_probes(deployment) - before
            calls = float(len(phase.samples))
            cpu_ms = probes * probe.cpu_ms + calls * sample.cpu_ms
            measurements.figures[name] = {
                "calls": calls,
                "messages/s": probes / SECONDS / UPSTREAMS,
                "B": (probes * probe.size + calls * sample.size) * CALLS_PER_FIGURE / calls,
                "CPU ms": cpu_ms * CALLS_PER_FIGURE / calls,
                "node CPU ms": phase.cpu_ms_per_call * CALLS_PER_FIGURE,
                "share %": 100.0 * cpu_ms / max(phase.node_cpu_s * MILLISECONDS_IN_SECOND, 1.0),
            }
            measurements.violations += phase.guarantees.violations
    return measurements
