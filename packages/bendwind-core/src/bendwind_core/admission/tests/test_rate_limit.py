import math
import unittest

from bendwind_core.admission import (
    LimitChange,
    RateLimit,
    assign_retry_at,
    consume_token,
    find_limited_send_at,
    find_reported_limit,
    record_carried_limit,
    record_named_limit,
    record_no_limit,
    reset_rate_limit,
)
from bendwind_core.admission.rate_limit import BURST


def send_at_limit(limit, begin, end):
    """Send whenever the limit allows, as an owner with a full queue does; return the times."""
    sent_at = []
    now = begin
    while (now := find_limited_send_at(limit, 0, now)) < end:
        consume_token(limit, now)
        sent_at.append(now)
    return sent_at


class RateLimitTest(unittest.TestCase):
    def setUp(self):
        self.limit = RateLimit()

    def record_limit(self, per_second, sent_at, now=None):
        return record_named_limit(self.limit, per_second, sent_at, sent_at if now is None else now)

    def test_requests_are_sent_evenly_and_use_the_whole_limit(self):
        self.record_limit(6.2, 100.0)
        sent_at = send_at_limit(self.limit, 100.0, 110.0)
        self.assertAlmostEqual(len(sent_at), 62, delta=1)
        intervals = [later - at for at, later in zip(sent_at, sent_at[1:], strict=False)]
        self.assertLess(max(intervals) - min(intervals), 0.001)

    def test_burst_after_a_pause_is_small(self):
        self.record_limit(6.2, 100.0)
        self.assertEqual(len(send_at_limit(self.limit, 150.0, 150.0001)), BURST)

    def test_upstream_with_a_limit_of_zero_still_receives_a_few_requests(self):
        self.record_limit(0.0, 100.0)
        sent_at = send_at_limit(self.limit, 100.0, 140.0)
        max_count = max(sum(at <= other < at + 4.0 for other in sent_at) for at in sent_at)
        self.assertLessEqual(max_count, 5)
        self.assertGreaterEqual(len(sent_at), 9)

    def test_only_an_answer_to_a_later_request_ends_the_limit(self):
        self.record_limit(5.0, 100.0, 100.2)
        self.assertIsNone(record_no_limit(self.limit, 99.9, 100.3))
        self.assertIsNone(record_no_limit(self.limit, 100.0, 100.3))
        self.assertEqual(self.limit.per_second, 5.0)
        self.assertIs(record_no_limit(self.limit, 100.1, 100.3), LimitChange.LIFTED)

    def test_reordered_answer_restores_neither_an_old_limit_nor_one_that_has_ended(self):
        self.record_limit(5.0, 100.0)
        self.record_limit(60.0, 101.0)
        self.assertIsNone(self.record_limit(5.0, 100.9, 101.1))
        self.assertEqual(self.limit.per_second, 60.0)
        record_no_limit(self.limit, 102.0, 102.0)
        self.assertIsNone(self.record_limit(60.0, 101.9, 102.1))
        self.assertIsNone(self.limit.per_second)

    def test_limit_in_a_late_answer_to_a_long_request_is_accepted(self):
        record_no_limit(self.limit, 104.0, 104.1)
        self.assertIs(self.record_limit(5.0, 100.0, 109.0), LimitChange.NAMED)

    def test_carried_limit_applies_until_the_upstream_itself_has_answered(self):
        self.assertIs(record_carried_limit(self.limit, 5.0, 100.0), LimitChange.CARRIED)
        self.assertIs(record_no_limit(self.limit, 100.1, 100.2), LimitChange.LIFTED)
        self.assertIsNone(record_carried_limit(self.limit, 5.0, 100.3))
        self.assertIsNone(self.limit.per_second)

    def test_lower_limit_applies_at_once(self):
        self.record_limit(60.0, 100.0)
        send_at_limit(self.limit, 100.0, 104.0)
        self.assertIs(self.record_limit(6.0, 104.0), LimitChange.CHANGED)
        self.assertLessEqual(len(send_at_limit(self.limit, 104.0, 105.0)), 6 + BURST)

    def test_new_owner_sends_at_half_the_rate_while_a_former_owner_may_send(self):
        self.limit.alone_from = 105.0
        record_carried_limit(self.limit, 10.0, 100.0)
        self.assertAlmostEqual(len(send_at_limit(self.limit, 100.0, 105.0)), 25, delta=1)
        self.assertAlmostEqual(len(send_at_limit(self.limit, 105.0, 110.0)), 50, delta=1)

    def test_requests_sent_without_a_token_are_compensated_later(self):
        self.record_limit(5.0, 100.0)
        send_at_limit(self.limit, 100.0, 102.0)
        for _ in range(2):
            consume_token(self.limit, 102.0)
        self.assertLessEqual(len(send_at_limit(self.limit, 102.0, 103.0)), 4)

    def test_new_run_of_the_upstream_starts_without_a_limit(self):
        self.record_limit(5.0, 100.0)
        self.assertIs(reset_rate_limit(self.limit), LimitChange.FORGOTTEN)
        self.assertEqual(find_limited_send_at(self.limit, 10, 101.0), 101.0)

    def test_end_of_a_limit_is_reported_but_not_the_absence_of_one(self):
        record_no_limit(self.limit, 99.0, 99.0)
        self.assertIsNone(find_reported_limit(self.limit))
        self.record_limit(5.0, 100.0)
        self.assertEqual(find_reported_limit(self.limit), 5.0)
        record_no_limit(self.limit, 101.0, 101.0)
        self.assertEqual(find_reported_limit(self.limit), math.inf)

    def test_refused_callers_are_assigned_successive_retry_times(self):
        self.record_limit(5.0, 100.0)
        retry_times = [assign_retry_at(self.limit, 100.0, 5.0) - 100.0 for _ in range(4)]
        intervals = [later - at for at, later in zip(retry_times, retry_times[1:], strict=False)]
        self.assertEqual([round(interval, 6) for interval in intervals], [0.2, 0.2, 0.2])
        for _ in range(100):
            self.assertLessEqual(assign_retry_at(self.limit, 100.0, 5.0), 105.0)


if __name__ == "__main__":
    unittest.main()
