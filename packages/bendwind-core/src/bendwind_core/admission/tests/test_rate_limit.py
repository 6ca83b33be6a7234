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


def send_all(limit, begin, end):
    """Send whenever there is a turn, as an owner with a full queue does; return when that was."""
    sent_at = []
    now = begin
    while (now := find_limited_send_at(limit, 0, now)) < end:
        consume_token(limit, now)
        sent_at.append(now)
    return sent_at


class RateLimitTest(unittest.TestCase):
    def setUp(self):
        self.limit = RateLimit()

    def name(self, per_second, sent_at, now=None):
        return record_named_limit(self.limit, per_second, sent_at, sent_at if now is None else now)

    def test_requests_go_out_evenly_and_use_the_whole_limit(self):
        self.name(6.2, 100.0)
        sent_at = send_all(self.limit, 100.0, 110.0)
        self.assertAlmostEqual(len(sent_at), 62, delta=1)
        spaces = [later - at for at, later in zip(sent_at, sent_at[1:], strict=False)]
        self.assertLess(max(spaces) - min(spaces), 0.001)

    def test_a_pause_leaves_no_more_than_a_small_burst(self):
        self.name(6.2, 100.0)
        self.assertEqual(len(send_all(self.limit, 150.0, 150.0001)), BURST)

    def test_limit_that_lets_nothing_through_is_still_asked_about(self):
        self.name(0.0, 100.0)
        sent_at = send_all(self.limit, 100.0, 140.0)
        busiest = max(sum(at <= other < at + 4.0 for other in sent_at) for at in sent_at)
        self.assertLessEqual(busiest, 5)
        self.assertGreaterEqual(len(sent_at), 9)

    def test_only_an_answer_to_a_later_request_ends_it(self):
        self.name(5.0, 100.0, 100.2)
        self.assertIsNone(record_no_limit(self.limit, 99.9, 100.3))
        self.assertIsNone(record_no_limit(self.limit, 100.0, 100.3))
        self.assertEqual(self.limit.per_second, 5.0)
        self.assertIs(record_no_limit(self.limit, 100.1, 100.3), LimitChange.LIFTED)

    def test_overtaken_answer_neither_brings_an_old_figure_back_nor_a_limit_that_has_ended(self):
        self.name(5.0, 100.0)
        self.name(60.0, 101.0)
        self.assertIsNone(self.name(5.0, 100.9, 101.1))
        self.assertEqual(self.limit.per_second, 60.0)
        record_no_limit(self.limit, 102.0, 102.0)
        self.assertIsNone(self.name(60.0, 101.9, 102.1))
        self.assertIsNone(self.limit.per_second)

    def test_long_request_that_ends_late_is_believed(self):
        record_no_limit(self.limit, 104.0, 104.1)
        self.assertIs(self.name(5.0, 100.0, 109.0), LimitChange.NAMED)

    def test_word_of_an_entry_node_counts_until_the_upstream_itself_has_answered(self):
        self.assertIs(record_carried_limit(self.limit, 5.0, 100.0), LimitChange.CARRIED)
        self.assertIs(record_no_limit(self.limit, 100.1, 100.2), LimitChange.LIFTED)
        self.assertIsNone(record_carried_limit(self.limit, 5.0, 100.3))
        self.assertIsNone(self.limit.per_second)

    def test_fall_leaves_nothing_of_the_former_rate(self):
        self.name(60.0, 100.0)
        send_all(self.limit, 100.0, 104.0)
        self.assertIs(self.name(6.0, 104.0), LimitChange.CHANGED)
        self.assertLessEqual(len(send_all(self.limit, 104.0, 105.0)), 6 + BURST)

    def test_owner_beside_a_former_one_sends_half_until_it_is_alone(self):
        self.limit.alone_from = 105.0
        record_carried_limit(self.limit, 10.0, 100.0)
        self.assertAlmostEqual(len(send_all(self.limit, 100.0, 105.0)), 25, delta=1)
        self.assertAlmostEqual(len(send_all(self.limit, 105.0, 110.0)), 50, delta=1)

    def test_what_goes_out_without_a_turn_is_made_up_for(self):
        self.name(5.0, 100.0)
        send_all(self.limit, 100.0, 102.0)
        for _ in range(2):
            consume_token(self.limit, 102.0)
        self.assertLessEqual(len(send_all(self.limit, 102.0, 103.0)), 4)

    def test_new_run_begins_without(self):
        self.name(5.0, 100.0)
        self.assertIs(reset_rate_limit(self.limit), LimitChange.FORGOTTEN)
        self.assertEqual(find_limited_send_at(self.limit, 10, 101.0), 101.0)

    def test_entry_nodes_are_told_of_an_end_but_not_of_what_was_never_named(self):
        record_no_limit(self.limit, 99.0, 99.0)
        self.assertIsNone(find_reported_limit(self.limit))
        self.name(5.0, 100.0)
        self.assertEqual(find_reported_limit(self.limit), 5.0)
        record_no_limit(self.limit, 101.0, 101.0)
        self.assertEqual(find_reported_limit(self.limit), math.inf)

    def test_refused_callers_are_told_to_come_back_one_after_the_other(self):
        self.name(5.0, 100.0)
        told = [assign_retry_at(self.limit, 100.0, 5.0) - 100.0 for _ in range(4)]
        spaces = [later - at for at, later in zip(told, told[1:], strict=False)]
        self.assertEqual([round(space, 6) for space in spaces], [0.2, 0.2, 0.2])
        for _ in range(100):
            self.assertLessEqual(assign_retry_at(self.limit, 100.0, 5.0), 105.0)


if __name__ == "__main__":
    unittest.main()
