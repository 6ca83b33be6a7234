"""Test what one voter grants, takes back and evicts."""

import itertools
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
from bendwind_core.quotas.tests.voter_steps import (
    BOUNDS,
    CONFIRMED_FOR,
    RUN,
    create_voter,
    grant,
    request_tokens,
    set_limit,
)
from bendwind_core.quotas.voter_state import RETURN_PERIOD
from bendwind_core.world import Configuration, Customer


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

    def test_demand_of_any_size_is_answered_and_gets_what_there_is(self):
        numbers = (-(10**400), -(2**64), -1, 0, 2**64, 10**400)
        for waiting, prefetch, reserve in itertools.product(numbers, repeat=3):
            quotas = create_voter(rate=1e300)
            set_limit(quotas, 1e300, 11.0, 0.0)
            demand = QuotaDemand("maria", waiting, prefetch, reserve, (waiting, reserve))
            handle_quota_request(quotas, "n", QuotaRequest(1, (demand,)), 0.0)
            tick_voter(quotas, 0.1)
            self.assertEqual(grant(quotas, 1, 0.2, number=2).tokens, 1)
            self.assertGreaterEqual(quotas.next_number, 1)

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
