"""Inject faults into a running deployment on a schedule."""

import enum
import shutil
import signal

import msgspec
import trio

from bendwind_bench.deployment.runner import Deployment
from bendwind_bench.upstream import Change
from bendwind_core.core import Seconds


class Action(enum.StrEnum):
    """List the actions of a fault on its target."""

    KILL = "kill"
    FREEZE = "freeze"
    THAW = "thaw"
    STOP = "stop"
    START = "start"
    RESTART = "restart"
    RELOAD = "reload"
    WIPE = "wipe"
    CHANGE = "change"


class Fault(msgspec.Struct, frozen=True):
    """Describe an action on the process or stand-in named `target`, `at_s` after the start."""

    at_s: Seconds
    action: Action
    target: str
    change: Change = Change()

    @property
    def label(self) -> str:
        """Return a short text for reports and plots."""
        if self.action is not Action.CHANGE:
            return f"{self.action} {self.target}"
        changed = msgspec.to_builtins(self.change)
        return f"{self.target} " + " ".join(f"{key}={value}" for key, value in changed.items())


async def inject_faults(deployment: Deployment, faults: list[Fault], report=None) -> None:
    """Inject each fault at its time, counted from now, and report its label when it starts."""
    start = trio.current_time()
    async with trio.open_nursery() as nursery:
        for fault in sorted(faults, key=lambda fault: fault.at_s):
            await trio.sleep_until(start + fault.at_s)
            if report is not None:
                report(fault.label)
            nursery.start_soon(inject_fault, deployment, fault)


async def inject_fault(deployment: Deployment, fault: Fault) -> int | None:
    """Inject a fault now; return the exit code that a planned stop ended with, if it is one."""
    process = deployment.find_process(fault.target)
    match fault.action:
        case Action.KILL:
            process.kill()
        case Action.FREEZE:
            process.signal(signal.SIGSTOP)
        case Action.THAW:
            process.signal(signal.SIGCONT)
        case Action.STOP:
            return await process.stop()
        case Action.START:
            await process.start_again()
        case Action.RELOAD:
            process.signal(signal.SIGHUP)
        case Action.RESTART:
            process.kill()
            process.start()
        case Action.WIPE:
            process.kill()
            shutil.rmtree(deployment.layout.folder / f"{fault.target}.data", ignore_errors=True)
            process.start()
        case Action.CHANGE:
            await deployment.change(fault.target, [fault.change])
    return None
