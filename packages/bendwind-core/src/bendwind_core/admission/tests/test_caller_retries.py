import random
import unittest

from bendwind_core.admission import (
    CallerTime,
    RefusedCallers,
    RequestIdentity,
    pop_first_arrived_at,
    record_refused_caller,
)
from bendwind_core.admission.caller_retries import MAX_REFUSED_CALLERS, TIMEOUT_TOLERANCE

LOOKUP = RequestIdentity("lookup", "GET", b"/records/7")


class CallerRetriesTest(unittest.TestCase):
    def refuse(self, first_arrived_at=10.0, timeout_at=14.0, request=LOOKUP):
        callers = RefusedCallers()
        record_refused_caller(
            callers, request, CallerTime(first_arrived_at, timeout_at), first_arrived_at
        )
        return callers

    def test_retry_of_a_refused_caller_counts_from_its_first_request(self):
        callers = self.refuse()
        self.assertEqual(pop_first_arrived_at(callers, LOOKUP, 10.6, 14.01), 10.0)

    def test_refusal_matches_one_retry_only(self):
        callers = self.refuse()
        pop_first_arrived_at(callers, LOOKUP, 10.6, 14.0)
        self.assertEqual(pop_first_arrived_at(callers, LOOKUP, 10.7, 14.0), 10.7)
        self.assertEqual(callers, RefusedCallers())

    def test_request_with_another_target_or_timeout_end_is_new(self):
        other = RequestIdentity("lookup", "GET", b"/records/8")
        self.assertEqual(pop_first_arrived_at(self.refuse(), other, 10.6, 14.0), 10.6)
        late = 14.0 + 2 * TIMEOUT_TOLERANCE
        self.assertEqual(pop_first_arrived_at(self.refuse(), LOOKUP, 10.6, late), 10.6)

    def test_second_retry_counts_from_the_first_request_too(self):
        callers = self.refuse()
        first_arrived_at = pop_first_arrived_at(callers, LOOKUP, 10.6, 14.0)
        record_refused_caller(callers, LOOKUP, CallerTime(first_arrived_at, 14.0), 10.6)
        self.assertEqual(pop_first_arrived_at(callers, LOOKUP, 11.5, 14.02), 10.0)

    def test_callers_with_a_short_timeout_are_new_whatever_others_state(self):
        """A rule that compares timeouts with those of others takes a whole minority for retries."""
        for share in (0.05, 0.1, 0.15):
            rng = random.Random(share)
            callers = RefusedCallers()
            for number in range(5000):
                now = number * 0.02
                timeout = 2.0 if rng.random() < share else 5.0
                request = RequestIdentity("lookup", "GET", b"/records/%d" % rng.randrange(100_000))
                self.assertEqual(pop_first_arrived_at(callers, request, now, now + timeout), now)

    def test_gateway_that_forwards_its_remaining_timeout_is_a_new_caller(self):
        rng = random.Random(3)
        callers = RefusedCallers()
        for number in range(5000):
            now = number * 0.02
            request = RequestIdentity("lookup", "GET", b"/records/%d" % number)
            self.assertEqual(
                pop_first_arrived_at(callers, request, now, now + rng.uniform(0.1, 5)), now
            )

    def test_retries_are_distinguished_from_new_requests_if_a_third_is_refused(self):
        rng = random.Random(4)
        callers = RefusedCallers()
        pending_retries = []
        for number in range(3000):
            now = number * 0.02
            while pending_retries and pending_retries[0][0] <= now:
                at, first_arrived_at, request = pending_retries.pop(0)
                timeout_at = first_arrived_at + 5.0 + rng.uniform(0.0, 0.03)
                self.assertEqual(
                    pop_first_arrived_at(callers, request, at, timeout_at), first_arrived_at
                )
            request = RequestIdentity("lookup", "GET", b"/records/%d" % number)
            self.assertEqual(pop_first_arrived_at(callers, request, now, now + 5.0), now)
            if rng.random() < 1 / 3:
                record_refused_caller(callers, request, CallerTime(now, now + 5.0), now)
                pending_retries.append((now + rng.uniform(0.3, 0.8), now, request))
                pending_retries.sort(key=lambda retry: retry[0])

    def test_callers_whose_timeout_has_elapsed_are_removed(self):
        """All callers of a route may send the same request: their refusals must not accumulate."""
        callers = RefusedCallers()
        for number in range(500):
            record_refused_caller(callers, LOOKUP, CallerTime(number, number + 4.0), number)
        self.assertEqual(callers.size, 4)
        self.assertEqual(pop_first_arrived_at(callers, LOOKUP, 600.0, 604.0), 600.0)
        self.assertEqual(callers, RefusedCallers())

    def test_newest_refusals_are_kept_if_all_callers_send_the_same_request(self):
        callers = RefusedCallers()
        for number in range(2 * MAX_REFUSED_CALLERS):
            record_refused_caller(callers, LOOKUP, CallerTime(number, 10.0**6 + number), number)
        self.assertEqual(callers.size, MAX_REFUSED_CALLERS)
        newest = 2 * MAX_REFUSED_CALLERS - 1
        self.assertEqual(
            pop_first_arrived_at(callers, LOOKUP, newest + 1, 10.0**6 + newest), newest
        )

    def test_number_of_refused_callers_is_bounded(self):
        callers = RefusedCallers()
        for number in range(5 * MAX_REFUSED_CALLERS):
            request = RequestIdentity("lookup", "GET", b"/%d" % (number % 1500))
            record_refused_caller(callers, request, CallerTime(number, 10.0**9), number)
        self.assertLessEqual(sum(map(len, callers.times_by_request.values())), MAX_REFUSED_CALLERS)
        self.assertEqual(sum(map(len, callers.times_by_request.values())), callers.size)


if __name__ == "__main__":
    unittest.main()
