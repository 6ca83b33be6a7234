import unittest

import msgspec

from bendwind_bench.losses.exactness import compare_with_owners
from bendwind_bench.losses.free import find_free_times
from bendwind_bench.losses.spans import find_full, invert, measure, unite
from bendwind_bench.losses.tests.test_losses import read
from bendwind_core.timeline import AttemptFacts, CallFacts, DispatchFacts, LogLine, RefusalFacts


class SpansTest(unittest.TestCase):
    def test_spans_are_united_inverted_and_measured(self):
        spans = unite([(5, 7), (1, 2), (2, 3), (6, 9), (4, 4)])
        self.assertEqual(spans, [(1, 3), (5, 9)])
        self.assertEqual(invert(spans, 0, 8), [(0, 1), (3, 5)])
        self.assertEqual(invert(spans, 2, 4), [(3, 4)])
        self.assertEqual(invert([], 0, 8), [(0, 8)])
        self.assertEqual(measure(spans, 2, 6), 2)
        self.assertEqual(measure(spans, 3, 5), 0)

    def test_find_full_returns_spans_with_limit_overlaps(self):
        spans = [(0, 10), (2, 5), (5, 8), (9, 12)]
        self.assertEqual(find_full(spans, 2), [(2, 8), (9, 10)])
        self.assertEqual(find_full(spans, 1), [(0, 12)])
        self.assertEqual(find_full(spans, 3), [])


def run(upstream, end_ms, ms, waited_ms=0.0, detail="answered", instance="o", **more):
    facts = DispatchFacts("r", waited_ms, ms, limit=1, slots=9, **{"running": 1, **more})
    line = LogLine("info", instance, end_ms, "DISPATCH_FINISHED", 202, upstream=upstream)
    return msgspec.structs.replace(line, facts=facts, detail=detail, call="e/1/1", request="q")


def refuse(upstream, at_ms, **more):
    line = LogLine("info", "o", at_ms, "ATTEMPT_REFUSED", 207, upstream=upstream)
    facts = RefusalFacts("r", running=1, slots=9, limit=1, **more)
    return msgspec.structs.replace(line, facts=facts, request="q", detail="queue-full")


def state(upstream, name, at_ms, instance="o"):
    return LogLine("info", instance, at_ms, name, upstream=upstream, detail="s")


def start(instance, place):
    detail = f"peers=1 data_centre={place}"
    return LogLine("info", instance, 0, "PROCESS_STARTED", 801, detail=detail)


# A call from 0 to 1,000 ms with an attempt at each upstream, so that each belongs to the service.
def make_period(*upstreams):
    attempts = tuple(AttemptFacts(name, 0.0, "200", 1.0) for name in upstreams)
    facts = CallFacts("s", "r", 200, 1000.0, 4000.0, 2000.0, attempts=attempts)
    line = LogLine("info", "e", 1000, "CALL_FINISHED", 102, request="z", detail="answered")
    return msgspec.structs.replace(line, facts=facts)


class FreeTimesTest(unittest.TestCase):
    def free(self, *lines, begin=0, end=1000):
        return find_free_times(read(*lines)).measure("s", begin, end)

    def test_upstream_is_free_while_it_runs_fewer_than_its_limit(self):
        self.assertEqual(self.free(make_period("u"), run("u", 700, 300.0)), 700)

    def test_service_is_not_free_while_both_upstreams_run(self):
        lines = (make_period("u", "v"), run("u", 700, 300.0), run("v", 900, 300.0))
        self.assertEqual(self.free(*lines), 900)

    def test_upstream_with_waiting_attempt_is_not_free(self):
        self.assertEqual(self.free(make_period("u"), run("u", 700, 100.0, 200.0)), 700)

    def test_wait_that_ended_in_a_refusal_counts(self):
        lines = (make_period("u"), run("u", 100, 100.0), refuse("u", 500, waited_ms=200.0))
        self.assertEqual(self.free(*lines), 700)

    def test_slowed_upstream_is_not_free_until_it_reports_or_the_phase_ends(self):
        slow = {"slow_factor": 4.0, "report_age_ms": 0.0}
        at_pace = {"report_age_ms": 0.0}
        self.assertEqual(self.free(make_period("u"), run("u", 300, 100.0, **slow)), 700)
        lines = (make_period("u"), run("u", 300, 100.0, **slow), run("u", 450, 50.0, **at_pace))
        self.assertEqual(self.free(*lines), 750)

    def test_upstream_that_sheds_or_breaks_off_is_not_free_until_it_answers(self):
        shed = run("u", 200, 10.0, detail="not-run: shed")
        self.assertEqual(self.free(make_period("u"), shed), 190)
        self.assertEqual(self.free(make_period("u"), shed, run("u", 600, 10.0)), 590)

    def test_upstream_is_not_free_before_ready_and_after_gone(self):
        came, left = state("u", "UPSTREAM_READY", 200), state("u", "UPSTREAM_GONE", 500)
        self.assertEqual(self.free(make_period("u"), came, left), 300)
        self.assertEqual(self.free(make_period("u"), left, run("u", 300, 100.0)), 400)

    def test_near_upstreams_are_those_with_owner_in_the_data_centre(self):
        lines = (
            start("o", "north"),
            start("p", "south"),
            run("u", 1000, 1000.0),
            run("v", 400, 400.0, instance="p"),
            make_period("u", "v"),
        )
        free = find_free_times(read(*lines))
        self.assertEqual(free.measure_near("s", "north", 0, 1000), 0)
        self.assertEqual(free.measure_near("s", "south", 0, 1000), 600)

    def test_free_times_are_separate_per_service(self):
        free = find_free_times(read(make_period("u"), run("u", 700, 300.0)))
        self.assertEqual(free.measure("other", 0, 1000), 0)


class AgreementTest(unittest.TestCase):
    def test_starts_are_compared_with_the_owner(self):
        lines = (
            run("u", 500, 400.0, running=1),
            run("u", 700, 400.0, running=2),
            run("u", 900, 100.0, running=2),
        )
        found = compare_with_owners(read(*lines))
        self.assertEqual((found.starts, found.equal), (3, 2))


if __name__ == "__main__":
    unittest.main()
