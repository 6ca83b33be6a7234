"""Check budgets and shares against oracles that remember everything."""

import unittest

import bendwind_core.core.tests.profiles  # noqa: F401  isort:skip
from hypothesis import given
from hypothesis import strategies as st

from bendwind_core.limits import (
    ConcurrencyShare,
    FairQueue,
    ProbeBudget,
    RetryBudget,
    acquire_call,
    check_body,
    check_headers,
    earn_retry,
    fair_queue,
    release_call,
    set_services,
    spend_probe,
    spend_retry,
)
from bendwind_core.world import Limits

MESSAGES, BYTES = 6, 400
SERVICES = ["a", "b", "c"]


class TestLimits(unittest.TestCase):
    @given(st.lists(st.booleans(), max_size=400), st.sampled_from([0.0, 0.1, 0.3]))
    def test_retries_never_exceed_their_share_of_first_attempts(self, tries, ratio):
        budget = RetryBudget(ratio)
        firsts = retries = 0
        for is_retry in tries:
            if is_retry:
                retries += spend_retry(budget)
            else:
                firsts += 1
                earn_retry(budget, 0.1 * firsts)
            self.assertLessEqual(retries, firsts * ratio + 1e-6)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from([0.0, 0.01, 0.25, 0.5, 1.0]), st.integers(1, 3), st.integers(1, 200)
            )
        )
    )
    def test_probes_stay_in_budget_in_any_second(self, wishes):
        budget, now, spent = ProbeBudget(MESSAGES, BYTES), 0.0, []
        for pause, messages, size in wishes:
            now += pause
            recent = [(m, b) for at, m, b in spent if now - at <= 1.0]
            fits = sum(m for m, _ in recent) + messages <= MESSAGES
            fits = fits and sum(b for _, b in recent) + size <= BYTES
            self.assertEqual(spend_probe(budget, messages, size, now), fits)
            if fits:
                spent.append((now, messages, size))
            self.assertLessEqual(len(budget.spent), MESSAGES)

    @given(st.lists(st.tuples(st.sampled_from(SERVICES), st.integers(0, 3))))
    def test_no_service_takes_the_reserve_of_another(self, steps):
        share = ConcurrencyShare(12)
        set_services(share, SERVICES)
        held = dict.fromkeys(SERVICES, 0)
        for service, kind in steps:
            if kind == 0 and held[service]:
                release_call(share, service)
                held[service] -= 1
            elif acquire_call(share, service, limit=9):
                held[service] += 1
            else:
                self.assertGreaterEqual(held[service], share.reserved_per_service)
            self.assertLessEqual(sum(held.values()), share.capacity)
            self.assertLessEqual(max(held.values()), 9)
            left = share.capacity - sum(held.values())
            owed = sum(max(0, share.reserved_per_service - count) for count in held.values())
            self.assertGreaterEqual(left, owed)

    @given(st.lists(st.tuples(st.sampled_from(SERVICES), st.booleans()), max_size=60))
    def test_queue_keeps_order_within_a_source_and_bounds_each_share(self, steps):
        queue: FairQueue = FairQueue(6)
        lines = {source: [] for source in SERVICES}
        for number, (source, is_pop) in enumerate(steps):
            if is_pop:
                item = fair_queue.pop(queue)
                waiting = [line for line in lines.values() if line]
                self.assertEqual(item is None, not waiting)
                if item is not None:
                    self.assertEqual(lines[item[0]].pop(0), item)
                continue
            lines[source].append((source, number))
            loser = fair_queue.push(queue, source, (source, number))
            if loser is not None:
                longest = max(len(line) for line in lines.values())
                self.assertEqual(len(lines[loser[0]]), longest)
                self.assertEqual(lines[loser[0]].pop(), loser)
            self.assertLessEqual(queue.size, 6)
            self.assertEqual(queue.size, sum(map(len, lines.values())))

    def test_services_that_change_keep_the_counts_of_calls_in_flight(self):
        share = ConcurrencyShare(12)
        set_services(share, ["a"])
        for _ in range(12):
            self.assertTrue(acquire_call(share, "a", limit=99))
        set_services(share, ["b"])
        self.assertFalse(acquire_call(share, "b", limit=99))
        release_call(share, "a")
        self.assertTrue(acquire_call(share, "b", limit=99))

    def test_sizes_at_the_limit_pass_and_one_more_is_refused(self):
        self.assertTrue(check_body(Limits(body_bytes=10), 10).is_ok())
        self.assertTrue(check_body(Limits(body_bytes=10), 11).is_error())
        self.assertTrue(check_headers([(b"a", b"b")] * 100).is_ok())
        self.assertTrue(check_headers([(b"a", b"b")] * 101).is_error())
        self.assertTrue(check_headers([(b"a", b"b" * 40000)]).is_error())


if __name__ == "__main__":
    unittest.main()
