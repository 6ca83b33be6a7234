import re
import time
import unittest
from pathlib import Path
from unittest import mock

import trio

from bendwind_node import main
from bendwind_node.clock import STEADY_CLOCK, SteadyClock, read_steady_clock

SOURCES = Path(__file__).parents[1]
# What people read, numbers of runs, and how long a disk takes.
OTHER_CLOCKS = {
    "daemon/build.py": {"time.time_ns"},
    "storage/measure.py": {"time.perf_counter"},
}
READ = re.compile(r"time\.(?:monotonic|perf_counter|time)(?:_ns)?(?=\()")


class ClockTest(unittest.TestCase):
    def test_steady_clock_counts_suspended_time(self):
        self.assertEqual(STEADY_CLOCK, time.CLOCK_BOOTTIME)
        before = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.assertTrue(before <= read_steady_clock() <= time.clock_gettime(time.CLOCK_BOOTTIME))

    def test_tasks_go_by_it_and_wait_by_it(self):
        async def run():
            before = read_steady_clock()
            await trio.sleep(0.01)
            return before + 0.01 <= trio.current_time() <= read_steady_clock()

        self.assertTrue(trio.run(run, clock=SteadyClock()))

    def test_daemon_runs_by_it(self):
        settings = mock.MagicMock()
        with (
            mock.patch.object(trio, "run") as run,
            mock.patch("bendwind_node.logs.configure_logging"),
        ):
            run.return_value.is_error.return_value = False
            main._run_checked(settings, Path("a.toml"))
        self.assertIsInstance(run.call_args.kwargs["clock"], SteadyClock)

    def test_no_other_clock_is_read_but_where_it_is_named_here(self):
        found = {}
        for file in sorted(SOURCES.rglob("*.py")):
            name = str(file.relative_to(SOURCES))
            if "tests/" not in name and (reads := set(READ.findall(file.read_text()))):
                found[name] = reads
        self.assertEqual(found, OTHER_CLOCKS)


if __name__ == "__main__":
    unittest.main()
