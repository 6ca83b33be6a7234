"""Test the tokens that nodes hold for use while no voter answers."""

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
    RENEWAL_INTERVAL,
    RESERVATION_LIFETIME,
    Reserve,
    ReserveToken,
    assign_reservations,
    find_reuse_delay,
    list_unexpired,
    merge_reserve_tokens,
    remove_free_reservations,
)

WINDOW = 10.0
SHARE = Share(rate=10.0, cap=10.0, reserve=2.5)


class TestReservations(unittest.TestCase):
    def setUp(self):
        self.reserve = Reserve(WINDOW, 0.0)
        self.next = 1

    def assign(self, node, wanted, now, held_numbers=()):
        assigned = assign_reservations(
            self.reserve, "maria", SHARE, node, wanted, held_numbers, self.next, now
        )
        self.next += wanted
        return assigned

    def test_no_more_reservations_than_the_share_has_are_assigned(self):
        self.assertEqual(len(self.assign("n1", 1, 0.0)), 1)
        self.assertEqual(len(self.assign("n2", 5, 0.0)), 1)
        self.assertEqual(self.assign("n3", 5, 0.0), ())

    def test_a_reservation_is_not_assigned_again_within_a_window_after_it_expired(self):
        self.assign("n1", 2, 0.0)
        self.assertEqual(self.assign("n2", 2, RESERVATION_LIFETIME + WINDOW), ())
        self.assertEqual(len(self.assign("n2", 2, find_reuse_delay(WINDOW))), 2)

    def test_a_reservation_stays_with_the_node_that_renews_it(self):
        first = self.assign("n1", 2, 0.0)
        for round_number in range(1, 30):
            now = RENEWAL_INTERVAL * round_number
            self.assertEqual(self.assign("n1", 0, now, first), first)
        self.assertEqual(self.assign("n2", 2, now), ())
        self.assertEqual(self.assign("n2", 0, now, first), ())

    def test_an_expired_reservation_is_not_renewed(self):
        first = self.assign("n1", 2, 0.0)
        self.assertEqual(self.assign("n1", 0, RESERVATION_LIFETIME, first), ())

    def test_nothing_is_assigned_while_reservations_of_an_earlier_run_may_be_in_use(self):
        quotas = create_voter_quotas("v1", 1, QuotaBounds(WINDOW), 1, 1.0)
        self.assertEqual(quotas.reserve.assignable_from, math.inf)
        update_voters(quotas, 1, (), 5.0)
        self.reserve = quotas.reserve
        self.assertEqual(self.assign("n1", 2, 5.0 + RESERVATION_LIFETIME + WINDOW), ())
        self.assertEqual(len(self.assign("n1", 2, 5.0 + find_reuse_delay(WINDOW))), 2)

    def test_free_reservations_are_removed(self):
        self.assign("n1", 2, 0.0)
        remove_free_reservations(self.reserve, find_reuse_delay(WINDOW) - 0.1)
        self.assertTrue(self.reserve.reservations)
        remove_free_reservations(self.reserve, find_reuse_delay(WINDOW))
        self.assertFalse(self.reserve.reservations)


class TestMergingTokens(unittest.TestCase):
    def test_a_token_used_after_it_was_stated_is_not_added_again(self):
        held = []
        merge_reserve_tokens(held, "v1", (7, 8), (7, 8, 9), 0.0)
        self.assertEqual([token.number for token in held], [9])

    def test_a_token_expires_by_the_time_since_its_quota_request(self):
        held = []
        merge_reserve_tokens(held, "v1", (), (7,), 1.0)
        self.assertEqual(len(list_unexpired(held, RESERVATION_LIFETIME + 0.9)), 1)
        self.assertEqual(list_unexpired(held, RESERVATION_LIFETIME + 1.0), [])
        merge_reserve_tokens(held, "v1", (7,), (7,), 3.0)
        self.assertEqual(len(list_unexpired(held, RESERVATION_LIFETIME + 2.9)), 1)
        merge_reserve_tokens(held, "v1", (7,), (7,), 2.0)
        self.assertEqual(len(list_unexpired(held, RESERVATION_LIFETIME + 2.9)), 1)

    def test_the_same_number_from_two_voters_is_two_tokens(self):
        held = [ReserveToken("v1", 7, 100.0)]
        merge_reserve_tokens(held, "v2", (), (7,), 1.0)
        self.assertEqual([(token.voter, token.number) for token in held], [("v1", 7), ("v2", 7)])


class TestUsingTokens(unittest.TestCase):
    def setUp(self):
        self.quotas = create_node_quotas(QuotaBounds(WINDOW), 1)

    def request(self, now, reserve=(), tokens=1):
        waiter = request_token(self.quotas, "maria", now + 0.25, now)
        (effect,) = flush_quota_requests(self.quotas, ("v1",), now)
        if tokens is not None:
            grants = (QuotaGrant("maria", 3, tokens, None, reserve),)
            handle_quota_reply(self.quotas, "v1", QuotaReply(effect.message.number, 1, grants), now)
        return waiter, effect.message.demands[0]

    def test_a_request_that_no_voter_answered_takes_exactly_one_token(self):
        self.request(0.0, reserve=(7,))
        outcomes = []
        for start in (1.0, 2.0):
            waiter, _ = self.request(start, tokens=None)
            tick_node(self.quotas, start + 0.25)
            outcomes.append(waiter.outcome.is_ok())
        self.assertEqual(outcomes, [True, False])
        self.assertEqual(self.quotas.totals.reserve, 1)

    def test_a_request_refused_over_its_quota_takes_no_reserve_token(self):
        self.request(0.0, reserve=(7,))
        waiter = request_token(self.quotas, "maria", 1.25, 1.0)
        (effect,) = flush_quota_requests(self.quotas, ("v1",), 1.0)
        grants = (QuotaGrant("maria", 0, 0, 100.0),)
        handle_quota_reply(self.quotas, "v1", QuotaReply(effect.message.number, 1, grants), 1.0)
        self.assertTrue(waiter.outcome.is_error())
        self.assertEqual(self.quotas.totals.reserve, 0)

    def test_a_reserve_token_of_a_late_reply_expires_by_the_time_of_its_quota_request(self):
        waiter = request_token(self.quotas, "maria", 5.0, 0.0)
        (effect,) = flush_quota_requests(self.quotas, ("v1",), 0.0)
        grants = (QuotaGrant("maria", 3, 1, None, (7,)),)
        handle_quota_reply(self.quotas, "v1", QuotaReply(effect.message.number, 1, grants), 1.5)
        self.assertTrue(waiter.outcome.is_ok())
        (held,) = self.quotas.accounts["maria"].reserve
        self.assertLessEqual(held.expires_at, RESERVATION_LIFETIME)

    def test_held_tokens_are_stated_several_times_before_they_expire(self):
        _, demand = self.request(0.0, reserve=(7,))
        self.assertEqual((demand.reserve, demand.held_numbers), (1, ()))
        _, demand = self.request(RENEWAL_INTERVAL - 0.1)
        self.assertEqual((demand.reserve, demand.held_numbers), (0, ()))
        _, demand = self.request(RENEWAL_INTERVAL)
        self.assertEqual(demand.held_numbers, (7,))


if __name__ == "__main__":
    unittest.main()
