"""Test the bucket of one customer at one voter."""

import math
import unittest

from bendwind_core.quotas.bounds import QuotaBounds, Share, create_share, find_max_requests
from bendwind_core.quotas.bucket import (
    MAX_PEAKS,
    Bucket,
    find_wait,
    refill,
    refund,
    set_share,
    withdraw,
)
from bendwind_core.quotas.voter_state import VoterAccount
from bendwind_core.quotas.withdrawals import count_whole
from bendwind_core.world import Customer

SHARE = Share(rate=10.0, cap=20.0, reserve=0.0)


def create_bucket(level: float = 20.0) -> Bucket:
    """Create a bucket that was refilled at time 0."""
    return Bucket(SHARE, level, 0.0, 1)


class TestRefill(unittest.TestCase):
    """Test refills and changes of the share."""

    def test_refills_with_time_up_to_its_cap(self):
        bucket = create_bucket(0.0)
        refill(bucket, 1.5)
        self.assertAlmostEqual(bucket.level, 15.0)
        refill(bucket, 60.0)
        self.assertEqual(bucket.level, 20.0)

    def test_a_time_in_the_past_adds_nothing(self):
        bucket = create_bucket(0.0)
        refill(bucket, 1.0)
        refill(bucket, 0.5)
        refill(bucket, 1.0)
        self.assertAlmostEqual(bucket.level, 10.0)

    def test_a_lowered_limit_discards_tokens_above_the_cap(self):
        bucket = create_bucket()
        set_share(bucket, Share(1.0, 5.0, 0.0), 1, 0.0)
        self.assertEqual(bucket.level, 5.0)

    def test_a_raised_limit_adds_nothing_immediately_but_refills_faster(self):
        bucket = create_bucket(5.0)
        set_share(bucket, Share(100.0, 200.0, 0.0), 1, 0.0)
        refill(bucket, 1.0)
        self.assertAlmostEqual(bucket.level, 105.0)

    def test_find_wait_returns_the_time_until_a_token_is_available(self):
        bucket = create_bucket(0.0)
        self.assertAlmostEqual(find_wait(bucket, 1.0, 0.0), 0.1)


class TestRefund(unittest.TestCase):
    """Test that a refund leaves no more tokens than without the withdrawal."""

    def test_a_withdrawal_from_a_full_bucket_is_refunded(self):
        bucket = create_bucket()
        withdraw(bucket, 8.0, 1, 0.0)
        self.assertEqual(refund(bucket, 8.0, 1, 0.0), 8.0)
        self.assertEqual(bucket.level, 20.0)

    def test_tokens_that_would_have_overflowed_are_not_refunded(self):
        bucket = create_bucket()
        withdraw(bucket, 8.0, 1, 0.0)
        self.assertAlmostEqual(refund(bucket, 8.0, 1, 0.5), 3.0)
        self.assertEqual(bucket.level, 20.0)

    def test_alternating_withdrawals_and_refunds_accumulate_nothing(self):
        bucket = create_bucket()
        withdraw(bucket, 20.0, 1, 0.0)
        withdraw(bucket, 10.0, 2, 1.0)
        restored = refund(bucket, 20.0, 1, 1.0)
        # Without the first withdrawal, the bucket would have held 20 tokens before the second
        # withdrawal, and 10 after it.
        self.assertAlmostEqual(restored, 10.0)
        self.assertAlmostEqual(bucket.level, 10.0)
        withdraw(bucket, 10.0, 3, 1.0)
        self.assertAlmostEqual(refund(bucket, 10.0, 2, 1.0), 10.0)
        self.assertAlmostEqual(bucket.level, 10.0)

    def test_a_withdrawal_under_another_limit_is_not_refunded(self):
        bucket = create_bucket()
        withdraw(bucket, 8.0, 1, 0.0)
        set_share(bucket, Share(10.0, 100.0, 0.0), 2, 0.0)
        self.assertEqual(refund(bucket, 8.0, 1, 0.0), 0.0)

    def test_the_number_of_peaks_is_bounded_and_older_withdrawals_are_not_refunded(self):
        bucket = create_bucket(20.0)
        for number in range(1, 10 + MAX_PEAKS):
            withdraw(bucket, 0.1, number, 0.0)
        self.assertEqual(len(bucket.peaks), MAX_PEAKS)
        self.assertEqual(refund(bucket, 0.1, 1, 0.0), 0.0)
        self.assertAlmostEqual(refund(bucket, 0.1, 5 + MAX_PEAKS, 0.0), 0.1)


class TestShares(unittest.TestCase):
    """Test that all shares together stay within the bound."""

    def test_buckets_reserve_and_token_age_stay_within_the_bound(self):
        for slack in (0.0, 1.0, 10.0):
            for overage in (0.0, 0.02, 0.1):
                for rate, burst in ((0.1, 0.0), (1.0, 1.0), (300.0, 300.0)):
                    with self.subTest(slack=slack, overage=overage, rate=rate):
                        self._check(QuotaBounds(10.0, overage, slack), rate, burst)

    def _check(self, bounds: QuotaBounds, rate: float, burst: float) -> None:
        customer = Customer("a", rate_per_s=rate, burst=burst)
        share = create_share(customer, bounds, 5)
        total = 5 * (share.cap + share.reserve) + 5 * share.rate * (
            bounds.window + bounds.max_token_age
        )
        self.assertLessEqual(total, find_max_requests(customer, bounds, bounds.window) + 1e-6)

    def test_a_bucket_can_hold_one_token_if_the_bound_permits(self):
        customer = Customer("a", rate_per_s=0.5, burst=0.5)
        self.assertGreaterEqual(create_share(customer, QuotaBounds(10.0, 0.1, 10.0), 5).cap, 1.0)

    def test_tokens_and_waits_of_the_largest_and_smallest_quotas_are_finite(self):
        for rate in (5e-324, 1e-300, 1.0, 1e308, 1.7e308):
            for burst in (0.0, 5e-324, 1e308, 1.7e308):
                with self.subTest(rate=rate, burst=burst):
                    self._count(Customer("a", rate_per_s=rate, burst=burst))

    def _count(self, customer: Customer) -> None:
        share = create_share(customer, QuotaBounds(), 5)
        account = VoterAccount(Bucket(share, 0.0, 0.0, 1), last_demand_at=0.0)
        self.assertGreaterEqual(count_whole(account, 1e6), 0)
        self.assertGreaterEqual(int(share.reserve), 0)
        withdraw(account.bucket, share.cap, 1, 1e6)
        self.assertTrue(math.isfinite(find_wait(account.bucket, 1.0, 1e6)))


if __name__ == "__main__":
    unittest.main()
