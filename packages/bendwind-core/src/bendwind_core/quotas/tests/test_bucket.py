"""Test the tokens of one customer at one voter."""

import unittest

from bendwind_core.quotas.bounds import QuotaBounds, Share, create_share, find_max_requests
from bendwind_core.quotas.bucket import (
    MAX_PEAKS,
    Bucket,
    find_wait,
    put_back,
    refill,
    set_share,
    take,
)
from bendwind_core.world import Customer

SHARE = Share(rate=10.0, cap=20.0, reserve=0.0)


def create_bucket(level: float = 20.0) -> Bucket:
    """Make a bucket as of time 0."""
    return Bucket(SHARE, level, 0.0, 1)


class Filling(unittest.TestCase):
    """Pin how a bucket fills and empties."""

    def test_fills_with_time_up_to_its_cap(self):
        bucket = create_bucket(0.0)
        refill(bucket, 1.5)
        self.assertAlmostEqual(bucket.level, 15.0)
        refill(bucket, 60.0)
        self.assertEqual(bucket.level, 20.0)

    def test_a_time_that_went_back_fills_nothing(self):
        bucket = create_bucket(0.0)
        refill(bucket, 1.0)
        refill(bucket, 0.5)
        refill(bucket, 1.0)
        self.assertAlmostEqual(bucket.level, 10.0)

    def test_a_lower_limit_cuts_what_is_there(self):
        bucket = create_bucket()
        set_share(bucket, Share(1.0, 5.0, 0.0), 1, 0.0)
        self.assertEqual(bucket.level, 5.0)

    def test_a_higher_limit_adds_nothing_at_once_but_fills_faster(self):
        bucket = create_bucket(5.0)
        set_share(bucket, Share(100.0, 200.0, 0.0), 1, 0.0)
        refill(bucket, 1.0)
        self.assertAlmostEqual(bucket.level, 105.0)

    def test_tells_when_there_is_room(self):
        bucket = create_bucket(0.0)
        self.assertAlmostEqual(find_wait(bucket, 1.0, 0.0), 0.1)


class PuttingBack(unittest.TestCase):
    """Pin that what comes back makes no more than had never been taken."""

    def test_what_was_taken_from_a_full_bucket_comes_back(self):
        bucket = create_bucket()
        take(bucket, 8.0, 1, 0.0)
        self.assertEqual(put_back(bucket, 8.0, 1, 0.0), 8.0)
        self.assertEqual(bucket.level, 20.0)

    def test_what_would_have_flowed_over_does_not_come_back(self):
        bucket = create_bucket()
        take(bucket, 8.0, 1, 0.0)
        self.assertAlmostEqual(put_back(bucket, 8.0, 1, 0.5), 3.0)
        self.assertEqual(bucket.level, 20.0)

    def test_taking_and_putting_back_in_turn_gathers_nothing(self):
        bucket = create_bucket()
        take(bucket, 20.0, 1, 0.0)
        take(bucket, 10.0, 2, 1.0)
        back = put_back(bucket, 20.0, 1, 1.0)
        # Untouched, it would have held 20 before the second taking, and 10 after it.
        self.assertAlmostEqual(back, 10.0)
        self.assertAlmostEqual(bucket.level, 10.0)
        take(bucket, 10.0, 3, 1.0)
        self.assertAlmostEqual(put_back(bucket, 10.0, 2, 1.0), 10.0)
        self.assertAlmostEqual(bucket.level, 10.0)

    def test_what_was_taken_under_another_limit_stays_taken(self):
        bucket = create_bucket()
        take(bucket, 8.0, 1, 0.0)
        set_share(bucket, Share(10.0, 100.0, 0.0), 2, 0.0)
        self.assertEqual(put_back(bucket, 8.0, 1, 0.0), 0.0)

    def test_few_peaks_are_kept_and_what_is_older_stays_taken(self):
        bucket = create_bucket(20.0)
        for number in range(1, 10 + MAX_PEAKS):
            take(bucket, 0.1, number, 0.0)
        self.assertEqual(len(bucket.peaks), MAX_PEAKS)
        self.assertEqual(put_back(bucket, 0.1, 1, 0.0), 0.0)
        self.assertAlmostEqual(put_back(bucket, 0.1, 5 + MAX_PEAKS, 0.0), 0.1)


class Shares(unittest.TestCase):
    """Pin that all shares together stay within the bound."""

    def test_buckets_reserve_and_age_make_up_the_bound(self):
        for slack in (0.0, 1.0, 10.0):
            for overage in (0.0, 0.02, 0.1):
                for rate, burst in ((0.1, 0.0), (1.0, 1.0), (300.0, 300.0)):
                    with self.subTest(slack=slack, overage=overage, rate=rate):
                        self._check(QuotaBounds(10.0, overage, slack), rate, burst)

    def _check(self, bounds: QuotaBounds, rate: float, burst: float) -> None:
        customer = Customer("a", rate_per_s=rate, burst=burst)
        share = create_share(customer, bounds, 5)
        sums = 5 * (share.cap + share.reserve) + 5 * share.rate * (
            bounds.window + bounds.max_token_age
        )
        self.assertLessEqual(sums, find_max_requests(customer, bounds, bounds.window) + 1e-6)

    def test_a_bucket_holds_a_token_where_the_bound_permits(self):
        customer = Customer("a", rate_per_s=0.5, burst=0.5)
        self.assertGreaterEqual(create_share(customer, QuotaBounds(10.0, 0.1, 10.0), 5).cap, 1.0)


if __name__ == "__main__":
    unittest.main()
