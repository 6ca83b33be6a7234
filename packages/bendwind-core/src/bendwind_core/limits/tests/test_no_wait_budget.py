"""Check that no-wait attempts continue while they are accepted and cease while refused."""

import unittest

from bendwind_core.limits import (
    NoWaitBudget,
    earn_by_call,
    earn_by_no_wait_attempt,
    may_send_no_wait,
    spend_on_refusal,
)
from bendwind_core.limits.no_wait_budget import MAX_NO_WAIT_TOKENS, TOKENS_PER_CALL

MAX_ATTEMPTS = 6


class NoWaitBudgetTest(unittest.TestCase):
    def run_calls(self, budget, calls, accepted_every):
        """Return how many attempts were refused; one in `accepted_every` is accepted."""
        attempts = refused = 0
        for _ in range(calls):
            earn_by_call(budget)
            for _ in range(MAX_ATTEMPTS):
                if not may_send_no_wait(budget):
                    break
                attempts += 1
                earn_by_no_wait_attempt(budget)
                if attempts % accepted_every == 0:
                    break
                refused += 1
                spend_on_refusal(budget, is_no_wait=True)
        return refused

    def test_one_call_in_five_makes_an_attempt_under_lasting_overload(self):
        budget = NoWaitBudget()
        refused = self.run_calls(budget, 1000, accepted_every=10**9)
        self.assertLessEqual(refused, MAX_NO_WAIT_TOKENS + 1000 * TOKENS_PER_CALL)
        self.assertGreaterEqual(refused, 1000 * TOKENS_PER_CALL - 1)

    def test_attempts_resume_within_some_calls_once_upstreams_are_free(self):
        budget = NoWaitBudget()
        self.run_calls(budget, 1000, accepted_every=10**9)
        self.run_calls(budget, 10, accepted_every=1)
        self.assertGreater(budget.tokens, MAX_ATTEMPTS)

    def test_attempts_continue_if_one_in_four_is_accepted(self):
        budget = NoWaitBudget()
        self.run_calls(budget, 1000, accepted_every=4)
        self.assertTrue(may_send_no_wait(budget))

    def test_refusal_by_a_queue_costs_one_token(self):
        budget = NoWaitBudget()
        spend_on_refusal(budget, is_no_wait=False)
        self.assertEqual(budget.tokens, MAX_NO_WAIT_TOKENS - 1.0)


if __name__ == "__main__":
    unittest.main()
