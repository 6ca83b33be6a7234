import unittest
from pathlib import Path

from bendwind_core.timeline import AttemptFacts, CallFacts, DispatchFacts, EventKind, Recorder
from bendwind_node.metrics import Metric, Metrics, Sample
from bendwind_node.metrics.gather import gather_process, gather_statistics, gather_timeline
from bendwind_node.metrics.reference import render_reference

ROOT = Path(__file__).parents[6]


class TestMetrics(unittest.TestCase):
    def test_page_lists_every_metric_of_the_code(self):
        self.assertEqual((ROOT / "docs/METRICS.md").read_text(), render_reference())
        names = [metric.value.name for metric in Metric]
        self.assertEqual(len(set(names)), len(Metric))

    def test_every_metric_is_gathered(self):
        source = (Path(__file__).parents[1] / "gather.py").read_text()
        not_gathered = [metric for metric in Metric if f"Metric.{metric.name}," not in source]
        self.assertEqual(not_gathered, [])

    def test_counts_events_by_number_and_dropped_events(self):
        recorder = Recorder("a", lambda: 1, 4)
        for _ in range(3):
            recorder.record(EventKind.CALL_ARRIVED)
        text = Metrics(lambda: gather_timeline(recorder)).render().body.decode()
        self.assertIn('bendwind_events_total{name="CALL_ARRIVED",number="101"} 3', text)
        self.assertIn("bendwind_events_dropped_total 1", text)

    def test_renders_help_type_and_labels(self):
        samples = [
            Sample(Metric.LINKS, 2, ("this",)),
            Sample(Metric.LINKS, 1, ("peer",)),
            *gather_process(),
        ]
        rendered = Metrics(lambda: samples).render("text/plain; version=0.0.4")
        self.assertIn("text/plain", rendered.content_type)
        text = rendered.body.decode()
        self.assertIn("# TYPE bendwind_links gauge\n", text)
        self.assertIn('bendwind_links{opened_by="this"} 2\n', text)
        self.assertRegex(text, r"bendwind_peak_resident_bytes [1-9]")

    def test_refusals_and_waits_are_labelled_by_rank(self):
        recorder = Recorder("a", lambda: 1, 4)
        busy = AttemptFacts("u", 0.0, "not-run: busy", 3.0)
        refused = CallFacts("s", "r", 503, attempts=(busy,), rank=1)
        recorder.record(EventKind.CALL_FINISHED, detail="not-run: queue-full", facts=refused)
        ran = DispatchFacts("r", 20.0, 40.0, rank=1)
        recorder.record(EventKind.DISPATCH_FINISHED, facts=ran)
        samples = Metrics(lambda: gather_statistics(recorder.statistics))
        text = samples.render("text/plain; version=0.0.4").body.decode()
        self.assertIn('bendwind_calls_refused_total{rank="1",reason="queue-full"} 1\n', text)
        self.assertIn('bendwind_attempts_sent_back_total{rank="1",reason="busy"} 1\n', text)
        self.assertIn('bendwind_rank_wait_seconds_bucket{le="0.01",rank="1"} 0\n', text)
        self.assertIn('bendwind_rank_wait_seconds_bucket{le="0.025",rank="1"} 1\n', text)
        self.assertIn('bendwind_rank_wait_seconds_sum{rank="1"} 0.02\n', text)

    def test_repeated_scrapes_render_the_same(self):
        metrics = Metrics(lambda: [Sample(Metric.FRESH, 1)])
        self.assertEqual(metrics.render(), metrics.render())


if __name__ == "__main__":
    unittest.main()
