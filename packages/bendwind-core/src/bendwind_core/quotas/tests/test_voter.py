"""Test what one voter grants, lends, borrows and evicts."""

import unittest

from bendwind_core.quotas import (
    QuotaBounds,
    QuotaDemand,
    QuotaLoan,
    QuotaLoanRequest,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    QuotaUnused,
    Share,
    create_voter_quotas,
    handle_quota_loan,
    handle_quota_loan_request,
    handle_quota_request,
    handle_quota_return,
    record_confirmation,
    tick_voter,
    update_configuration,
    update_voters,
)
from bendwind_core.quotas.voter import LOAN_TIMEOUT
from bendwind_core.quotas.voter_state import RETURN_PERIOD
from bendwind_core.world import Configuration, Customer

BOUNDS = QuotaBounds(10.0, 0.1, 0.0)
CONFIRMED_FOR = 1.0
RUN = 7


def create_voter(rate=10.0, burst=10.0, voters=1, now=0.0, run=RUN):
    """Create an established voter and a new customer."""
    quotas = create_voter_quotas("v1", run, BOUNDS, voters, CONFIRMED_FOR)
    peers = tuple(f"v{number}" for number in range(2, voters + 1))
    update_voters(quotas, 1, peers, now)
    record_confirmation(quotas, now)
    set_limit(quotas, rate, burst, now)
    return quotas


def set_limit(quotas, rate, burst, now):
    listed = () if rate is None else (Customer("maria", rate_per_s=rate, burst=burst),)
    update_configuration(quotas, Configuration(1, customers=listed), now)


def request_tokens(quotas, waiting, now, prefetch=0, number=1):
    effects = handle_quota_request(
        quotas, "n", QuotaRequest(number, (QuotaDemand("maria", waiting, prefetch),)), now
    )
    return effects


def grant(quotas, waiting, now, prefetch=0, number=1):
    """Request tokens, and return the grant that is sent immediately."""
    replies = [
        effect.message
        for effect in request_tokens(quotas, waiting, now, prefetch, number)
        if isinstance(effect.message, QuotaReply)
    ]
    return replies[-1].grants[0]


class TestGranting(unittest.TestCase):
    def test_a_new_customer_gets_its_burst_immediately(self):
        quotas = create_voter()
        granted = grant(quotas, 30, 0.0)
        self.assertEqual(granted.tokens, 11)
        self.assertGreater(granted.wait_ms, 0)

    def test_half_of_the_remaining_tokens_are_granted_for_prefetching(self):
        self.assertEqual(grant(create_voter(), 1, 0.0, prefetch=100).tokens, 6)

    def test_refused_nodes_are_to_retry_one_after_the_other(self):
        quotas = create_voter()
        grant(quotas, 30, 0.0)
        waits = [grant(quotas, 1, 0.0, number=number).wait_ms for number in range(2, 6)]
        self.assertEqual(waits, sorted(waits))
        self.assertGreater(waits[-1], waits[0] + 200)

    def test_without_a_recent_confirmation_nothing_is_answered(self):
        quotas = create_voter()
        self.assertEqual(request_tokens(quotas, 1, CONFIRMED_FOR), [])
        record_confirmation(quotas, CONFIRMED_FOR)
        self.assertEqual(len(request_tokens(quotas, 1, CONFIRMED_FOR)), 1)

    def test_nothing_is_lent_without_a_recent_confirmation(self):
        self.assertEqual(
            handle_quota_loan_request(create_voter(), "v2", QuotaLoanRequest(1, "maria", 1.0), 5.0),
            [],
        )

    def test_a_new_voter_starts_empty_once_its_predecessor_cannot_grant(self):
        quotas = create_voter_quotas("v1", RUN, BOUNDS, 1, CONFIRMED_FOR)
        update_voters(quotas, None, (), 0.0)
        set_limit(quotas, 10.0, 10.0, 0.0)
        update_voters(quotas, 1, (), 5.0)
        record_confirmation(quotas, 5.0)
        self.assertEqual(request_tokens(quotas, 1, 5.5), [])
        record_confirmation(quotas, 6.5)
        self.assertEqual(grant(quotas, 30, 6.52).tokens, 5)

    def test_a_process_that_replays_its_log_counts_the_delay_from_its_start(self):
        # If the delay counted from the replay, each process would grant nothing for a further
        # second after a power loss.
        quotas = create_voter_quotas("v1", RUN, BOUNDS, 1, CONFIRMED_FOR)
        update_voters(quotas, None, (), 5.0)
        update_voters(quotas, 1, (), 5.6)
        set_limit(quotas, 10.0, 10.0, 5.6)
        record_confirmation(quotas, 5.9)
        self.assertEqual(request_tokens(quotas, 1, 5.95), [])
        self.assertEqual(grant(quotas, 30, 6.52).tokens, 5)

    def test_a_restarted_voter_starts_empty(self):
        quotas = create_voter_quotas("v1", RUN, BOUNDS, 1, CONFIRMED_FOR)
        update_voters(quotas, 1, (), 0.0)
        set_limit(quotas, 10.0, 10.0, 0.0)
        record_confirmation(quotas, 0.0)
        self.assertEqual(grant(quotas, 30, 0.52).tokens, 5)

    def test_a_voter_that_is_removed_and_added_again_starts_empty(self):
        quotas = create_voter()
        update_voters(quotas, 2, (), 5.0)
        record_confirmation(quotas, 6.0)
        self.assertEqual(grant(quotas, 30, 6.52).tokens, 5)


class TestLimits(unittest.TestCase):
    def test_a_lowered_limit_applies_to_existing_and_evicted_buckets(self):
        for was_asked in (True, False):
            with self.subTest(was_asked=was_asked):
                quotas = create_voter(10.0, 100.0)
                if was_asked:
                    grant(quotas, 1, 0.0)
                set_limit(quotas, 10.0, 10.0, 0.0)
                self.assertEqual(grant(quotas, 300, 0.0).tokens, 11)

    def test_a_raised_limit_refills_faster_immediately_but_adds_nothing(self):
        quotas = create_voter(10.0, 10.0)
        grant(quotas, 11, 0.0)
        set_limit(quotas, 100.0, 100.0, 0.0)
        self.assertEqual(grant(quotas, 300, 0.505).tokens, 50)

    def test_alternately_raising_and_lowering_the_limit_adds_nothing(self):
        quotas = create_voter(10.0, 100.0)
        total = 0
        for number in range(1, 10):
            set_limit(quotas, 10.0, 10.0, 0.0)
            total += grant(quotas, 300, 0.0, number=2 * number).tokens
            set_limit(quotas, 10.0, 100.0, 0.0)
            total += grant(quotas, 300, 0.0, number=2 * number + 1).tokens
        self.assertLessEqual(total, 110)

    def test_a_customer_whose_limit_is_removed_is_granted_everything(self):
        quotas = create_voter()
        grant(quotas, 11, 0.0)
        set_limit(quotas, 0.0, 0.0, 0.0)
        self.assertEqual(grant(quotas, 50, 0.0).tokens, 50)
        set_limit(quotas, 10.0, 10.0, 0.0)
        self.assertEqual(grant(quotas, 50, 0.0).tokens, 0)

    def test_an_unknown_customer_is_neither_granted_nor_refused_tokens(self):
        quotas = create_voter()
        request = QuotaRequest(1, (QuotaDemand("new", 1),))
        (effect,) = handle_quota_request(quotas, "n", request, 0.0)
        granted = effect.message.grants[0]
        self.assertEqual((granted.tokens, granted.wait_ms), (0, None))

    def test_a_customer_that_is_removed_and_restored_gains_no_tokens(self):
        quotas = create_voter()
        grant(quotas, 300, 0.0)
        for _ in range(3):
            set_limit(quotas, None, None, 0.0)
            self.assertEqual(grant(quotas, 1, 0.0).tokens, 0)
            set_limit(quotas, 10.0, 10.0, 0.0)
            self.assertEqual(grant(quotas, 300, 0.0).tokens, 0)

    def test_a_customer_that_is_removed_while_buckets_refill_keeps_its_tokens(self):
        quotas = create_voter_quotas("v1", RUN, BOUNDS, 1, CONFIRMED_FOR)
        update_voters(quotas, 1, (), 0.0)
        set_limit(quotas, 10.0, 10.0, 0.0)
        record_confirmation(quotas, 0.0)
        set_limit(quotas, None, None, 0.3)
        set_limit(quotas, 10.0, 10.0, 0.3)
        self.assertEqual(grant(quotas, 30, 0.52).tokens, 5)


class TestRestoredCustomers(unittest.TestCase):
    """Test that a voter grants no burst that its earlier run may have granted."""

    def restart(self, *, version=3, is_known=False, confirmed_at=0.0):
        """Create a run that starts while the customer is not listed or not limited."""
        quotas = create_voter_quotas("v1", RUN, BOUNDS, 1, CONFIRMED_FOR)
        update_voters(quotas, 1, (), 0.0)
        listed = (Customer("maria"),) if is_known else None
        update_configuration(quotas, Configuration(version, customers=listed), 0.0)
        record_confirmation(quotas, confirmed_at)
        return quotas

    def count(self, quotas, now):
        record_confirmation(quotas, now)
        return grant(quotas, 30, now).tokens

    def test_a_customer_restored_after_a_restart_gets_only_tokens_since_the_restart(self):
        for is_known in (False, True):
            with self.subTest(is_known=is_known):
                quotas = self.restart(is_known=is_known)
                set_limit(quotas, 10.0, 10.0, 0.4)
                self.assertEqual(self.count(quotas, 0.52), 5)

    def test_a_customer_restored_after_the_voter_id_changed_gets_no_more(self):
        quotas = self.restart()
        update_voters(quotas, 2, (), 2.0)
        record_confirmation(quotas, 3.0)
        set_limit(quotas, 10.0, 10.0, 3.0)
        self.assertEqual(self.count(quotas, 3.52), 5)

    def test_a_voter_that_has_run_for_long_grants_a_new_customer_its_burst(self):
        quotas = self.restart()
        set_limit(quotas, 10.0, 10.0, 2.0)
        self.assertEqual(self.count(quotas, 2.0), 11)

    def test_a_run_with_complete_history_grants_a_new_customer_its_burst(self):
        quotas = self.restart(version=0)
        update_configuration(quotas, Configuration(1), 0.1)
        set_limit(quotas, 10.0, 10.0, 0.2)
        self.assertEqual(self.count(quotas, 0.2), 11)


class TestReturns(unittest.TestCase):
    def return_tokens(self, quotas, number, tokens, now=0.0, run=RUN):
        handle_quota_return(quotas, QuotaReturn(run, (QuotaUnused(number, tokens),)), now)

    def test_returned_tokens_are_granted_again_once(self):
        quotas = create_voter()
        number = grant(quotas, 11, 0.0).number
        self.return_tokens(quotas, number, 2)
        self.return_tokens(quotas, number, 2)
        self.return_tokens(quotas, number, 3)
        self.return_tokens(quotas, number, 1)
        self.assertEqual(grant(quotas, 30, 0.0).tokens, 3)

    def test_no_more_tokens_are_refunded_than_were_granted(self):
        quotas = create_voter()
        number = grant(quotas, 5, 0.0).number
        grant(quotas, 6, 0.0)
        self.return_tokens(quotas, number, 100)
        self.assertEqual(grant(quotas, 30, 0.0).tokens, 5)

    def test_tokens_that_another_run_granted_are_not_refunded(self):
        quotas = create_voter()
        number = grant(quotas, 11, 0.0).number
        self.return_tokens(quotas, number, 5, run=RUN - 1)
        self.assertEqual(grant(quotas, 30, 0.0).tokens, 0)

    def test_tokens_that_are_returned_too_late_are_lost(self):
        quotas = create_voter(0.01, 10.0)
        number = grant(quotas, 11, 0.0).number
        self.return_tokens(quotas, number, 5, now=RETURN_PERIOD + 0.1)
        record_confirmation(quotas, RETURN_PERIOD)
        self.assertEqual(grant(quotas, 30, RETURN_PERIOD + 0.1).tokens, 0)


class TestLoans(unittest.TestCase):
    def setUp(self):
        self.quotas = create_voter(30.0, 30.0, voters=3)
        self.first = grant(self.quotas, 11, 0.0)
        self.assertEqual(self.first.tokens, 11)

    def request_loan(self, now=0.0, waiting=2):
        """Request more tokens than available; return the loan request to another voter."""
        (effect,) = request_tokens(self.quotas, waiting, now, number=2)
        self.assertIsInstance(effect.message, QuotaLoanRequest)
        return effect

    def lend(self, effect, tokens, now=0.01, lendable=5.0, voter=None, run=3):
        loan = QuotaLoan(effect.message.number, run, "maria", 4, tokens, lendable)
        return handle_quota_loan(self.quotas, voter or effect.to, loan, now)

    def test_a_waiting_demand_is_answered_with_lent_tokens(self):
        (answer,) = self.lend(self.request_loan(), 2.0)
        self.assertEqual((answer.to, answer.message.grants[0].tokens), ("n", 2))

    def test_a_loan_counts_once_and_only_from_the_requested_lender(self):
        effect = self.request_loan(waiting=2)
        self.assertEqual(self.lend(effect, 2.0, voter="v9"), [])
        self.assertEqual(len(self.lend(effect, 2.0)), 1)
        self.assertEqual(self.lend(effect, 2.0), [])
        self.assertEqual(self.quotas.totals.borrowed, 2.0)

    def test_a_loan_requested_in_an_earlier_run_does_not_count(self):
        effect = self.request_loan()
        later = create_voter(30.0, 30.0, voters=3, run=RUN + 1)
        grant(later, 11, 0.0)
        (again,) = request_tokens(later, 2, 0.0, number=2)
        self.assertNotEqual(effect.message.number, again.message.number)

    def test_unused_lent_tokens_expire_and_are_returned(self):
        self.lend(self.request_loan(), 5.0)
        until = BOUNDS.loan_validity
        record_confirmation(self.quotas, until)
        self.quotas.accounts["maria"].bucket.level = 0.0
        returned = [effect for effect in tick_voter(self.quotas, until + 0.001)]
        self.assertEqual([effect.message.unused[0].tokens for effect in returned], [3.0])
        self.assertEqual((returned[0].to, returned[0].message.run), ("v2", 3))

    def test_borrowed_tokens_are_not_lent(self):
        self.lend(self.request_loan(), 5.0)
        (answer,) = handle_quota_loan_request(
            self.quotas, "v3", QuotaLoanRequest(1, "maria", 5.0), 0.01
        )
        self.assertLess(answer.message.tokens, 1.0)

    def test_no_loan_is_requested_soon_from_a_voter_without_tokens(self):
        effect = self.request_loan()
        (second,) = self.lend(effect, 0.0, lendable=0.0)
        self.assertNotEqual(second.to, effect.to)
        (answer,) = self.lend(second, 0.0, lendable=0.0)
        self.assertEqual(answer.message.grants[0].tokens, 0)
        (answer,) = request_tokens(self.quotas, 1, 0.02, number=3)
        self.assertIsInstance(answer.message, QuotaReply)

    def test_a_lender_that_does_not_answer_is_passed_over(self):
        effect = self.request_loan()
        (second,) = tick_voter(self.quotas, LOAN_TIMEOUT)
        self.assertNotEqual(second.to, effect.to)
        self.assertIsInstance(second.message, QuotaLoanRequest)

    def test_a_waiting_demand_is_answered_although_nobody_lends(self):
        self.request_loan()
        answers = []
        for tick in range(1, 20):
            record_confirmation(self.quotas, 0.01 * tick)
            answers += tick_voter(self.quotas, 0.01 * tick)
        replies = [effect.message for effect in answers if isinstance(effect.message, QuotaReply)]
        self.assertEqual(len(replies), 1)

    def test_lending_withdraws_from_the_bucket_and_a_return_refunds_it(self):
        lender = create_voter(30.0, 30.0, voters=3)
        (answer,) = handle_quota_loan_request(lender, "v2", QuotaLoanRequest(1, "maria", 6.0), 0.0)
        self.assertEqual(answer.message.tokens, 6.0)
        self.assertEqual(lender.accounts["maria"].bucket.level, 5.0)
        unused = QuotaUnused(answer.message.number, 2.5)
        handle_quota_return(lender, QuotaReturn(RUN, (unused,)), 0.0)
        self.assertEqual(lender.accounts["maria"].bucket.level, 7.5)


class TestLateLoans(unittest.TestCase):
    """Test that tokens lent after the loan request was abandoned are used or returned, once."""

    def setUp(self):
        self.quotas = create_voter(30.0, 30.0, voters=3)
        grant(self.quotas, 11, 0.0)
        (self.first_request,) = request_tokens(self.quotas, 2, 0.0, number=2)
        (self.second_request,) = tick_voter(self.quotas, LOAN_TIMEOUT)
        self.quotas.accounts["maria"].bucket.share = Share(1e-6, 10.0, 0.0)

    def lend(self, loan_request, tokens, now, number=4, run=3):
        loan = QuotaLoan(loan_request.message.number, run, "maria", number, tokens, 5.0)
        return handle_quota_loan(self.quotas, loan_request.to, loan, now)

    def list_returned(self, now):
        return [
            (effect.to, effect.message)
            for effect in tick_voter(self.quotas, now)
            if isinstance(effect.message, QuotaReturn)
        ]

    def test_a_late_loan_serves_demands_that_arrived_before_its_request(self):
        (answer,) = self.lend(self.first_request, 2.0, LOAN_TIMEOUT + 0.01)
        self.assertEqual((answer.to, answer.message.number), ("n", 2))
        self.assertEqual(answer.message.grants[0].tokens, 2)

    def test_a_loan_of_the_second_lender_is_still_accepted(self):
        self.lend(self.first_request, 2.0, LOAN_TIMEOUT + 0.01)
        self.lend(self.second_request, 1.5, LOAN_TIMEOUT + 0.02, number=5)
        self.assertEqual(self.quotas.totals.borrowed, 3.5)

    def test_unneeded_tokens_are_returned_to_their_lender_once(self):
        self.lend(self.second_request, 2.0, LOAN_TIMEOUT + 0.005, number=5)
        self.assertEqual(self.lend(self.first_request, 6.0, LOAN_TIMEOUT + 0.01), [])
        until = BOUNDS.loan_validity + LOAN_TIMEOUT
        returned = QuotaReturn(3, (QuotaUnused(4, 6.0),))
        self.assertEqual(self.list_returned(until), [(self.first_request.to, returned)])
        self.assertEqual(self.list_returned(until + 0.1), [])

    def test_a_loan_that_has_already_expired_is_returned_at_the_next_tick(self):
        self.lend(self.second_request, 2.0, LOAN_TIMEOUT + 0.005, number=5)
        until = BOUNDS.loan_validity + LOAN_TIMEOUT
        self.lend(self.first_request, 6.0, until)
        returned = QuotaReturn(3, (QuotaUnused(4, 6.0),))
        self.assertEqual(self.list_returned(until), [(self.first_request.to, returned)])

    def test_a_loan_for_a_removed_account_is_returned_immediately(self):
        update_voters(self.quotas, None, (), LOAN_TIMEOUT)
        (effect,) = self.lend(self.first_request, 6.0, LOAN_TIMEOUT + 0.01)
        returned = QuotaReturn(3, (QuotaUnused(4, 6.0),))
        self.assertEqual((effect.to, effect.message), (self.first_request.to, returned))

    def test_a_duplicate_loan_neither_counts_nor_is_returned_again(self):
        for _ in range(2):
            self.lend(self.first_request, 2.0, LOAN_TIMEOUT + 0.01)
        self.assertEqual(self.quotas.totals.borrowed, 2.0)
        self.lend(self.second_request, 0.0, LOAN_TIMEOUT + 0.02)
        update_voters(self.quotas, None, (), LOAN_TIMEOUT)
        self.assertEqual(self.lend(self.first_request, 2.0, LOAN_TIMEOUT + 0.03), [])

    def test_a_loan_from_another_voter_is_ignored(self):
        loan = QuotaLoan(self.first_request.message.number, 3, "maria", 4, 2.0, 5.0)
        self.assertEqual(handle_quota_loan(self.quotas, "v9", loan, LOAN_TIMEOUT + 0.01), [])
        self.assertEqual(self.quotas.totals.borrowed, 0.0)

    def test_loan_requests_are_removed_when_the_lender_can_no_longer_refund_the_tokens(self):
        tick_voter(self.quotas, RETURN_PERIOD + 1.0)
        self.assertNotIn(self.first_request.message.number, self.quotas.pending_loans)
        self.assertNotIn(self.second_request.message.number, self.quotas.pending_loans)


class TestWithoutOverage(unittest.TestCase):
    """Test that loans serve the demands that waited for them if no token may be kept at all."""

    def setUp(self):
        bounds = QuotaBounds(10.0, 0.0, 0.0)
        self.quotas = create_voter_quotas("v1", RUN, bounds, 3, CONFIRMED_FOR)
        update_voters(self.quotas, 1, ("v2", "v3"), 0.0)
        record_confirmation(self.quotas, 0.0)
        set_limit(self.quotas, 30.0, 30.0, 0.0)
        grant(self.quotas, 10, 0.0)

    def test_a_loan_serves_demands_before_its_request_and_none_that_came_later(self):
        (loan_request,) = request_tokens(self.quotas, 2, 0.001, number=2)
        request_tokens(self.quotas, 1, 0.002, number=3)
        loan = QuotaLoan(loan_request.message.number, 3, "maria", 4, 4.0, 5.0)
        effects = handle_quota_loan(self.quotas, loan_request.to, loan, 0.005)
        replies = [e.message for e in effects if isinstance(e.message, QuotaReply)]
        self.assertEqual([(reply.number, reply.grants[0].tokens) for reply in replies], [(2, 2)])
        (returned,) = [
            e for e in tick_voter(self.quotas, 0.01) if isinstance(e.message, QuotaReturn)
        ]
        self.assertEqual(returned.message.unused[0].tokens, 2.0)


class TestEviction(unittest.TestCase):
    def test_a_full_bucket_is_evicted_and_is_full_when_it_is_recreated(self):
        quotas = create_voter()
        grant(quotas, 11, 0.0)
        tick_voter(quotas, 1.0)
        self.assertTrue(quotas.accounts)
        tick_voter(quotas, 60.0)
        self.assertFalse(quotas.accounts)
        self.assertFalse(quotas.withdrawals)
        record_confirmation(quotas, 60.0)
        self.assertEqual(grant(quotas, 30, 60.0).tokens, 11)


if __name__ == "__main__":
    unittest.main()
