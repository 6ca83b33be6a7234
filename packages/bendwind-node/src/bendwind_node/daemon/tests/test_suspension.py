"""Test that proofs of freshness expire while a process is suspended for longer than its lease.

A machine was suspended for seconds, and the clock of the process did not count that time. After it
the process still considered its proof of the newest configuration, its leases and its callers'
deadlines as valid as before.
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
    """Return the time of a steady clock plus the simulated time of suspensions."""

    __slots__ = ("omitted",)

    def __init__(self):
        self.omitted = 0.0

    def current_time(self):
        return read_steady_clock() + self.omitted

    def deadline_to_sleep_time(self, deadline):
        return deadline - self.current_time()


class EventCollector(logging.Handler):
    """Record the kinds of events that a process logs, and wake the tasks that wait for one."""

    def __init__(self):
        super().__init__(logging.INFO)
        self.kinds = []
        self.has_new_event = trio.Event()

    def emit(self, record):
        event = getattr(record, "event", None)
        if event is not None:
            self.kinds.append(event.kind)
            self.has_new_event.set()

    async def wait(self, kind, since=0):
        while kind not in self.kinds[since:]:
            self.has_new_event = trio.Event()
            await self.has_new_event.wait()


class SuspensionTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name, "a.toml")
        self.file.write_text(SETTINGS)

    def test_proof_expires_in_a_suspension_that_the_sleep_clock_leaves_out(self):
        events = EventCollector()
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

    def test_resumed_process_detects_that_its_proof_has_expired(self):
        async def main():
            command = [sys.executable, "-m", "bendwind_node.main", "--config", str(self.file)]
            with trio.fail_after(600):
                process = await trio.lowlevel.open_process(command, stdout=subprocess.PIPE)
                names = read_names(process.stdout)
                try:
                    await read_until(names, "FRESHNESS_GAINED")
                    process.send_signal(signal.SIGSTOP)
                    await trio.sleep(3 * LEASE_S)
                    process.send_signal(signal.SIGCONT)
                    await read_until(names, "FRESHNESS_LOST")
                    await read_until(names, "FRESHNESS_GAINED")
                finally:
                    process.kill()
                    await process.wait()

        trio.run(main)


async def read_names(stream):
    """Yield the name of each event that a process logs."""
    data = b""
    async for part in stream:
        data += part
        *lines, data = data.split(b"\n")
        for line in lines:
            if line.startswith(b"{"):
                yield json.loads(line)["name"]


async def read_until(names, wanted):
    async for name in names:
        if name == wanted:
            return
    raise AssertionError(f"the process ended before {wanted}")


if __name__ == "__main__":
    unittest.main()
