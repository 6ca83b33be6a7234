import unittest

import msgspec

from bendwind_bench.emulator import run_scenario
from bendwind_bench.emulator.quota import Quotas
from bendwind_bench.emulator.tables import CustomerTable
from bendwind_bench.emulator.tests.test_world import SMALL, shorten


def create_quotas(**options):
    return Quotas((CustomerTable(name="a", count=2, rate_per_s=2.0, burst=3.0, **options),))


class QuotasTest(unittest.TestCase):
    def test_burst_is_admitted_and_then_the_rate(self):
        quotas = create_quotas()
        self.assertEqual(
            [quotas.consume_token("a-0", 5.0) for _ in range(4)], [None, None, None, 500.0]
        )
        self.assertEqual(quotas.consume_token("a-0", 5.25), 250.0)
        self.assertIsNone(quotas.consume_token("a-0", 5.5))
        self.assertEqual(quotas.consume_token("a-0", 5.5), 500.0)

    def test_each_customer_has_its_own_bucket_and_others_have_no_quota(self):
        quotas = create_quotas()
        for _ in range(3):
            quotas.consume_token("a-0", 0.0)
        self.assertIsNotNone(quotas.consume_token("a-0", 0.0))
        self.assertIsNone(quotas.consume_token("a-1", 0.0))
        self.assertEqual({quotas.consume_token("b-0", 0.0) for _ in range(50)}, {None})

    def test_quota_limits_a_hot_customer_and_others_benefit(self):
        unlimited = shorten("competing-customers", 8.0)
        groups = tuple(
            msgspec.structs.replace(group, rate_per_s=8.0) if group.name == "workshop" else group
            for group in unlimited.customers
        )
        limited = msgspec.structs.replace(unlimited, customers=groups)
        before, after = run_scenario(unlimited, 1), run_scenario(limited, 1)
        hot = [one.customers["workshop-1"]["served"] for one in (before, after)]
        self.assertLess(hot[1], hot[0])
        others = [one.customers["workshop-3"]["in-time"] for one in (before, after)]
        self.assertGreaterEqual(others[1], others[0])

    def test_quota_above_the_demand_changes_nothing(self):
        groups = (CustomerTable(name="a", rate_per_s=1000.0, burst=1000.0),)
        plain = msgspec.structs.replace(SMALL, customers=(CustomerTable(name="a"),))
        limited = msgspec.structs.replace(SMALL, customers=groups)
        self.assertEqual(run_scenario(plain, 1), run_scenario(limited, 1))


if __name__ == "__main__":
    unittest.main()
