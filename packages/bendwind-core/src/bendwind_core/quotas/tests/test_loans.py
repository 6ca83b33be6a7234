"""Test what one voter lends and borrows."""

import unittest

from bendwind_core.quotas import (
    QuotaLoan,
    QuotaLoanRequest,
    QuotaReply,
    QuotaReturn,
    QuotaUnused,
    Share,
    handle_quota_loan,
    handle_quota_loan_request,
    handle_quota_return,
    record_confirmation,
    tick_voter,
    update_voters,
)
from bendwind_core.quotas.tests.voter_steps import (
    BOUNDS,
    RUN,
    create_voter,
    grant,
    request_tokens,
)
from bendwind_core.quotas.voter import LOAN_TIMEOUT
from bendwind_core.quotas.voter_state import RETURN_PERIOD


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


if __name__ == "__main__":
    unittest.main()
