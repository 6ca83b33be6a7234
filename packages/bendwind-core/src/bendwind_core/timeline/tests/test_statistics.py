import unittest

from bendwind_core.timeline import (
    AttemptFacts,
    CallFacts,
    DispatchFacts,
    EventKind,
    Recorder,
    RefusalFacts,
)
from bendwind_core.timeline.statistics import (
    BOUNDS_MS,
    MAX_RANKS,
    MAX_ROUTES,
    MORE_RANKS,
    OTHER_ROUTES,
    Histogram,
)


class HistogramTest(unittest.TestCase):
    def test_each_duration_is_counted_at_its_bound_and_all_higher_bounds(self):
        histogram = Histogram()
        for ms in (5.0, 5.1, 99_999.0):
            histogram.record(ms)
        cumulative = dict(histogram.list_cumulative())
        self.assertEqual((cumulative["0.005"], cumulative["0.01"], cumulative["5"]), (1, 2, 2))
        self.assertEqual(cumulative["+Inf"], 3)
        self.assertEqual(len(cumulative), len(BOUNDS_MS) + 1)


class CallStatisticsTest(unittest.TestCase):
    def setUp(self):
        self.recorder = Recorder("a", lambda: 1, 10)
        self.statistics = self.recorder.statistics

    def end_call(self, detail, route="r", **fields):
        facts = CallFacts(route=route, **fields)
        self.recorder.record(EventKind.CALL_FINISHED, call="c", detail=detail, facts=facts)

    def test_calls_are_counted_by_route_and_outcome(self):
        self.end_call("answered", status=200, ms=90.0, target_ms=100.0)
        self.end_call("answered", status=200, ms=190.0, target_ms=100.0)
        self.end_call("answered", status=503, ms=9.0)
        self.end_call("not-run: queue-full", status=503)
        outcomes = {outcome for _, outcome in self.statistics.calls}
        expected = {"answered 2xx", "answered 2xx late", "answered 5xx", "not-run: queue-full"}
        self.assertEqual(outcomes, expected)

    def test_dispatches_and_refusals_are_counted(self):
        dispatch = DispatchFacts("r", 3.0, 40.0)
        self.recorder.record(EventKind.DISPATCH_FINISHED, call="c", facts=dispatch)
        refusal = RefusalFacts("r")
        self.recorder.record(EventKind.ATTEMPT_REFUSED, detail="stalled", facts=refusal)
        self.assertEqual(self.statistics.waits["r"].total_ms, 3.0)
        self.assertEqual(self.statistics.runs["r"].total_ms, 40.0)
        self.assertEqual(dict(self.statistics.refusals), {("r", "stalled"): 1})

    def test_refused_calls_and_refused_hand_overs_are_counted_by_rank_and_reason(self):
        attempts = tuple(
            AttemptFacts("u", 0.0, end)
            for end in ("not-run: busy", "not-run: busy", "not-run: stalled", "200")
        )
        self.end_call("answered", status=200, attempts=attempts, rank=2)
        self.end_call("not-run: queue-full", status=503, attempts=attempts[:1], rank=MAX_RANKS)
        sent_back = {("2", "busy"): 2, ("2", "stalled"): 1, (MORE_RANKS, "busy"): 1}
        self.assertEqual(dict(self.statistics.sent_back), sent_back)
        self.assertEqual(dict(self.statistics.calls_refused), {(MORE_RANKS, "queue-full"): 1})

    def test_calls_refused_before_any_attempt_are_counted_if_they_did_not_run(self):
        for detail in ("over-quota", "no-route", "caller gone"):
            self.end_call(detail, rank=1)
        self.assertEqual(dict(self.statistics.calls_refused), {("1", "over-quota"): 1})

    def test_waits_are_counted_by_rank_whether_they_ended_in_a_run_or_a_refusal(self):
        for facts in (
            DispatchFacts("r", 3.0, 40.0),
            RefusalFacts("r", waited_ms=30.0),
            RefusalFacts("r", waited_ms=0.0),
            RefusalFacts("r"),
            RefusalFacts("r", waited_ms=7.0, rank=99),
        ):
            self.recorder.record(EventKind.DISPATCH_FINISHED, call="c", facts=facts)
        waits = self.statistics.rank_waits
        self.assertEqual(set(waits), {"0", MORE_RANKS})
        self.assertEqual((sum(waits["0"].counts), waits["0"].total_ms), (3, 33.0))

    def test_labels_by_rank_are_bounded(self):
        for rank in range(1000):
            self.end_call("not-run: shed", status=503, rank=rank)
        self.assertEqual(len(self.statistics.calls_refused), MAX_RANKS + 1)

    def test_routes_beyond_the_limit_are_counted_together(self):
        for number in range(MAX_ROUTES + 50):
            self.end_call("answered", f"r{number}", status=200)
        self.assertEqual(self.statistics.calls[OTHER_ROUTES, "answered 2xx"], 50)
        self.assertEqual(len(self.statistics.call_times), MAX_ROUTES + 1)


if __name__ == "__main__":
    unittest.main()
