"""Test the tokens that nodes hold for when no voter answers."""

import math
import unittest

from bendwind_core.quotas import (
    QuotaBounds,
    QuotaGrant,
    QuotaReply,
    create_node_quotas,
    create_voter_quotas,
    flush_quota_requests,
    handle_quota_reply,
    request_token,
    tick_node,
    update_voters,
)
from bendwind_core.quotas.bounds import Share
from bendwind_core.quotas.reserve import (
    KEPT_FOR,
    RENEWED_EACH,
    Reserve,
    Reserved,
    drop_ended,
    find_pause,
    forget_free,
    hand_out,
    take_over,
)

WINDOW = 10.0
SHARE = Share(rate=10.0, cap=10.0, reserve=2.5)


class TestPlaces(unittest.TestCase):
    def setUp(self):
        self.reserve = Reserve(WINDOW, 0.0)
        self.next = 1

    def hand_out(self, node, wished, now, kept=()):
        handed = hand_out(self.reserve, "maria", SHARE, node, wished, kept, self.next, now)
        self.next += wished
        return handed

    def test_no_more_places_than_the_share_has_are_handed_out(self):
        self.assertEqual(len(self.hand_out("n1", 1, 0.0)), 1)
        self.assertEqual(len(self.hand_out("n2", 5, 0.0)), 1)
        self.assertEqual(self.hand_out("n3", 5, 0.0), ())

    def test_a_place_is_not_handed_out_again_before_a_window_after_its_end(self):
        self.hand_out("n1", 2, 0.0)
        self.assertEqual(self.hand_out("n2", 2, KEPT_FOR + WINDOW), ())
        self.assertEqual(len(self.hand_out("n2", 2, find_pause(WINDOW))), 2)

    def test_a_place_stays_with_the_node_that_states_it(self):
        first = self.hand_out("n1", 2, 0.0)
        for round_number in range(1, 30):
            now = RENEWED_EACH * round_number
            self.assertEqual(self.hand_out("n1", 0, now, first), first)
        self.assertEqual(self.hand_out("n2", 2, now), ())
        self.assertEqual(self.hand_out("n2", 0, now, first), ())

    def test_a_place_that_ended_is_not_renewed(self):
        first = self.hand_out("n1", 2, 0.0)
        self.assertEqual(self.hand_out("n1", 0, KEPT_FOR, first), ())

    def test_nothing_is_handed_out_while_an_earlier_run_may_have_places_out(self):
        quotas = create_voter_quotas("v1", 1, QuotaBounds(WINDOW), 1, 1.0)
        self.assertEqual(quotas.reserve.opens_at, math.inf)
        update_voters(quotas, 1, (), 5.0)
        self.reserve = quotas.reserve
        self.assertEqual(self.hand_out("n1", 2, 5.0 + KEPT_FOR + WINDOW), ())
        self.assertEqual(len(self.hand_out("n1", 2, 5.0 + find_pause(WINDOW))), 2)

    def test_free_places_are_forgotten(self):
        self.hand_out("n1", 2, 0.0)
        forget_free(self.reserve, find_pause(WINDOW) - 0.1)
        self.assertTrue(self.reserve.places)
        forget_free(self.reserve, find_pause(WINDOW))
        self.assertFalse(self.reserve.places)


class TestHolding(unittest.TestCase):
    def test_what_was_used_since_it_was_stated_stays_used(self):
        held = []
        take_over(held, "v1", (7, 8), (7, 8, 9), 0.0)
        self.assertEqual([token.number for token in held], [9])

    def test_a_token_ends_by_the_time_since_it_was_asked_for(self):
        held = []
        take_over(held, "v1", (), (7,), 1.0)
        self.assertEqual(len(drop_ended(held, KEPT_FOR + 0.9)), 1)
        self.assertEqual(drop_ended(held, KEPT_FOR + 1.0), [])
        take_over(held, "v1", (7,), (7,), 3.0)
        self.assertEqual(len(drop_ended(held, KEPT_FOR + 2.9)), 1)
        take_over(held, "v1", (7,), (7,), 2.0)
        self.assertEqual(len(drop_ended(held, KEPT_FOR + 2.9)), 1)

    def test_numbers_of_two_voters_are_two_tokens(self):
        held = [Reserved("v1", 7, 100.0)]
        take_over(held, "v2", (), (7,), 1.0)
        self.assertEqual([(token.voter, token.number) for token in held], [("v1", 7), ("v2", 7)])


class TestUsing(unittest.TestCase):
    def setUp(self):
        self.quotas = create_node_quotas(QuotaBounds(WINDOW), 1)

    def ask(self, now, reserve=(), tokens=1):
        waiter = request_token(self.quotas, "maria", now + 0.25, now)
        (effect,) = flush_quota_requests(self.quotas, ("v1",), now)
        if tokens is not None:
            grants = (QuotaGrant("maria", 3, tokens, None, reserve),)
            handle_quota_reply(self.quotas, "v1", QuotaReply(effect.message.number, 1, grants), now)
        return waiter, effect.message.demands[0]

    def test_a_request_that_no_voter_answered_takes_one_and_only_one(self):
        self.ask(0.0, reserve=(7,))
        outcomes = []
        for start in (1.0, 2.0):
            waiter, _ = self.ask(start, tokens=None)
            tick_node(self.quotas, start + 0.25)
            outcomes.append(waiter.outcome.is_ok())
        self.assertEqual(outcomes, [True, False])
        self.assertEqual(self.quotas.totals.reserve, 1)

    def test_a_request_that_is_refused_for_want_takes_none(self):
        self.ask(0.0, reserve=(7,))
        waiter = request_token(self.quotas, "maria", 1.25, 1.0)
        (effect,) = flush_quota_requests(self.quotas, ("v1",), 1.0)
        grants = (QuotaGrant("maria", 0, 0, 100.0),)
        handle_quota_reply(self.quotas, "v1", QuotaReply(effect.message.number, 1, grants), 1.0)
        self.assertTrue(waiter.outcome.is_error())
        self.assertEqual(self.quotas.totals.reserve, 0)

    def test_what_a_late_answer_brings_ends_by_the_time_of_its_ask(self):
        waiter = request_token(self.quotas, "maria", 5.0, 0.0)
        (effect,) = flush_quota_requests(self.quotas, ("v1",), 0.0)
        grants = (QuotaGrant("maria", 3, 1, None, (7,)),)
        handle_quota_reply(self.quotas, "v1", QuotaReply(effect.message.number, 1, grants), 1.5)
        self.assertTrue(waiter.outcome.is_ok())
        (held,) = self.quotas.accounts["maria"].reserve
        self.assertLessEqual(held.expires_at, KEPT_FOR)

    def test_what_is_held_is_stated_some_times_before_it_ends(self):
        _, want = self.ask(0.0, reserve=(7,))
        self.assertEqual((want.reserve, want.kept), (1, ()))
        _, want = self.ask(RENEWED_EACH - 0.1)
        self.assertEqual((want.reserve, want.kept), (0, ()))
        _, want = self.ask(RENEWED_EACH)
        self.assertEqual(want.kept, (7,))


if __name__ == "__main__":
    unittest.main()
