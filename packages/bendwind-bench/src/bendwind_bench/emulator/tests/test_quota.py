import unittest

import msgspec

from bendwind_bench.emulator import run_scenario
from bendwind_bench.emulator.quota import Quotas
from bendwind_bench.emulator.tables import CustomerTable
from bendwind_bench.emulator.tests.test_world import SMALL, shorten


def limit(**more):
    return Quotas((CustomerTable(name="a", count=2, rate_per_s=2.0, burst=3.0, **more),))


class QuotasTest(unittest.TestCase):
    def test_burst_is_let_through_and_then_the_rate(self):
        quotas = limit()
        self.assertEqual([quotas.take("a-0", 5.0) for _ in range(4)], [None, None, None, 500.0])
        self.assertEqual(quotas.take("a-0", 5.25), 250.0)
        self.assertIsNone(quotas.take("a-0", 5.5))
        self.assertEqual(quotas.take("a-0", 5.5), 500.0)

    def test_customers_have_buckets_of_their_own_and_others_none(self):
        quotas = limit()
        for _ in range(3):
            quotas.take("a-0", 0.0)
        self.assertIsNotNone(quotas.take("a-0", 0.0))
        self.assertIsNone(quotas.take("a-1", 0.0))
        self.assertEqual({quotas.take("b-0", 0.0) for _ in range(50)}, {None})

    def test_hot_customer_is_kept_to_its_quota_and_others_gain(self):
        free = shorten("competing-customers", 8.0)
        groups = tuple(
            msgspec.structs.replace(group, rate_per_s=8.0) if group.name == "workshop" else group
            for group in free.customers
        )
        limited = msgspec.structs.replace(free, customers=groups)
        before, after = run_scenario(free, 1), run_scenario(limited, 1)
        hot = [one.customers["workshop-1"]["served"] for one in (before, after)]
        self.assertLess(hot[1], hot[0])
        others = [one.customers["workshop-3"]["in-time"] for one in (before, after)]
        self.assertGreaterEqual(others[1], others[0])

    def test_quota_above_what_comes_changes_nothing(self):
        groups = (CustomerTable(name="a", rate_per_s=1000.0, burst=1000.0),)
        plain = msgspec.structs.replace(SMALL, customers=(CustomerTable(name="a"),))
        limited = msgspec.structs.replace(SMALL, customers=groups)
        self.assertEqual(run_scenario(plain, 1), run_scenario(limited, 1))


if __name__ == "__main__":
    unittest.main()
