import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from bendwind_bench.emulator.command import emulate
from bendwind_bench.emulator.compare import Difference, Job, find_differences, parse_seeds, run_jobs
from bendwind_bench.emulator.tests.test_world import SMALL
from bendwind_bench.emulator.world import run_scenario

TEXT = """
name = "small"
about = "."
seconds = 1.0
[[services]]
name = "a"
upstreams = 2
slots = 4
[[routes]]
name = "r"
service = "a"
per_second = 30.0
work_ms = 50.0
target_ms = 200.0
timeout_ms = 800.0
"""


class CommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.file = self.folder / "small.toml"
        self.file.write_text(TEXT)

    def emulate(self, *scenarios, against="", seeds="1..2", plot="", json=""):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = emulate(scenarios or (str(self.file),), against, seeds, 1, plot, json)
        return code, out.getvalue(), err.getvalue()

    def test_table_plot_and_json_of_a_comparison(self):
        plot, file = self.folder / "p.png", self.folder / "r.json"
        code, out, err = self.emulate(against="services.a.slots=1", plot=str(plot), json=str(file))
        self.assertEqual(code, 0, err)
        self.assertIn("difference", out)
        self.assertRegex(out, r"(?m)^  r \(rank 0\) +[1-9]")
        self.assertRegex(out, r"(?m)^scenario +waited +seconds +back/call +for nothing")
        self.assertIn("0 runs left", err)
        self.assertTrue(plot.read_bytes().startswith(b"\x89PNG"))
        sides = [row["side"] for row in json.loads(file.read_bytes())]
        self.assertEqual(sides, ["services.a.slots=1", ""])

    def test_size_multiplies_upstreams_and_callers(self):
        with contextlib.redirect_stderr(io.StringIO()):
            counts = [
                run_jobs([Job(str(self.file), 1, size=size)], 1, lambda job: None)[0].requests
                for size in (1, 4)
            ]
        self.assertGreater(counts[1], 2 * counts[0])

    def test_several_keys_are_changed_together(self):
        code, out, err = self.emulate(against="services.a.slots=1 routes.r.priority=3")
        self.assertEqual(code, 0, err)
        self.assertRegex(out, r"(?m)^  r \(rank 3\)")
        code, _, err = self.emulate(against="services.a.slots=1 routes.none=3")
        self.assertEqual(code, 2)
        self.assertIn("expected a key of the scenario", err)

    def test_same_seeds_give_the_same_bytes(self):
        first, again = (self.emulate(json="-")[1] for _ in range(2))
        self.assertEqual(first, again)

    def test_bad_input_gives_one_line_with_the_expectation(self):
        cases = {
            "expected A..B": {"seeds": "x"},
            "expected A <= B": {"seeds": "5..2"},
            "expected a key of the scenario": {"against": "policy.none=1"},
            "--against": {"against": "no-such-revision"},
        }
        for text, arguments in cases.items():
            code, out, err = self.emulate(**arguments)
            self.assertEqual((code, out), (2, ""), arguments)
            self.assertIn(text, err)
            self.assertEqual(err.count("\n"), 1, err)
        self.assertEqual(emulate((str(self.file),), size=0), 2)
        code, _, err = self.emulate("nowhere.toml")
        self.assertEqual(code, 2)
        self.assertIn("expected a readable file or one of", err)


class CompareTest(unittest.TestCase):
    def test_seeds_are_parsed(self):
        self.assertEqual(list(parse_seeds("4").ok), [4])
        self.assertEqual(list(parse_seeds("4..6").ok), [4, 5, 6])

    def test_differences_are_paired_by_seed(self):
        runs = [run_scenario(SMALL, seed) for seed in (1, 2, 3)]
        same = find_differences(runs, runs)["in_time"]
        self.assertEqual((same.mean, same.error, same.is_clear), (0.0, 0.0, False))
        self.assertTrue(Difference(0.1, 0.04).is_clear)
        self.assertFalse(Difference(0.1, 0.06).is_clear)


if __name__ == "__main__":
    unittest.main()
