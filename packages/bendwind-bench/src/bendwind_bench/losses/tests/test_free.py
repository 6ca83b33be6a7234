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

    def test_full_is_while_so_many_go_on(self):
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


# A day from 0 to 1,000 ms, and each upstream named as one of the service.
def day(*upstreams):
    attempts = tuple(AttemptFacts(name, 0.0, "200", 1.0) for name in upstreams)
    facts = CallFacts("s", "r", 200, 1000.0, 4000.0, 2000.0, attempts=attempts)
    line = LogLine("info", "e", 1000, "CALL_FINISHED", 102, request="z", detail="answered")
    return msgspec.structs.replace(line, facts=facts)


class FreeTimesTest(unittest.TestCase):
    def free(self, *lines, begin=0, end=1000):
        return find_free_times(read(*lines)).measure("s", begin, end)

    def test_upstream_is_free_while_fewer_run_than_may(self):
        self.assertEqual(self.free(day("u"), run("u", 700, 300.0)), 700)

    def test_two_upstreams_are_not_free_while_both_run(self):
        lines = (day("u", "v"), run("u", 700, 300.0), run("v", 900, 300.0))
        self.assertEqual(self.free(*lines), 900)

    def test_upstream_with_something_waiting_is_not_free(self):
        self.assertEqual(self.free(day("u"), run("u", 700, 100.0, 200.0)), 700)

    def test_wait_that_ended_in_a_refusal_counts_as_well(self):
        lines = (day("u"), run("u", 100, 100.0), refuse("u", 500, waited_ms=200.0))
        self.assertEqual(self.free(*lines), 700)

    def test_slowed_upstream_is_not_free_until_it_tells_or_a_phase_is_over(self):
        slow = {"slow_factor": 4.0, "report_age_ms": 0.0}
        at_pace = {"report_age_ms": 0.0}
        self.assertEqual(self.free(day("u"), run("u", 300, 100.0, **slow)), 700)
        lines = (day("u"), run("u", 300, 100.0, **slow), run("u", 450, 50.0, **at_pace))
        self.assertEqual(self.free(*lines), 750)

    def test_upstream_that_sheds_or_breaks_off_is_not_free_until_it_answers(self):
        shed = run("u", 200, 10.0, detail="not-run: shed")
        self.assertEqual(self.free(day("u"), shed), 190)
        self.assertEqual(self.free(day("u"), shed, run("u", 600, 10.0)), 590)

    def test_upstream_is_not_free_before_it_comes_and_after_it_has_left(self):
        came, left = state("u", "UPSTREAM_READY", 200), state("u", "UPSTREAM_GONE", 500)
        self.assertEqual(self.free(day("u"), came, left), 300)
        self.assertEqual(self.free(day("u"), left, run("u", 300, 100.0)), 400)

    def test_near_ones_are_told_apart_by_the_data_centre_of_their_owner(self):
        lines = (
            start("o", "north"),
            start("p", "south"),
            run("u", 1000, 1000.0),
            run("v", 400, 400.0, instance="p"),
            day("u", "v"),
        )
        free = find_free_times(read(*lines))
        self.assertEqual(free.measure_near("s", "north", 0, 1000), 0)
        self.assertEqual(free.measure_near("s", "south", 0, 1000), 600)

    def test_other_services_have_times_of_their_own(self):
        free = find_free_times(read(day("u"), run("u", 700, 300.0)))
        self.assertEqual(free.measure("other", 0, 1000), 0)


class AgreementTest(unittest.TestCase):
    def test_starts_are_compared_with_what_the_owner_told(self):
        lines = (
            run("u", 500, 400.0, running=1),
            run("u", 700, 400.0, running=2),
            run("u", 900, 100.0, running=2),
        )
        found = compare_with_owners(read(*lines))
        self.assertEqual((found.starts, found.equal), (3, 2))


if __name__ == "__main__":
    unittest.main()
