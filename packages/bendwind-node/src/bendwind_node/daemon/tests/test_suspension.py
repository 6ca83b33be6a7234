"""Stop a process for longer than its lease, and check that nothing outlives that.

A machine stood still for seconds. The clock that the process went by left that time out: its proof
that it had the newest configuration, its leases and its callers' deadlines were as young as before.
"""

import json
import logging
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import trio

from bendwind_core.timeline import EventKind
from bendwind_node.clock import SteadyClock, read_steady_clock
from bendwind_node.daemon import run_daemon
from bendwind_node.settings import load_settings

LEASE_S = 0.5
SETTINGS = """
voters = [{ name = "a", host = "127.0.0.1", port = 1 }]
[instance]
name = "a"
data_centre = "x"
[peers]
host = "127.0.0.1"
port = 0
insecure = true
[callers]
host = "127.0.0.1"
port = 0
[control]
data_folder = "data"
[lease]
heartbeat_ms = 100
lease_ms = 500
"""


class SuspendedClock(SteadyClock):
    """Go by a steady clock that can be made to have stood still for a time."""

    __slots__ = ("omitted",)

    def __init__(self):
        self.omitted = 0.0

    def current_time(self):
        return read_steady_clock() + self.omitted

    def deadline_to_sleep_time(self, deadline):
        return deadline - self.current_time()


class Events(logging.Handler):
    """Keep the events that a process records, and wake whoever waits for one."""

    def __init__(self):
        super().__init__(logging.INFO)
        self.kinds = []
        self.news = trio.Event()

    def emit(self, record):
        event = getattr(record, "event", None)
        if event is not None:
            self.kinds.append(event.kind)
            self.news.set()

    async def wait(self, kind, since=0):
        while kind not in self.kinds[since:]:
            self.news = trio.Event()
            await self.news.wait()


class SuspensionTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name, "a.toml")
        self.file.write_text(SETTINGS)

    def test_proof_does_not_outlive_a_suspension_that_the_waiting_clock_leaves_out(self):
        events = Events()
        clock = SuspendedClock()
        logger = logging.getLogger("bendwind")
        logger.addHandler(events)
        self.addCleanup(logger.removeHandler, events)
        self.addCleanup(logger.setLevel, logger.level)
        logger.setLevel(logging.INFO)

        async def main():
            with trio.fail_after(600):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(run_daemon, load_settings(self.file).ok)
                    for gap in (1.0, 4.0, 20.0):
                        await events.wait(EventKind.FRESHNESS_GAINED, since=len(events.kinds) // 2)
                        seen = len(events.kinds)
                        clock.omitted += gap
                        await events.wait(EventKind.FRESHNESS_LOST, since=seen)
                        await events.wait(EventKind.FRESHNESS_GAINED, since=seen)
                    nursery.cancel_scope.cancel()

        trio.run(main, clock=clock)
        lost = events.kinds.count(EventKind.FRESHNESS_LOST)
        self.assertGreaterEqual(lost, 3)

    def test_stopped_process_knows_on_waking_that_its_proof_is_over(self):
        async def main():
            command = [sys.executable, "-m", "bendwind_node.main", "--config", str(self.file)]
            with trio.fail_after(600):
                process = await trio.lowlevel.open_process(command, stdout=subprocess.PIPE)
                names = read_names(process.stdout)
                try:
                    await read_up_to(names, "FRESHNESS_GAINED")
                    process.send_signal(signal.SIGSTOP)
                    await trio.sleep(3 * LEASE_S)
                    process.send_signal(signal.SIGCONT)
                    await read_up_to(names, "FRESHNESS_LOST")
                    await read_up_to(names, "FRESHNESS_GAINED")
                finally:
                    process.kill()
                    await process.wait()

        trio.run(main)


async def read_names(stream):
    """Yield the names of the events that a process logs."""
    data = b""
    async for part in stream:
        data += part
        *lines, data = data.split(b"\n")
        for line in lines:
            if line.startswith(b"{"):
                yield json.loads(line)["name"]


async def read_up_to(names, wanted):
    async for name in names:
        if name == wanted:
            return
    raise AssertionError(f"the process ended before {wanted}")


if __name__ == "__main__":
    unittest.main()
