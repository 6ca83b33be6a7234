import bisect
import random
import unittest

from bendwind_core.limits import RetryBudget, earn_retry, spend_retry

# What the users of the platform allow in any such window: a share of the requests, and a rest.
WINDOW_S = 10.0
ALLOWED_RATIO = 0.2
REST = {3: 58, 30: 58, 95: 206, 300: 206}
RATE_OF_A_NODE = 2.5
# A repeated run repeats its calls, which count at the service that they lead to.
CALLS_OF_A_RUN = 1.4
LENGTH_S = 60.0
FAULT_AT_S = 45.0


class FleetOfBudgets:
    """Play nodes that each share out their own budget; all requests fail from one moment on."""

    def __init__(self, nodes, seed):
        self.rng = random.Random(seed)
        self.requests = []
        self.repeats = []
        budgets = [RetryBudget(0.1) for _ in range(nodes)]
        now = 0.0
        while now < LENGTH_S:
            now += self.rng.expovariate(RATE_OF_A_NODE * nodes)
            budget = self.rng.choice(budgets)
            earn_retry(budget, now)
            self.requests.append(now)
            if now >= FAULT_AT_S and spend_retry(budget):
                self.repeats.append(now)

    def find_worst(self, calls):
        """Return the most repeats in a window less the allowed share of its requests."""
        worst = 0.0
        for at in self.repeats:
            requests = self._count(self.requests, at) * (1.0 + calls)
            repeats = self._count(self.repeats, at) * (1.0 + calls)
            worst = max(worst, repeats - ALLOWED_RATIO * requests)
        return worst

    def _count(self, times, until):
        return bisect.bisect_right(times, until) - bisect.bisect_left(times, until - WINDOW_S)


class RetryBudgetTest(unittest.TestCase):
    def test_all_nodes_together_stay_within_what_is_allowed(self):
        for nodes, rest in REST.items():
            fleet = FleetOfBudgets(nodes, seed=nodes)
            for calls in (0.0, CALLS_OF_A_RUN):
                with self.subTest(nodes=nodes, calls=calls):
                    self.assertLessEqual(fleet.find_worst(calls), rest)

    def test_a_node_with_few_requests_keeps_one_retry(self):
        budget = RetryBudget(0.1)
        for number in range(20):
            earn_retry(budget, 10.0 * number)
        self.assertTrue(spend_retry(budget))
        self.assertFalse(spend_retry(budget))

    def test_what_was_saved_above_one_fades(self):
        budget = RetryBudget(0.1, tokens=9.0, credited_at=0.0)
        earn_retry(budget, 5.0)
        self.assertAlmostEqual(budget.tokens, 5.1, places=6)


if __name__ == "__main__":
    unittest.main()
