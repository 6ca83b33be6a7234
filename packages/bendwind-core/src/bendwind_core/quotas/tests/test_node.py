"""Test what one node keeps, asks for, refuses and gives back."""

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
from bendwind_core.quotas.node import ANSWER_WAIT, FORGET_AFTER, SILENT_FOR

BOUNDS = QuotaBounds(10.0, 0.1, 0.0)
VOTERS = ("v1", "v2", "v3")


class TestNode(unittest.TestCase):
    def setUp(self):
        self.quotas = create_node_quotas(BOUNDS, 1)

    def request(self, now, until=None):
        return request_token(self.quotas, "maria", now + 0.25 if until is None else until, now)

    def flush(self, now):
        return flush_quota_requests(self.quotas, VOTERS, now)

    def ask(self, now):
        """Have one request wait; return it and the ask that goes out for it."""
        waiter = self.request(now)
        self.assertIsInstance(waiter, Waiter)
        (effect,) = self.flush(now)
        return waiter, effect

    def reply(self, effect, tokens, now, wait_ms=None, number=9):
        granted = QuotaGrant("maria", number, tokens, wait_ms)
        reply = QuotaReply(effect.message.number, 5, (granted,))
        handle_quota_reply(self.quotas, effect.to, reply, now)

    def test_requests_that_wait_share_an_ask_of_the_voter_in_use(self):
        self.request(0.0)
        self.request(0.0)
        (effect,) = self.flush(0.0)
        self.assertEqual((effect.to, effect.message.demands[0].waiting), ("v1", 2))
        self.request(0.001)
        self.assertEqual(self.flush(0.001), [])
        self.assertEqual(self.flush(0.01)[0].message.demands[0].waiting, 1)

    def test_a_reply_that_comes_twice_grants_once(self):
        waiter, effect = self.ask(0.0)
        self.reply(effect, 2, 0.01)
        self.reply(effect, 2, 0.01)
        self.assertTrue(waiter.outcome.is_ok())
        self.assertTrue(self.request(0.01).is_ok())
        self.assertIsInstance(self.request(0.01), Waiter)

    def test_a_reply_of_another_voter_grants_nothing(self):
        _, effect = self.ask(0.0)
        granted = QuotaReply(effect.message.number, 5, (QuotaGrant("maria", 1, 5),))
        handle_quota_reply(self.quotas, "v2", granted, 0.01)
        self.assertIsInstance(self.request(0.01), Waiter)

    def test_asks_of_two_runs_have_different_numbers(self):
        _, effect = self.ask(0.0)
        self.quotas = create_node_quotas(BOUNDS, 2)
        _, again = self.ask(0.0)
        self.assertNotEqual(effect.message.number, again.message.number)

    def test_a_kept_token_ends_by_the_time_since_it_was_asked_for(self):
        _, effect = self.ask(0.0)
        self.reply(effect, 3, 0.2)
        self.assertTrue(self.request(BOUNDS.node_validity - 0.001).is_ok())
        # Nothing ticked in between, as on a machine that stood still.
        self.assertIsInstance(self.request(BOUNDS.node_validity), Waiter)

    def test_what_was_kept_too_long_is_given_back(self):
        _, effect = self.ask(0.0)
        self.reply(effect, 3, 0.01)
        (back,) = [e for e in tick_node(self.quotas, 1.0) if isinstance(e.message, QuotaReturn)]
        self.assertEqual((back.to, back.message.run, back.message.unused[0].tokens), ("v1", 5, 2))

    def test_who_waited_since_before_the_ask_takes_a_token_however_late(self):
        waiter, effect = self.ask(0.0)
        self.reply(effect, 1, BOUNDS.node_validity + 0.1)
        self.assertTrue(waiter.outcome.is_ok())

    def test_what_is_given_back_of_a_grant_is_told_as_a_sum(self):
        first, effect = self.ask(0.0)
        self.reply(effect, 2, 0.01)
        second = self.request(0.01)
        return_token(self.quotas, first.outcome.ok)
        (back,) = tick_node(self.quotas, 0.02)
        self.assertEqual(back.message.unused[0].tokens, 1)
        return_token(self.quotas, second.ok)
        (back,) = tick_node(self.quotas, 0.1)
        self.assertEqual(back.message.unused[0].tokens, 2)

    def test_after_a_refusal_nothing_is_asked_until_there_is_room(self):
        waiter, effect = self.ask(0.0)
        self.reply(effect, 0, 0.01, wait_ms=300.0)
        self.assertEqual(waiter.outcome.error.reason, NotRunReason.OVER_QUOTA)
        refused = self.request(0.11).error
        self.assertEqual(refused.reason, NotRunReason.OVER_QUOTA)
        self.assertAlmostEqual(refused.retry_after_ms, 200.0)
        self.assertEqual(self.flush(0.11), [])
        self.assertIsInstance(self.request(0.311), Waiter)

    def test_a_silent_voter_is_passed_over_for_a_while(self):
        _, effect = self.ask(0.0)
        tick_node(self.quotas, ANSWER_WAIT)
        (second,) = self.flush(ANSWER_WAIT)
        self.assertEqual((effect.to, second.to), ("v1", "v2"))
        self.assertEqual(second.message.demands[0].waiting, 1)
        self.request(0.5)
        self.assertEqual(self.flush(0.5)[0].to, "v2")
        later = ANSWER_WAIT + SILENT_FOR
        self.request(later)
        self.assertEqual(self.flush(later)[0].to, "v1")

    def test_who_waits_too_long_is_refused_as_unknown(self):
        waiter, _ = self.ask(0.0)
        tick_node(self.quotas, 0.25)
        self.assertEqual(waiter.outcome.error.reason, NotRunReason.QUOTA_UNKNOWN)

    def test_an_answer_that_neither_grants_nor_refuses_is_asked_for_again(self):
        waiter, effect = self.ask(0.0)
        self.reply(effect, 0, 0.01)
        self.assertIsNone(waiter.outcome)
        tick_node(self.quotas, 0.02)
        (again,) = self.flush(0.02)
        self.reply(again, 1, 0.03)
        self.assertTrue(waiter.outcome.is_ok())

    def test_a_late_answer_serves_those_who_still_wait(self):
        waiter, effect = self.ask(0.0)
        tick_node(self.quotas, ANSWER_WAIT)
        self.flush(ANSWER_WAIT)
        self.reply(effect, 1, 0.15)
        self.assertTrue(waiter.outcome.is_ok())

    def test_a_token_of_one_who_left_serves_another(self):
        waiter, effect = self.ask(0.0)
        cancel_wait(self.quotas, waiter)
        self.reply(effect, 1, 0.01)
        self.assertIsNone(waiter.outcome)
        self.assertTrue(self.request(0.01).is_ok())

    def test_a_busy_customer_has_tokens_ahead_and_a_slow_one_has_none(self):
        for number in range(100):
            self.request(0.01 * number)
        (effect,) = self.flush(1.0)
        self.assertGreater(effect.message.demands[0].ahead, 0)
        self.setUp()
        for number in range(5):
            self.request(1.0 * number)
        self.assertEqual(self.flush(5.0)[0].message.demands[0].ahead, 0)

    def test_a_customer_that_is_silent_is_forgotten(self):
        _, effect = self.ask(0.0)
        self.reply(effect, 1, 0.01)
        tick_node(self.quotas, 0.02)
        tick_node(self.quotas, 2 * FORGET_AFTER)
        self.assertFalse(self.quotas.accounts)
        self.assertIsInstance(effect.message, QuotaRequest)


if __name__ == "__main__":
    unittest.main()
