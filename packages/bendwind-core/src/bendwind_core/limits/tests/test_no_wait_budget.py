"""Check that tries which may not wait go on while they are taken, and end while they are not."""

import unittest

from bendwind_core.limits import (
    NoWaitBudget,
    earn_by_call,
    earn_by_no_wait_attempt,
    may_send_no_wait,
    spend_on_refusal,
)
from bendwind_core.limits.no_wait_budget import MAX_NO_WAIT_TOKENS, TOKENS_PER_CALL

TRIES = 6


class TryBudgetTest(unittest.TestCase):
    def play(self, budget, calls, taken_every):
        """Return how many tries were sent back; one in `taken_every` is taken."""
        tries = sent_back = 0
        for _ in range(calls):
            earn_by_call(budget)
            for _ in range(TRIES):
                if not may_send_no_wait(budget):
                    break
                tries += 1
                earn_by_no_wait_attempt(budget)
                if tries % taken_every == 0:
                    break
                sent_back += 1
                spend_on_refusal(budget, is_no_wait=True)
        return sent_back

    def test_under_lasting_overload_one_call_in_five_tries(self):
        budget = NoWaitBudget()
        sent_back = self.play(budget, 1000, taken_every=10**9)
        self.assertLessEqual(sent_back, MAX_NO_WAIT_TOKENS + 1000 * TOKENS_PER_CALL)
        self.assertGreaterEqual(sent_back, 1000 * TOKENS_PER_CALL - 1)

    def test_tries_are_back_within_some_calls_once_upstreams_are_free(self):
        budget = NoWaitBudget()
        self.play(budget, 1000, taken_every=10**9)
        self.play(budget, 10, taken_every=1)
        self.assertGreater(budget.tokens, TRIES)

    def test_one_taken_in_five_keeps_them_going(self):
        budget = NoWaitBudget()
        self.play(budget, 1000, taken_every=4)
        self.assertTrue(may_send_no_wait(budget))

    def test_what_a_queue_refuses_costs_what_it_took(self):
        budget = NoWaitBudget()
        spend_on_refusal(budget, is_no_wait=False)
        self.assertEqual(budget.tokens, MAX_NO_WAIT_TOKENS - 1.0)


if __name__ == "__main__":
    unittest.main()
