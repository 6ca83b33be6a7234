"""Test what one voter grants, lends, borrows and forgets."""

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
from bendwind_core.quotas.voter import LENDER_WAIT
from bendwind_core.quotas.voter_state import UNDONE_FOR
from bendwind_core.world import Configuration, Customer

BOUNDS = QuotaBounds(10.0, 0.1, 0.0)
CONFIRMED_FOR = 1.0
RUN = 7


def create_voter(rate=10.0, burst=10.0, voters=1, now=0.0, run=RUN):
    """Make a voter that has been one for long, and a customer that is new."""
    quotas = create_voter_quotas("v1", run, BOUNDS, voters, CONFIRMED_FOR)
    peers = tuple(f"v{number}" for number in range(2, voters + 1))
    update_voters(quotas, 1, peers, now)
    record_confirmation(quotas, now)
    set_limit(quotas, rate, burst, now)
    return quotas


def set_limit(quotas, rate, burst, now):
    listed = () if rate is None else (Customer("maria", rate_per_s=rate, burst=burst),)
    update_configuration(quotas, Configuration(1, customers=listed), now)


def ask(quotas, waiting, now, ahead=0, number=1):
    effects = handle_quota_request(
        quotas, "n", QuotaRequest(number, (QuotaDemand("maria", waiting, ahead),)), now
    )
    return effects


def grant(quotas, waiting, now, ahead=0, number=1):
    """Ask, and return the grant that comes at once."""
    replies = [
        effect.message
        for effect in ask(quotas, waiting, now, ahead, number)
        if isinstance(effect.message, QuotaReply)
    ]
    return replies[-1].grants[0]


class TestGranting(unittest.TestCase):
    def test_a_new_customer_has_its_burst_at_once(self):
        quotas = create_voter()
        granted = grant(quotas, 30, 0.0)
        self.assertEqual(granted.tokens, 11)
        self.assertGreater(granted.wait_ms, 0)

    def test_half_of_what_is_left_is_granted_ahead(self):
        self.assertEqual(grant(create_voter(), 1, 0.0, ahead=100).tokens, 6)

    def test_those_refused_are_told_to_come_back_one_after_the_other(self):
        quotas = create_voter()
        grant(quotas, 30, 0.0)
        waits = [grant(quotas, 1, 0.0, number=number).wait_ms for number in range(2, 6)]
        self.assertEqual(waits, sorted(waits))
        self.assertGreater(waits[-1], waits[0] + 200)

    def test_without_a_young_confirmation_nothing_is_answered(self):
        quotas = create_voter()
        self.assertEqual(ask(quotas, 1, CONFIRMED_FOR), [])
        record_confirmation(quotas, CONFIRMED_FOR)
        self.assertEqual(len(ask(quotas, 1, CONFIRMED_FOR)), 1)

    def test_nothing_is_lent_without_a_young_confirmation(self):
        self.assertEqual(
            handle_quota_loan_request(create_voter(), "v2", QuotaLoanRequest(1, "maria", 1.0), 5.0),
            [],
        )

    def test_a_voter_made_one_begins_empty_after_its_predecessor_stopped(self):
        quotas = create_voter_quotas("v1", RUN, BOUNDS, 1, CONFIRMED_FOR)
        update_voters(quotas, None, (), 0.0)
        set_limit(quotas, 10.0, 10.0, 0.0)
        update_voters(quotas, 1, (), 5.0)
        record_confirmation(quotas, 5.0)
        self.assertEqual(ask(quotas, 1, 5.5), [])
        record_confirmation(quotas, 6.5)
        self.assertEqual(grant(quotas, 30, 6.52).tokens, 5)

    def test_a_process_that_hears_its_log_anew_waits_from_its_start(self):
        # Each process that came back after a loss of power granted nothing for a second more.
        quotas = create_voter_quotas("v1", RUN, BOUNDS, 1, CONFIRMED_FOR)
        update_voters(quotas, None, (), 5.0)
        update_voters(quotas, 1, (), 5.6)
        set_limit(quotas, 10.0, 10.0, 5.6)
        record_confirmation(quotas, 5.9)
        self.assertEqual(ask(quotas, 1, 5.95), [])
        self.assertEqual(grant(quotas, 30, 6.52).tokens, 5)

    def test_a_voter_that_restarted_begins_empty(self):
        quotas = create_voter_quotas("v1", RUN, BOUNDS, 1, CONFIRMED_FOR)
        update_voters(quotas, 1, (), 0.0)
        set_limit(quotas, 10.0, 10.0, 0.0)
        record_confirmation(quotas, 0.0)
        self.assertEqual(grant(quotas, 30, 0.52).tokens, 5)

    def test_a_voter_taken_out_and_in_again_begins_empty(self):
        quotas = create_voter()
        update_voters(quotas, 2, (), 5.0)
        record_confirmation(quotas, 6.0)
        self.assertEqual(grant(quotas, 30, 6.52).tokens, 5)


class TestLimits(unittest.TestCase):
    def test_a_lowered_limit_cuts_a_bucket_that_is_kept_and_one_that_is_not(self):
        for was_asked in (True, False):
            with self.subTest(was_asked=was_asked):
                quotas = create_voter(10.0, 100.0)
                if was_asked:
                    grant(quotas, 1, 0.0)
                set_limit(quotas, 10.0, 10.0, 0.0)
                self.assertEqual(grant(quotas, 300, 0.0).tokens, 11)

    def test_a_raised_limit_fills_faster_at_once_but_adds_nothing(self):
        quotas = create_voter(10.0, 10.0)
        grant(quotas, 11, 0.0)
        set_limit(quotas, 100.0, 100.0, 0.0)
        self.assertEqual(grant(quotas, 300, 0.505).tokens, 50)

    def test_raising_and_lowering_in_turn_adds_nothing(self):
        quotas = create_voter(10.0, 100.0)
        total = 0
        for number in range(1, 10):
            set_limit(quotas, 10.0, 10.0, 0.0)
            total += grant(quotas, 300, 0.0, number=2 * number).tokens
            set_limit(quotas, 10.0, 100.0, 0.0)
            total += grant(quotas, 300, 0.0, number=2 * number + 1).tokens
        self.assertLessEqual(total, 110)

    def test_a_customer_whose_limit_is_gone_is_granted_all(self):
        quotas = create_voter()
        grant(quotas, 11, 0.0)
        set_limit(quotas, 0.0, 0.0, 0.0)
        self.assertEqual(grant(quotas, 50, 0.0).tokens, 50)
        set_limit(quotas, 10.0, 10.0, 0.0)
        self.assertEqual(grant(quotas, 50, 0.0).tokens, 0)

    def test_a_customer_that_is_not_known_is_neither_granted_nor_refused(self):
        quotas = create_voter()
        want = QuotaRequest(1, (QuotaDemand("new", 1),))
        (effect,) = handle_quota_request(quotas, "n", want, 0.0)
        granted = effect.message.grants[0]
        self.assertEqual((granted.tokens, granted.wait_ms), (0, None))

    def test_a_customer_that_goes_and_comes_back_has_what_it_had(self):
        quotas = create_voter()
        grant(quotas, 300, 0.0)
        for _ in range(3):
            set_limit(quotas, None, None, 0.0)
            self.assertEqual(grant(quotas, 1, 0.0).tokens, 0)
            set_limit(quotas, 10.0, 10.0, 0.0)
            self.assertEqual(grant(quotas, 300, 0.0).tokens, 0)

    def test_a_customer_that_goes_while_buckets_fill_comes_back_with_what_it_had(self):
        quotas = create_voter_quotas("v1", RUN, BOUNDS, 1, CONFIRMED_FOR)
        update_voters(quotas, 1, (), 0.0)
        set_limit(quotas, 10.0, 10.0, 0.0)
        record_confirmation(quotas, 0.0)
        set_limit(quotas, None, None, 0.3)
        set_limit(quotas, 10.0, 10.0, 0.3)
        self.assertEqual(grant(quotas, 30, 0.52).tokens, 5)


class TestComebacks(unittest.TestCase):
    """Pin that a voter grants no burst which its earlier run may have granted."""

    def restart(self, *, version=3, is_known=False, confirmed_at=0.0):
        """Make a run that begins while the customer is not listed, or not limited."""
        quotas = create_voter_quotas("v1", RUN, BOUNDS, 1, CONFIRMED_FOR)
        update_voters(quotas, 1, (), 0.0)
        listed = (Customer("maria"),) if is_known else None
        update_configuration(quotas, Configuration(version, customers=listed), 0.0)
        record_confirmation(quotas, confirmed_at)
        return quotas

    def count(self, quotas, now):
        record_confirmation(quotas, now)
        return grant(quotas, 30, now).tokens

    def test_a_customer_put_back_after_a_restart_has_what_it_would_have_had(self):
        for is_known in (False, True):
            with self.subTest(is_known=is_known):
                quotas = self.restart(is_known=is_known)
                set_limit(quotas, 10.0, 10.0, 0.4)
                self.assertEqual(self.count(quotas, 0.52), 5)

    def test_one_put_back_after_another_place_was_taken_has_no_more(self):
        quotas = self.restart()
        update_voters(quotas, 2, (), 2.0)
        record_confirmation(quotas, 3.0)
        set_limit(quotas, 10.0, 10.0, 3.0)
        self.assertEqual(self.count(quotas, 3.52), 5)

    def test_a_voter_that_runs_for_long_gives_a_new_customer_its_burst(self):
        quotas = self.restart()
        set_limit(quotas, 10.0, 10.0, 2.0)
        self.assertEqual(self.count(quotas, 2.0), 11)

    def test_a_run_that_knows_all_customers_there_were_gives_a_new_one_its_burst(self):
        quotas = self.restart(version=0)
        update_configuration(quotas, Configuration(1), 0.1)
        set_limit(quotas, 10.0, 10.0, 0.2)
        self.assertEqual(self.count(quotas, 0.2), 11)


class TestReturns(unittest.TestCase):
    def give_back(self, quotas, number, tokens, now=0.0, run=RUN):
        handle_quota_return(quotas, QuotaReturn(run, (QuotaUnused(number, tokens),)), now)

    def test_what_comes_back_is_granted_again_once(self):
        quotas = create_voter()
        number = grant(quotas, 11, 0.0).number
        self.give_back(quotas, number, 2)
        self.give_back(quotas, number, 2)
        self.give_back(quotas, number, 3)
        self.give_back(quotas, number, 1)
        self.assertEqual(grant(quotas, 30, 0.0).tokens, 3)

    def test_no_more_comes_back_than_was_granted(self):
        quotas = create_voter()
        number = grant(quotas, 5, 0.0).number
        grant(quotas, 6, 0.0)
        self.give_back(quotas, number, 100)
        self.assertEqual(grant(quotas, 30, 0.0).tokens, 5)

    def test_what_another_run_granted_does_not_come_back(self):
        quotas = create_voter()
        number = grant(quotas, 11, 0.0).number
        self.give_back(quotas, number, 5, run=RUN - 1)
        self.assertEqual(grant(quotas, 30, 0.0).tokens, 0)

    def test_what_comes_back_too_late_is_lost(self):
        quotas = create_voter(0.01, 10.0)
        number = grant(quotas, 11, 0.0).number
        self.give_back(quotas, number, 5, now=UNDONE_FOR + 0.1)
        record_confirmation(quotas, UNDONE_FOR)
        self.assertEqual(grant(quotas, 30, UNDONE_FOR + 0.1).tokens, 0)


class TestLoans(unittest.TestCase):
    def setUp(self):
        self.quotas = create_voter(30.0, 30.0, voters=3)
        self.first = grant(self.quotas, 11, 0.0)
        self.assertEqual(self.first.tokens, 11)

    def pull(self, now=0.0, waiting=2):
        """Ask for more than there is; return the question to another voter."""
        (effect,) = ask(self.quotas, waiting, now, number=2)
        self.assertIsInstance(effect.message, QuotaLoanRequest)
        return effect

    def lend(self, effect, tokens, now=0.01, left=5.0, voter=None, run=3):
        loan = QuotaLoan(effect.message.number, run, "maria", 4, tokens, left)
        return handle_quota_loan(self.quotas, voter or effect.to, loan, now)

    def test_who_waits_is_answered_with_what_was_lent(self):
        (answer,) = self.lend(self.pull(), 2.0)
        self.assertEqual((answer.to, answer.message.grants[0].tokens), ("n", 2))

    def test_a_loan_counts_once_and_only_from_whom_was_asked(self):
        effect = self.pull(waiting=2)
        self.assertEqual(self.lend(effect, 2.0, voter="v9"), [])
        self.assertEqual(len(self.lend(effect, 2.0)), 1)
        self.assertEqual(self.lend(effect, 2.0), [])
        self.assertEqual(self.quotas.totals.borrowed, 2.0)

    def test_a_loan_asked_for_in_an_earlier_run_does_not_count(self):
        effect = self.pull()
        later = create_voter(30.0, 30.0, voters=3, run=RUN + 1)
        grant(later, 11, 0.0)
        (again,) = ask(later, 2, 0.0, number=2)
        self.assertNotEqual(effect.message.number, again.message.number)

    def test_what_was_lent_too_much_ends_and_is_given_back(self):
        self.lend(self.pull(), 5.0)
        until = BOUNDS.loan_validity
        record_confirmation(self.quotas, until)
        self.quotas.accounts["maria"].bucket.level = 0.0
        back = [effect for effect in tick_voter(self.quotas, until + 0.001)]
        self.assertEqual([effect.message.unused[0].tokens for effect in back], [3.0])
        self.assertEqual((back[0].to, back[0].message.run), ("v2", 3))

    def test_what_was_lent_is_not_lent_on(self):
        self.lend(self.pull(), 5.0)
        (answer,) = handle_quota_loan_request(
            self.quotas, "v3", QuotaLoanRequest(1, "maria", 5.0), 0.01
        )
        self.assertLess(answer.message.tokens, 1.0)

    def test_a_voter_that_has_nothing_is_left_alone_for_a_while(self):
        effect = self.pull()
        (second,) = self.lend(effect, 0.0, left=0.0)
        self.assertNotEqual(second.to, effect.to)
        (answer,) = self.lend(second, 0.0, left=0.0)
        self.assertEqual(answer.message.grants[0].tokens, 0)
        (answer,) = ask(self.quotas, 1, 0.02, number=3)
        self.assertIsInstance(answer.message, QuotaReply)

    def test_a_voter_that_does_not_answer_is_passed_over(self):
        effect = self.pull()
        (second,) = tick_voter(self.quotas, LENDER_WAIT)
        self.assertNotEqual(second.to, effect.to)
        self.assertIsInstance(second.message, QuotaLoanRequest)

    def test_who_waits_is_answered_though_nobody_lends(self):
        self.pull()
        answers = []
        for tick in range(1, 20):
            record_confirmation(self.quotas, 0.01 * tick)
            answers += tick_voter(self.quotas, 0.01 * tick)
        told = [effect.message for effect in answers if isinstance(effect.message, QuotaReply)]
        self.assertEqual(len(told), 1)

    def test_lending_takes_from_the_bucket_and_returning_puts_it_back(self):
        lender = create_voter(30.0, 30.0, voters=3)
        (answer,) = handle_quota_loan_request(lender, "v2", QuotaLoanRequest(1, "maria", 6.0), 0.0)
        self.assertEqual(answer.message.tokens, 6.0)
        self.assertEqual(lender.accounts["maria"].bucket.level, 5.0)
        unused = QuotaUnused(answer.message.number, 2.5)
        handle_quota_return(lender, QuotaReturn(RUN, (unused,)), 0.0)
        self.assertEqual(lender.accounts["maria"].bucket.level, 7.5)


class TestLateLoans(unittest.TestCase):
    """Pin that what was lent after the lender was given up is used or given back, once."""

    def setUp(self):
        self.quotas = create_voter(30.0, 30.0, voters=3)
        grant(self.quotas, 11, 0.0)
        (self.pull,) = ask(self.quotas, 2, 0.0, number=2)
        (self.second,) = tick_voter(self.quotas, LENDER_WAIT)
        self.quotas.accounts["maria"].bucket.share = Share(1e-6, 10.0, 0.0)

    def lend(self, pull, tokens, now, number=4, run=3):
        loan = QuotaLoan(pull.message.number, run, "maria", number, tokens, 5.0)
        return handle_quota_loan(self.quotas, pull.to, loan, now)

    def list_back(self, now):
        return [
            (effect.to, effect.message)
            for effect in tick_voter(self.quotas, now)
            if isinstance(effect.message, QuotaReturn)
        ]

    def test_it_serves_those_who_wait_since_before_it_was_asked_for(self):
        (answer,) = self.lend(self.pull, 2.0, LENDER_WAIT + 0.01)
        self.assertEqual((answer.to, answer.message.number), ("n", 2))
        self.assertEqual(answer.message.grants[0].tokens, 2)

    def test_the_other_lender_is_still_heard(self):
        self.lend(self.pull, 2.0, LENDER_WAIT + 0.01)
        self.lend(self.second, 1.5, LENDER_WAIT + 0.02, number=5)
        self.assertEqual(self.quotas.totals.borrowed, 3.5)

    def test_what_nobody_waits_for_goes_back_to_its_lender_once(self):
        self.lend(self.second, 2.0, LENDER_WAIT + 0.005, number=5)
        self.assertEqual(self.lend(self.pull, 6.0, LENDER_WAIT + 0.01), [])
        until = BOUNDS.loan_validity + LENDER_WAIT
        back = QuotaReturn(3, (QuotaUnused(4, 6.0),))
        self.assertEqual(self.list_back(until), [(self.pull.to, back)])
        self.assertEqual(self.list_back(until + 0.1), [])

    def test_what_comes_too_old_goes_back_at_the_next_tick(self):
        self.lend(self.second, 2.0, LENDER_WAIT + 0.005, number=5)
        until = BOUNDS.loan_validity + LENDER_WAIT
        self.lend(self.pull, 6.0, until)
        back = QuotaReturn(3, (QuotaUnused(4, 6.0),))
        self.assertEqual(self.list_back(until), [(self.pull.to, back)])

    def test_what_comes_for_a_customer_that_is_forgotten_goes_back_at_once(self):
        update_voters(self.quotas, None, (), LENDER_WAIT)
        (effect,) = self.lend(self.pull, 6.0, LENDER_WAIT + 0.01)
        back = QuotaReturn(3, (QuotaUnused(4, 6.0),))
        self.assertEqual((effect.to, effect.message), (self.pull.to, back))

    def test_a_repeated_one_neither_counts_nor_goes_back_again(self):
        for _ in range(2):
            self.lend(self.pull, 2.0, LENDER_WAIT + 0.01)
        self.assertEqual(self.quotas.totals.borrowed, 2.0)
        self.lend(self.second, 0.0, LENDER_WAIT + 0.02)
        update_voters(self.quotas, None, (), LENDER_WAIT)
        self.assertEqual(self.lend(self.pull, 2.0, LENDER_WAIT + 0.03), [])

    def test_one_of_whom_was_not_asked_is_not_taken(self):
        loan = QuotaLoan(self.pull.message.number, 3, "maria", 4, 2.0, 5.0)
        self.assertEqual(handle_quota_loan(self.quotas, "v9", loan, LENDER_WAIT + 0.01), [])
        self.assertEqual(self.quotas.totals.borrowed, 0.0)

    def test_questions_are_forgotten_when_the_lender_cannot_take_it_back_any_more(self):
        tick_voter(self.quotas, UNDONE_FOR + 1.0)
        self.assertNotIn(self.pull.message.number, self.quotas.pulls)
        self.assertNotIn(self.second.message.number, self.quotas.pulls)


class TestWithoutOverage(unittest.TestCase):
    """Pin that loans serve those who waited for them, where no token may be kept at all."""

    def setUp(self):
        bounds = QuotaBounds(10.0, 0.0, 0.0)
        self.quotas = create_voter_quotas("v1", RUN, bounds, 3, CONFIRMED_FOR)
        update_voters(self.quotas, 1, ("v2", "v3"), 0.0)
        record_confirmation(self.quotas, 0.0)
        set_limit(self.quotas, 30.0, 30.0, 0.0)
        grant(self.quotas, 10, 0.0)

    def test_who_waited_is_served_by_the_loan_and_who_came_later_is_not(self):
        (pull,) = ask(self.quotas, 2, 0.001, number=2)
        ask(self.quotas, 1, 0.002, number=3)
        loan = QuotaLoan(pull.message.number, 3, "maria", 4, 4.0, 5.0)
        effects = handle_quota_loan(self.quotas, pull.to, loan, 0.005)
        told = [e.message for e in effects if isinstance(e.message, QuotaReply)]
        self.assertEqual([(reply.number, reply.grants[0].tokens) for reply in told], [(2, 2)])
        (back,) = [e for e in tick_voter(self.quotas, 0.01) if isinstance(e.message, QuotaReturn)]
        self.assertEqual(back.message.unused[0].tokens, 2.0)


class TestForgetting(unittest.TestCase):
    def test_a_full_bucket_is_forgotten_and_is_full_when_it_is_asked_again(self):
        quotas = create_voter()
        grant(quotas, 11, 0.0)
        tick_voter(quotas, 1.0)
        self.assertTrue(quotas.accounts)
        tick_voter(quotas, 60.0)
        self.assertFalse(quotas.accounts)
        self.assertFalse(quotas.takings)
        record_confirmation(quotas, 60.0)
        self.assertEqual(grant(quotas, 30, 60.0).tokens, 11)


if __name__ == "__main__":
    unittest.main()
