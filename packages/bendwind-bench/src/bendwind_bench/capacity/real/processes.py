"""Start, observe and kill the processes of a measurement."""

import contextlib
import sys
import tempfile
from pathlib import Path

import trio

from bendwind_bench.deployment import Process

_POLL_INTERVAL_S = 0.02
_START_TIMEOUT_S = 20.0


class NotStartedError(Exception):
    """Report that a process did not print its first line; the message is the end of its log."""


@contextlib.contextmanager
def manage_processes():
    """Yield a function that starts a Python process; kill all processes at the end of the block."""
    processes: list[Process] = []
    with tempfile.TemporaryDirectory() as folder:

        def start(arguments: list[str]) -> Process:
            name = f"process-{len(processes)}"
            command = [sys.executable, *arguments]
            process = Process(name, command, Path(folder) / f"{name}.log")
            processes.append(process)
            process.start()
            return process

        try:
            yield start
        finally:
            for process in processes:
                process.kill()


async def read_line(process: Process) -> str:
    """Wait for the first line that a process prints.

    Errors: raises NotStartedError.
    """
    with trio.move_on_after(_START_TIMEOUT_S):
        while process.is_running:
            text = process.log.read_text()
            if "\n" in text:
                return text.partition("\n")[0]
            await trio.sleep(_POLL_INTERVAL_S)
    raise NotStartedError(process.log.read_text()[-2000:])


async def measure_cpu(processes: list[Process], seconds: float) -> list[float]:
    """Return the share of a core that each process uses over this many seconds.

    Units: percent of one core.
    """
    before = [process.cpu_seconds() for process in processes]
    started = trio.current_time()
    await trio.sleep(seconds)
    elapsed = trio.current_time() - started
    return [
        100.0 * (process.cpu_seconds() - cpu_before_s) / elapsed
        for process, cpu_before_s in zip(processes, before, strict=True)
    ]
