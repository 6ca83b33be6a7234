"""Check that no limit of a customer, however extreme, ends what grants its tokens."""

import itertools
import math
import unittest

from bendwind_core.quotas import QuotaBounds, create_share, update_configuration
from bendwind_core.quotas.tests.quota_world import Model
from bendwind_core.world import Configuration, Customer

RATES = (5e-324, 1e-300, 1e-9, 1.0, 1e300, 1e308, 1.7e308, math.inf)
BURSTS = (-math.inf, -1.0, 0.0, 5e-324, 1.0, 1e300, 1.7e308, math.inf, math.nan)
LIMITS = tuple(itertools.product(RATES, BURSTS))


def play(rate, burst):
    """Play requests under a limit, some of which return their tokens, and changes of the limit."""
    model = Model((Customer("c", (), None, rate, burst),), nodes=2, voters=2)
    model.returns_tokens = lambda customer: len(model.outcomes) % 2 == 0
    model.add_request_stream("c", ("n0", "n1"), 60.0, 0.0, 0.9)
    model.run(0.3)
    stated = model.configuration.customers
    for version, customers in ((2, (Customer("c", (), None, 5.0, 3.0),)), (3, stated)):
        for quotas in model.voters.values():
            update_configuration(quotas, Configuration(version, customers=customers), model.now)
        model.run(model.now + 0.3)
    model.run(1.5)
    return model


class ExtremeLimitsTest(unittest.TestCase):
    def test_tokens_of_every_limit_are_granted_lent_returned_and_refused(self):
        for rate, burst in LIMITS:
            with self.subTest(rate=rate, burst=burst):
                model = play(rate, burst)
                self.assertGreater(len(model.outcomes), 20)

    def test_numbers_of_a_share_are_finite_and_refill_it(self):
        for (rate, burst), voters in itertools.product(LIMITS, (1, 9)):
            share = create_share(Customer("c", (), None, rate, burst), QuotaBounds(), voters)
            numbers = (share.rate, share.cap, share.reserve, 1 / share.rate)
            self.assertTrue(all(map(math.isfinite, numbers)), (rate, burst, share))
            self.assertTrue(share.cap >= 0 and share.reserve >= 0, (rate, burst, share))


if __name__ == "__main__":
    unittest.main()
