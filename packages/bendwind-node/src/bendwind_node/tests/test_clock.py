import re
import time
import unittest
from pathlib import Path
from unittest import mock

import trio

from bendwind_node import main
from bendwind_node.clock import STEADY_CLOCK, SteadyClock, read_steady_clock
from bendwind_node.settings import parse_settings
from bendwind_node.settings.tests.test_load import PLAIN

SOURCES = Path(__file__).parents[1]
# Times shown to people and incarnation numbers; the duration of disk operations.
OTHER_CLOCKS = {
    "daemon/build.py": {"time.time_ns"},
    "storage/measure.py": {"time.perf_counter"},
}
CLOCK_CALL = re.compile(r"time\.(?:monotonic|perf_counter|time)(?:_ns)?(?=\()")


class ClockTest(unittest.TestCase):
    def test_steady_clock_counts_suspended_time(self):
        self.assertEqual(STEADY_CLOCK, time.CLOCK_BOOTTIME)
        before = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.assertTrue(before <= read_steady_clock() <= time.clock_gettime(time.CLOCK_BOOTTIME))

    def test_tasks_read_and_wait_by_the_steady_clock(self):
        async def run():
            before = read_steady_clock()
            await trio.sleep(0.01)
            return before + 0.01 <= trio.current_time() <= read_steady_clock()

        self.assertTrue(trio.run(run, clock=SteadyClock()))

    def test_daemon_uses_the_steady_clock(self):
        settings = parse_settings(PLAIN.encode(), "a.toml").ok
        with (
            mock.patch.object(trio, "run") as run,
            mock.patch("bendwind_node.daemon.process.configure_logging"),
        ):
            run.return_value.is_error.return_value = False
            main._run_checked(settings, Path("a.toml"))
        self.assertIsInstance(run.call_args.kwargs["clock"], SteadyClock)

    def test_other_clocks_are_read_only_in_the_listed_modules(self):
        found = {}
        for file in sorted(SOURCES.rglob("*.py")):
            name = str(file.relative_to(SOURCES))
            if "tests/" not in name and (reads := set(CLOCK_CALL.findall(file.read_text()))):
                found[name] = reads
        self.assertEqual(found, OTHER_CLOCKS)


if __name__ == "__main__":
    unittest.main()
