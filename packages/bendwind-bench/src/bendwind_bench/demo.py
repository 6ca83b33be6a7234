"""Demonstrate a deployment: plan and confirm an intent, send calls, drain and stop."""

import re
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import trio

from bendwind_bench.campaign import Campaign, run_campaign
from bendwind_bench.deployment import Deployment, find_description, run_deployment
from bendwind_bench.load import Outcome, Sample
from bendwind_bench.operators import IntentRefusedError
from bendwind_bench.reports import format_summary_table

RATE = 120.0
SECONDS = 12.0
DRAIN_AT_S = 3.0
STOP_AT_S = 6.0
DRAIN_TIMEOUT_S = 2.0
COMMAND_TIMEOUT_S = 30.0
TIMELINE_LINES = 15
PLAN_ID = re.compile(r"\bp\d+\b")
# Reasons of the outcome `unknown` that a planned stop must never cause. A passed deadline is not
# one of them.
CUT_REASONS = ("connection ended", "link-lost", "body-cut", "owner-restarted", "upstream-reset")


class CommandFailedError(Exception):
    """Report that a `bendwind` command failed."""


@dataclass(slots=True)
class Demo:
    """Run the steps of the demo on a deployment and collect their failures."""

    deployment: Deployment
    started_at: float
    failures: list[str] = field(default_factory=list)

    def print_progress(self, text: str) -> None:
        """Print a progress line with the time since the start."""
        print(f"[{time.monotonic() - self.started_at:5.1f} s] {text}", flush=True)

    async def run_bendwind(self, *arguments: str, max_lines: int = 0) -> str:
        """Run an operators' command; print it and its last `max_lines` output lines, 0 for all."""
        self.print_progress(f"$ bendwind {' '.join(arguments)}")
        command = [
            sys.executable,
            "-m",
            "bendwind_cli.main",
            *arguments,
            f"--settings={self.deployment.layout.client_file}",
        ]
        with trio.fail_after(COMMAND_TIMEOUT_S):
            done = await trio.run_process(
                command, capture_stdout=True, stderr=subprocess.STDOUT, check=False
            )
        text = done.stdout.decode(errors="replace").rstrip()
        print("\n".join(f"    {line}" for line in text.splitlines()[-max_lines:]), flush=True)
        if done.returncode:
            raise CommandFailedError(f"bendwind {arguments[0]} ended with {done.returncode}")
        return text

    async def confirm_intent(self, intent: Path) -> None:
        """Create a plan for the intent, confirm it and wait until calls are served."""
        plan = PLAN_ID.search(await self.run_bendwind("plan", str(intent)))
        if plan is None:
            raise CommandFailedError("bendwind plan printed no plan id")
        await self.run_bendwind("confirm", plan.group())
        self.print_progress("waiting until every node serves every kind of request")
        if not await self.deployment.wait_served(self.deployment.layout.description.requests):
            self.failures.append("a service was not served on every node within 60 s of its plan")
        await self.run_bendwind("status")

    async def drain_and_stop(self, upstream: str, instance: str) -> None:
        """Drain an upstream and stop an instance while calls run; record failures."""
        try:
            await self._drain_and_stop(upstream, instance)
        except (CommandFailedError, trio.TooSlowError) as error:
            self.failures.append(str(error) or "a bendwind command did not end in time")

    async def _drain_and_stop(self, upstream: str, instance: str) -> None:
        await trio.sleep(DRAIN_AT_S)
        await self.run_bendwind("drain", upstream, "--kind=upstream")
        await trio.sleep(DRAIN_TIMEOUT_S)
        before = (await self.deployment.read_counters(upstream))["runs"]
        await trio.sleep(STOP_AT_S - DRAIN_AT_S - DRAIN_TIMEOUT_S)
        self.deployment.nodes[instance].is_expected_down = True
        await self.run_bendwind("stop", instance)
        await trio.sleep(SECONDS - STOP_AT_S)
        after = (await self.deployment.read_counters(upstream))["runs"]
        if after > before:
            self.failures.append(
                f"{upstream} received {after - before} requests after it had drained for "
                f"{DRAIN_TIMEOUT_S:.0f} s"
            )
        if self.deployment.nodes[instance].is_running:
            self.failures.append(
                f"{instance} is still running {SECONDS - STOP_AT_S:.0f} s after `stop`"
            )

    async def send_calls(self, upstream: str, instance: str) -> None:
        """Send calls of every service while an upstream drains and an instance stops."""
        description = self.deployment.layout.description
        campaign = Campaign(
            name="demo",
            rate=RATE,
            duration_s=SECONDS,
            kinds=description.requests,
            client_delay_ms=description.client_delay_ms,
            timeout_ms=10_000.0,
        )
        self.print_progress(
            f"sending {RATE:.0f} calls per second for {SECONDS:.0f} s, including resends"
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.drain_and_stop, upstream, instance)
            samples, verdict = await run_campaign(self.deployment, campaign)
        print(f"\n{format_summary_table(samples, verdict)}\n", flush=True)
        self.failures += verdict.violations + self._find_failures(samples)

    def _find_failures(self, samples: list[Sample]) -> list[str]:
        failures = [
            f"{sample.request} of {sample.service} was interrupted: {sample.reason}"
            for sample in samples
            if sample.outcome is Outcome.UNKNOWN and sample.reason.startswith(CUT_REASONS)
        ]
        for service in self.deployment.layout.description.services:
            service_samples = [sample for sample in samples if sample.service == service.name]
            if not any(sample.outcome is Outcome.WHOLE for sample in service_samples):
                failures.append(f"no call of {service.name} received a whole answer")
        return failures


async def run_demo(name: str) -> int:
    """Run the demo of a deployment; return exit code 0 if every promise was kept."""
    description, intent = find_description(name)
    node_count = sum(service.upstreams for service in description.services)
    print(
        f"{name}: starting {node_count} simulated upstreams and {node_count} bendwindd processes",
        flush=True,
    )
    started_at = time.monotonic()
    failures = []
    try:
        async with run_deployment(description) as deployment:
            demo = Demo(deployment, started_at)
            demo.print_progress(
                f"all processes are ready; their logs are in {deployment.layout.folder}"
            )
            failures = demo.failures
            await _run_steps(demo, intent)
    except (CommandFailedError, IntentRefusedError, RuntimeError, trio.TooSlowError) as error:
        failures.append(f"{type(error).__name__}: {error}")
    for line in failures:
        print(f"broken: {line}")
    print(f"demo: broken: {len(failures)}, first: {failures[0]}" if failures else "demo: ok")
    return 1 if failures else 0


async def _run_steps(demo: Demo, intent: Path) -> None:
    await demo.confirm_intent(intent)
    upstream = demo.deployment.layout.members[1].upstream.name
    instance = demo.deployment.layout.members[-1].name
    await demo.send_calls(upstream, instance)
    await demo.run_bendwind("timeline", f"--limit={TIMELINE_LINES}", max_lines=TIMELINE_LINES)
    demo.print_progress("stopping all processes")
