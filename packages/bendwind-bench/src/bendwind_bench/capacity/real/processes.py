"""Start, read and end the processes of a measurement."""

import contextlib
import sys
import tempfile
from pathlib import Path

import trio

from bendwind_bench.deployment import Process

_POLL_S = 0.02
_START_WITHIN_S = 20.0


class NotStartedError(Exception):
    """Report a process that did not print its line, with its log."""


@contextlib.contextmanager
def keep_processes():
    """Offer a function that starts a Python process; end all of them with the block."""
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
    with trio.move_on_after(_START_WITHIN_S):
        while process.is_running:
            text = process.log.read_text()
            if "\n" in text:
                return text.partition("\n")[0]
            await trio.sleep(_POLL_S)
    raise NotStartedError(process.log.read_text()[-2000:])


async def measure_cpu(processes: list[Process], seconds: float) -> list[float]:
    """Return the share of a core that each process takes over some seconds.

    Units: percent of one core.
    """
    before = [process.cpu_seconds() for process in processes]
    started = trio.current_time()
    await trio.sleep(seconds)
    elapsed = trio.current_time() - started
    return [
        100.0 * (process.cpu_seconds() - spent) / elapsed
        for process, spent in zip(processes, before, strict=True)
    ]
