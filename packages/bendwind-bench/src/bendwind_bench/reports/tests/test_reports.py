import unittest

from bendwind_bench.load import Outcome, Sample
from bendwind_bench.reports import summarize
from bendwind_bench.reports.result import Check, Result


def make_sample(latency_ms, outcome=Outcome.WHOLE):
    return Sample(0.0, latency_ms, "emisor", outcome, 200, "", "r", 0, "a:1")


class SummaryTests(unittest.TestCase):
    def test_latencies_include_only_whole_answers(self):
        samples = [make_sample(float(ms)) for ms in range(1, 101)]
        summary = summarize([*samples, make_sample(9000.0, Outcome.UNKNOWN)])
        self.assertEqual(summary.outcomes, {"whole": 100, "unknown": 1})
        self.assertAlmostEqual(summary.p50_ms, 50.0, delta=0.1)
        self.assertAlmostEqual(summary.p99_ms, 99.0, delta=0.1)
        self.assertAlmostEqual(summary.max_ms, 100.0, delta=0.1)


class ResultTests(unittest.TestCase):
    def make(self, runs, *checks):
        return Result("x", "X", "", "", "", "", 1, [], runs, list(checks))

    def test_medians_skip_runs_that_lack_a_figure(self):
        result = self.make([{"a": {"p99": 1.0}}, {"a": {"p99": 9.0}}, {"a": {"p99": 2.0}}, {}])
        self.assertEqual(result.medians(), {"a": {"p99": 2.0}})

    def test_ratio_is_computed_within_each_run(self):
        check = Check("a / b", "a/p99", 0.5, "b/p99")
        runs = [{"a": {"p99": 1.0}, "b": {"p99": 2.0}}, {"a": {"p99": 9.0}, "b": {"p99": 3.0}}]
        values = self.make(runs, check).check_values(check)
        self.assertEqual(values, [0.5, 3.0])
        self.assertEqual([check.is_reached(value) for value in values], [True, False])

    def test_figure_that_was_not_measured_gives_no_value(self):
        check = Check("a / b", "a/p99", 0.5, "b/p99")
        self.assertEqual(self.make([{"a": {"p99": 1.0}}], check).check_values(check), [])
