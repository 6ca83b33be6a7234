"""Send load to a running deployment from worker processes while faults are injected."""

import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
import trio

from bendwind_bench.deployment import Deployment, Fault, Process, inject_faults
from bendwind_bench.load import (
    GuaranteeReport,
    LoadPlan,
    RequestKind,
    Sample,
    check_guarantees,
    read_runs,
)
from bendwind_core.core import Milliseconds, Seconds

WORKER_START_DELAY_S = 1.5
WORKER_END_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class Campaign:
    """Describe one load, the faults during it and the number of processes that send it."""

    name: str
    rate: float
    duration_s: Seconds
    kinds: list[RequestKind]
    faults: list[Fault] = field(default_factory=list)
    entries: list[str] | None = None
    direct: dict[str, list[str]] = field(default_factory=dict)
    seed: int = 0
    workers: int = 1
    client_delay_ms: Milliseconds = 0.0
    timeout_ms: Milliseconds = 5000.0
    at_start: Callable[[], Awaitable[None]] | None = None


async def run_campaign(
    deployment: Deployment, campaign: Campaign, report=None
) -> tuple[list[Sample], GuaranteeReport]:
    """Send the load, inject the faults and check the promises against the answers."""
    start_at = time.time() + WORKER_START_DELAY_S
    workers = [
        _start_worker(deployment, _make_load_plan(deployment, campaign, index, start_at))
        for index in range(campaign.workers)
    ]
    try:
        await trio.sleep(start_at - time.time())
        if campaign.at_start is not None:
            await campaign.at_start()
        await inject_faults(deployment, campaign.faults, report)
        await _wait_for_workers(workers, start_at + campaign.duration_s + WORKER_END_TIMEOUT_S)
    finally:
        for worker in workers:
            worker.kill()
    samples = [sample for worker in workers for sample in _read_samples(worker)]
    return samples, check_guarantees(samples, read_runs(deployment.runs_files))


def _make_load_plan(
    deployment: Deployment, campaign: Campaign, index: int, start_at: Seconds
) -> LoadPlan:
    return LoadPlan(
        name=f"{campaign.name}-{index}",
        start_at=start_at,
        duration_s=campaign.duration_s,
        rate=campaign.rate / campaign.workers,
        kinds=campaign.kinds,
        entries=deployment.entries if campaign.entries is None else campaign.entries,
        seed=campaign.seed,
        client_delay_ms=campaign.client_delay_ms,
        timeout_ms=campaign.timeout_ms,
        direct=campaign.direct,
    )


def _start_worker(deployment: Deployment, plan: LoadPlan) -> Process:
    folder = deployment.layout.folder
    file = folder / f"load-{plan.name}.json"
    file.write_bytes(msgspec.json.encode(plan))
    command = [sys.executable, "-m", "bendwind_bench", "load", f"--plan={file}"]
    out = file.with_suffix(".samples")
    worker = Process(plan.name, [*command, f"--out={out}"], file.with_suffix(".log"))
    worker.start()
    return worker


async def _wait_for_workers(workers: list[Process], deadline: Seconds) -> None:
    while any(worker.is_running for worker in workers) and time.time() < deadline:
        await trio.sleep(POLL_INTERVAL_S)


def _read_samples(worker: Process) -> list[Sample]:
    out = worker.log.with_suffix(".samples")
    if not out.exists():
        raise RuntimeError(f"load worker {worker.name} failed\n{worker.log.read_text()}")
    return msgspec.json.decode(out.read_bytes(), type=list[Sample])
