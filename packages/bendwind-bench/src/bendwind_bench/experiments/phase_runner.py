"""Run the phases of an experiment against a small deployment and measure them."""

import contextlib
from collections.abc import Sequence
from dataclasses import dataclass, field, replace

import trio

from bendwind_bench.campaign import Campaign, run_campaign
from bendwind_bench.deployment import (
    Deployment,
    DeploymentDescription,
    ServiceDescription,
    run_deployment,
)
from bendwind_bench.load import GuaranteeReport, Outcome, RequestKind, Sample
from bendwind_bench.operators import IntentRefusedError, apply_intent
from bendwind_bench.reports import summarize, summarize_latency
from bendwind_bench.reports.plot import Panel, Span

MILLISECONDS_IN_SECOND = 1000.0
SETTLE_S = 1.0
MEMORY_POLL_INTERVAL_S = 0.2
EXCLUDED_START_S = 0.5
# Outcomes that a caller sees as an error.
_ERRORS = (Outcome.FAILED, Outcome.UNKNOWN, Outcome.NOT_RUN, Outcome.REFUSED, Outcome.BROKEN)


@dataclass(frozen=True, slots=True)
class Phase:
    """Hold the results of one phase, without the samples of the first EXCLUDED_START_S."""

    samples: list[Sample]
    guarantees: GuaranteeReport
    seconds: float
    node_cpu_s: float
    peak_resident_kb: int

    def figures(self) -> dict[str, float]:
        """Return the figures that every experiment reports."""
        summary = summarize(self.samples)
        errors = sum(summary.outcomes.get(kind, 0) for kind in _ERRORS)
        whole = summary.outcomes.get(Outcome.WHOLE, 0)
        return {
            "calls": summary.sends,
            "p50 ms": summary.p50_ms,
            "p99 ms": summary.p99_ms,
            "errors %": 100.0 * errors / max(1, summary.sends),
            "late p99 ms": summarize_latency([sample.late_ms for sample in self.samples])[2],
            "whole/s": whole / self.seconds,
            "not-run": float(summary.outcomes.get(Outcome.NOT_RUN, 0)),
            "unknown": float(summary.outcomes.get(Outcome.UNKNOWN, 0)),
            "broken": float(len(self.guarantees.violations)),
        }

    def select(self, address: str) -> "Phase":
        """Return the phase with only the samples that were sent to one address."""
        own = [sample for sample in self.samples if sample.address == address]
        return replace(self, samples=own)

    @property
    def cpu_ms_per_call(self) -> float:
        """Return the processor time of all nodes, divided by the number of calls."""
        return self.node_cpu_s * MILLISECONDS_IN_SECOND / max(1, len(self.samples))


@dataclass(slots=True)
class Measurements:
    """Collect the figures, plot panels and violated guarantees of one run."""

    figures: dict[str, dict[str, float]] = field(default_factory=dict)
    panels: list[Panel] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    async def measure(
        self, deployment: Deployment, variant: str, campaign: Campaign, spans: Sequence[Span] = ()
    ) -> dict[str, float]:
        """Run a phase, record its results under the variant's name and return its figures."""
        phase = await run_phase(deployment, campaign)
        self.record_phase(variant, phase, spans)
        if deployment.nodes:
            self.figures[variant]["node CPU ms/call"] = phase.cpu_ms_per_call
        return self.figures[variant]

    def record_phase(self, variant: str, phase: Phase, spans: Sequence[Span] = ()) -> None:
        """Record a phase's figures, samples and violated guarantees."""
        self.figures[variant] = phase.figures()
        self.panels.append(Panel(variant, phase.samples, spans))
        self.violations += phase.guarantees.violations


def describe_small_deployment(
    services: list[ServiceDescription], voters: int = 3
) -> DeploymentDescription:
    """Describe a deployment of one data centre for each voter."""
    centres = [f"centre-{number}" for number in range(1, voters + 1)]
    return DeploymentDescription("scene", "bench", 0.0, 0.0, centres, voters, services, [])


@contextlib.asynccontextmanager
async def run_small_deployment(
    description: DeploymentDescription,
    intent: str,
    seed: int,
    direct: bool,
    kinds: Sequence[RequestKind] = (),
):
    """Run a deployment for the duration of the context.

    With nodes, the intent is in force and each kind of request is served before the context starts.
    """
    async with run_deployment(description, direct, seed) as deployment:
        if not direct:
            await apply_intent(deployment, intent)
            any_kinds = [RequestKind(service.name, "/") for service in description.services]
            if not await deployment.wait_served([*any_kinds, *kinds]):
                raise IntentRefusedError("not every kind of request is served at every node")
        yield deployment


async def measure_idle(deployment: Deployment, seconds: float) -> dict[str, float]:
    """Return the resources that the nodes use without calls, for control alone."""
    await trio.sleep(SETTLE_S)
    before = _sum_cpu(deployment)
    await trio.sleep(seconds)
    nodes = len(deployment.nodes)
    resident = [node.resident_kb() for node in deployment.nodes.values() if node.is_running]
    return {
        "CPU % of a core": 100.0 * (_sum_cpu(deployment) - before) / seconds / max(1, nodes),
        "resident kB": float(max(resident, default=0)),
    }


async def run_phase(deployment: Deployment, campaign: Campaign) -> Phase:
    """Send a load; measure the results that callers see and the resources that the nodes use."""
    await trio.sleep(SETTLE_S)
    cpu_before = _sum_cpu(deployment)
    peak = _PeakMemory(deployment)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(peak.poll)
        samples, guarantees = await run_campaign(deployment, campaign)
        nursery.cancel_scope.cancel()
    cpu = _sum_cpu(deployment) - cpu_before
    included = [sample for sample in samples if sample.at_s >= EXCLUDED_START_S]
    return Phase(
        included, guarantees, campaign.duration_s - EXCLUDED_START_S, cpu, peak.resident_kb
    )


@dataclass(slots=True)
class _PeakMemory:
    deployment: Deployment
    resident_kb: int = 0

    async def poll(self) -> None:
        while True:
            running = [node for node in self.deployment.nodes.values() if node.is_running]
            self.resident_kb = max([self.resident_kb, *(node.resident_kb() for node in running)])
            await trio.sleep(MEMORY_POLL_INTERVAL_S)


def _sum_cpu(deployment: Deployment) -> float:
    return sum(node.cpu_seconds() for node in deployment.nodes.values() if node.is_running)
