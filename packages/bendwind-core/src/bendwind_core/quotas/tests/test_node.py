"""Test which tokens one node keeps, requests and returns, and which requests it refuses."""

import unittest

from bendwind_core.attempts import NotRunReason
from bendwind_core.quotas import (
    QuotaBounds,
    QuotaGrant,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    Waiter,
    cancel_wait,
    create_node_quotas,
    flush_quota_requests,
    handle_quota_reply,
    request_token,
    return_token,
    tick_node,
)
from bendwind_core.quotas.node import EVICT_AFTER, REPLY_TIMEOUT, SILENT_VOTER_PAUSE

BOUNDS = QuotaBounds(10.0, 0.1, 0.0)
VOTERS = ("v1", "v2", "v3")


class TestNode(unittest.TestCase):
    def setUp(self):
        self.quotas = create_node_quotas(BOUNDS, 1)

    def request(self, now, until=None):
        return request_token(self.quotas, "maria", now + 0.25 if until is None else until, now)

    def flush(self, now):
        return flush_quota_requests(self.quotas, VOTERS, now)

    def request_and_flush(self, now):
        """Make one request wait; return it and the quota request sent for it."""
        waiter = self.request(now)
        self.assertIsInstance(waiter, Waiter)
        (effect,) = self.flush(now)
        return waiter, effect

    def reply(self, effect, tokens, now, wait_ms=None, number=9):
        granted = QuotaGrant("maria", number, tokens, wait_ms)
        reply = QuotaReply(effect.message.number, 5, (granted,))
        handle_quota_reply(self.quotas, effect.to, reply, now)

    def test_waiting_requests_share_a_quota_request_to_the_preferred_voter(self):
        self.request(0.0)
        self.request(0.0)
        (effect,) = self.flush(0.0)
        self.assertEqual((effect.to, effect.message.demands[0].waiting), ("v1", 2))
        self.request(0.001)
        self.assertEqual(self.flush(0.001), [])
        self.assertEqual(self.flush(0.01)[0].message.demands[0].waiting, 1)

    def test_a_duplicate_reply_grants_once(self):
        waiter, effect = self.request_and_flush(0.0)
        self.reply(effect, 2, 0.01)
        self.reply(effect, 2, 0.01)
        self.assertTrue(waiter.outcome.is_ok())
        self.assertTrue(self.request(0.01).is_ok())
        self.assertIsInstance(self.request(0.01), Waiter)

    def test_a_reply_from_another_voter_grants_nothing(self):
        _, effect = self.request_and_flush(0.0)
        granted = QuotaReply(effect.message.number, 5, (QuotaGrant("maria", 1, 5),))
        handle_quota_reply(self.quotas, "v2", granted, 0.01)
        self.assertIsInstance(self.request(0.01), Waiter)

    def test_quota_requests_of_two_runs_have_different_numbers(self):
        _, effect = self.request_and_flush(0.0)
        self.quotas = create_node_quotas(BOUNDS, 2)
        _, again = self.request_and_flush(0.0)
        self.assertNotEqual(effect.message.number, again.message.number)

    def test_a_kept_token_expires_by_the_time_since_its_quota_request(self):
        _, effect = self.request_and_flush(0.0)
        self.reply(effect, 3, 0.2)
        self.assertTrue(self.request(BOUNDS.node_validity - 0.001).is_ok())
        # No tick happened in between, as on a machine that was suspended.
        self.assertIsInstance(self.request(BOUNDS.node_validity), Waiter)

    def test_expired_tokens_are_returned(self):
        _, effect = self.request_and_flush(0.0)
        self.reply(effect, 3, 0.01)
        (returned,) = [e for e in tick_node(self.quotas, 1.0) if isinstance(e.message, QuotaReturn)]
        self.assertEqual(
            (returned.to, returned.message.run, returned.message.unused[0].tokens), ("v1", 5, 2)
        )

    def test_a_request_that_arrived_before_the_quota_request_takes_a_token_of_any_age(self):
        waiter, effect = self.request_and_flush(0.0)
        self.reply(effect, 1, BOUNDS.node_validity + 0.1)
        self.assertTrue(waiter.outcome.is_ok())

    def test_returned_tokens_of_a_grant_are_reported_as_a_sum(self):
        first, effect = self.request_and_flush(0.0)
        self.reply(effect, 2, 0.01)
        second = self.request(0.01)
        return_token(self.quotas, first.outcome.ok)
        (returned,) = tick_node(self.quotas, 0.02)
        self.assertEqual(returned.message.unused[0].tokens, 1)
        return_token(self.quotas, second.ok)
        (returned,) = tick_node(self.quotas, 0.1)
        self.assertEqual(returned.message.unused[0].tokens, 2)

    def test_after_a_refusal_no_quota_request_is_sent_until_tokens_are_available(self):
        waiter, effect = self.request_and_flush(0.0)
        self.reply(effect, 0, 0.01, wait_ms=300.0)
        self.assertEqual(waiter.outcome.error.reason, NotRunReason.OVER_QUOTA)
        refused = self.request(0.11).error
        self.assertEqual(refused.reason, NotRunReason.OVER_QUOTA)
        self.assertAlmostEqual(refused.retry_after_ms, 200.0)
        self.assertEqual(self.flush(0.11), [])
        self.assertIsInstance(self.request(0.311), Waiter)

    def test_a_silent_voter_is_passed_over_temporarily(self):
        _, effect = self.request_and_flush(0.0)
        tick_node(self.quotas, REPLY_TIMEOUT)
        (second,) = self.flush(REPLY_TIMEOUT)
        self.assertEqual((effect.to, second.to), ("v1", "v2"))
        self.assertEqual(second.message.demands[0].waiting, 1)
        self.request(0.5)
        self.assertEqual(self.flush(0.5)[0].to, "v2")
        later = REPLY_TIMEOUT + SILENT_VOTER_PAUSE
        self.request(later)
        self.assertEqual(self.flush(later)[0].to, "v1")

    def test_a_request_that_waits_too_long_is_refused_as_unknown(self):
        waiter, _ = self.request_and_flush(0.0)
        tick_node(self.quotas, 0.25)
        self.assertEqual(waiter.outcome.error.reason, NotRunReason.QUOTA_UNKNOWN)

    def test_tokens_are_requested_again_after_a_reply_that_neither_grants_nor_refuses(self):
        waiter, effect = self.request_and_flush(0.0)
        self.reply(effect, 0, 0.01)
        self.assertIsNone(waiter.outcome)
        tick_node(self.quotas, 0.02)
        (again,) = self.flush(0.02)
        self.reply(again, 1, 0.03)
        self.assertTrue(waiter.outcome.is_ok())

    def test_a_late_reply_serves_requests_that_still_wait(self):
        waiter, effect = self.request_and_flush(0.0)
        tick_node(self.quotas, REPLY_TIMEOUT)
        self.flush(REPLY_TIMEOUT)
        self.reply(effect, 1, 0.15)
        self.assertTrue(waiter.outcome.is_ok())

    def test_the_token_of_a_cancelled_request_serves_another(self):
        waiter, effect = self.request_and_flush(0.0)
        cancel_wait(self.quotas, waiter)
        self.reply(effect, 1, 0.01)
        self.assertIsNone(waiter.outcome)
        self.assertTrue(self.request(0.01).is_ok())

    def test_tokens_are_prefetched_for_a_busy_customer_but_not_for_a_slow_one(self):
        for number in range(100):
            self.request(0.01 * number)
        (effect,) = self.flush(1.0)
        self.assertGreater(effect.message.demands[0].prefetch, 0)
        self.setUp()
        for number in range(5):
            self.request(1.0 * number)
        self.assertEqual(self.flush(5.0)[0].message.demands[0].prefetch, 0)

    def test_an_idle_customer_is_evicted(self):
        _, effect = self.request_and_flush(0.0)
        self.reply(effect, 1, 0.01)
        tick_node(self.quotas, 0.02)
        tick_node(self.quotas, 2 * EVICT_AFTER)
        self.assertFalse(self.quotas.accounts)
        self.assertIsInstance(effect.message, QuotaRequest)


if __name__ == "__main__":
    unittest.main()
