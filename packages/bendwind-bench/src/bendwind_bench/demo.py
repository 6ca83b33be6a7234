"""Show a deployment at work: an intent planned and confirmed, calls, a drain and a planned stop."""

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
DRAIN_WITHIN_S = 2.0
COMMAND_WITHIN_S = 30.0
TIMELINE_LINES = 15
PLAN_ID = re.compile(r"\bp\d+\b")
# Reasons for `unknown` that a planned stop must never cause; a passed deadline is not among them.
CUTS = ("connection ended", "link-lost", "body-cut", "owner-restarted", "upstream-reset")


class CommandFailedError(Exception):
    """Report a command of `bendwind` that failed."""


@dataclass(slots=True)
class Demo:
    """Own a running deployment and collect what went wrong."""

    deployment: Deployment
    started_at: float
    broken: list[str] = field(default_factory=list)

    def say(self, text: str) -> None:
        """Print a line of progress."""
        print(f"[{time.monotonic() - self.started_at:5.1f} s] {text}", flush=True)

    async def bendwind(self, *arguments: str, most_lines: int = 0) -> str:
        """Run the operators' command line and show it and the last lines it prints, 0 for all."""
        self.say(f"$ bendwind {' '.join(arguments)}")
        command = [
            sys.executable,
            "-m",
            "bendwind_cli.main",
            *arguments,
            f"--settings={self.deployment.layout.client_file}",
        ]
        with trio.fail_after(COMMAND_WITHIN_S):
            done = await trio.run_process(
                command, capture_stdout=True, stderr=subprocess.STDOUT, check=False
            )
        text = done.stdout.decode(errors="replace").rstrip()
        print("\n".join(f"    {line}" for line in text.splitlines()[-most_lines:]), flush=True)
        if done.returncode:
            raise CommandFailedError(f"bendwind {arguments[0]} ended with {done.returncode}")
        return text

    async def state_intent(self, intent: Path) -> None:
        """Have the intent planned, read the plan, confirm it and wait until calls are served."""
        plan = PLAN_ID.search(await self.bendwind("plan", str(intent)))
        if plan is None:
            raise CommandFailedError("bendwind plan printed no plan's id")
        await self.bendwind("confirm", plan.group())
        self.say("waiting until every node serves every kind of request")
        if not await self.deployment.wait_served(self.deployment.layout.description.requests):
            self.broken.append("a service was not served everywhere within 60 s of its plan")
        await self.bendwind("status")

    async def drain_and_stop(self, upstream: str, instance: str) -> None:
        """Drain an upstream and stop an instance while calls run."""
        try:
            await self._drain_and_stop(upstream, instance)
        except (CommandFailedError, trio.TooSlowError) as error:
            self.broken.append(str(error) or "bendwind did not end")

    async def _drain_and_stop(self, upstream: str, instance: str) -> None:
        await trio.sleep(DRAIN_AT_S)
        await self.bendwind("drain", upstream, "--kind=upstream")
        await trio.sleep(DRAIN_WITHIN_S)
        before = (await self.deployment.read_counters(upstream))["runs"]
        await trio.sleep(STOP_AT_S - DRAIN_AT_S - DRAIN_WITHIN_S)
        self.deployment.nodes[instance].is_expected_down = True
        await self.bendwind("stop", instance)
        await trio.sleep(SECONDS - STOP_AT_S)
        after = (await self.deployment.read_counters(upstream))["runs"]
        if after > before:
            self.broken.append(
                f"{upstream} got {after - before} requests after {DRAIN_WITHIN_S:.0f} s of draining"
            )
        if self.deployment.nodes[instance].is_running:
            self.broken.append(f"{instance} has not ended {SECONDS - STOP_AT_S:.0f} s after `stop`")

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
        self.say(f"sending {RATE:.0f} calls a second for {SECONDS:.0f} s, resends among them")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.drain_and_stop, upstream, instance)
            samples, verdict = await run_campaign(self.deployment, campaign)
        print(f"\n{format_summary_table(samples, verdict)}\n", flush=True)
        self.broken += verdict.violations + self._find_faults(samples)

    def _find_faults(self, samples: list[Sample]) -> list[str]:
        faults = [
            f"{sample.request} of {sample.service} was cut: {sample.reason}"
            for sample in samples
            if sample.outcome is Outcome.UNKNOWN and sample.reason.startswith(CUTS)
        ]
        for service in self.deployment.layout.description.services:
            own = [sample for sample in samples if sample.service == service.name]
            if not any(sample.outcome is Outcome.WHOLE for sample in own):
                faults.append(f"no call of {service.name} got a whole answer")
        return faults


async def run_demo(name: str) -> int:
    """Run the demo of a deployment; the exit code is 0 when every promise held."""
    description, intent = find_description(name)
    nodes = sum(service.upstreams for service in description.services)
    print(f"{name}: starting {nodes} stand-in upstreams and {nodes} bendwindd", flush=True)
    started_at = time.monotonic()
    broken = []
    try:
        async with run_deployment(description) as deployment:
            demo = Demo(deployment, started_at)
            demo.say(f"all are ready; their logs are in {deployment.layout.folder}")
            broken = demo.broken
            await _run_steps(demo, intent)
    except (CommandFailedError, IntentRefusedError, RuntimeError, trio.TooSlowError) as error:
        broken.append(f"{type(error).__name__}: {error}")
    for line in broken:
        print(f"broken: {line}")
    print(f"demo: broken: {len(broken)}, first: {broken[0]}" if broken else "demo: ok")
    return 1 if broken else 0


async def _run_steps(demo: Demo, intent: Path) -> None:
    await demo.state_intent(intent)
    upstream = demo.deployment.layout.members[1].upstream.name
    instance = demo.deployment.layout.members[-1].name
    await demo.send_calls(upstream, instance)
    await demo.bendwind("timeline", f"--limit={TIMELINE_LINES}", most_lines=TIMELINE_LINES)
    demo.say("ending every process")
