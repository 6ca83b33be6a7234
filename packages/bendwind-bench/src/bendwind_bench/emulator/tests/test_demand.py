import collections
import random
import unittest

import msgspec

from bendwind_bench.emulator import load_scenario, run_scenario
from bendwind_bench.emulator.demand import NO_SENDER, Demand
from bendwind_bench.emulator.tables import Callers, CustomerTable, Fault, FaultKind, Wave
from bendwind_bench.emulator.tests.test_world import SMALL, shorten

NODE_DATA_CENTRES = {"n": "north", "s": "south"}


def create_demand(customers=(), waves=()):
    scenario = msgspec.structs.replace(SMALL, customers=customers, callers=Callers(waves=waves))
    return Demand(scenario, NODE_DATA_CENTRES, random.Random(1)), scenario.routes[0]


def count_senders(demand, route, number=6000):
    return collections.Counter(demand.choose_sender(route).customer for _ in range(number))


class DemandTest(unittest.TestCase):
    def test_without_customers_requests_have_no_sender_and_the_rate_of_the_route(self):
        demand, route = create_demand()
        self.assertIs(demand.choose_sender(route), NO_SENDER)
        self.assertEqual(demand.find_rate(route, 0.0), route.per_second)

    def test_rates_follow_the_zipf_exponent_and_groups_share_by_weight(self):
        groups = (
            CustomerTable(name="a", count=2, zipf=1.0, weight=3.0),
            CustomerTable(name="b", rank=1),
            CustomerTable(name="c", routes=("another",)),
        )
        found = count_senders(*create_demand(groups))
        self.assertEqual(set(found), {"a-0", "a-1", "b-0"})
        self.assertAlmostEqual(found["a-0"] / found["a-1"], 2.0, delta=0.3)
        self.assertAlmostEqual(found["b-0"] / found.total(), 0.25, delta=0.03)

    def test_rank_is_that_of_the_group(self):
        demand, route = create_demand((CustomerTable(name="b", rank=1),))
        self.assertEqual(demand.choose_sender(route).rank, 1)

    def test_hot_customer_adds_requests_without_reducing_others(self):
        demand, route = create_demand((CustomerTable(name="a", count=4),))
        usual = demand.find_rate(route, 0.0)
        demand.set_customer_factor("a-3", 5.0)
        self.assertAlmostEqual(demand.find_rate(route, 0.0), 2 * usual)
        self.assertAlmostEqual(count_senders(demand, route)["a-3"] / 6000, 5 / 8, delta=0.03)
        demand.set_customer_factor("a-3", 1.0)
        self.assertAlmostEqual(demand.find_rate(route, 0.0), usual)

    def test_wave_rises_in_one_data_centre_while_it_falls_in_the_other(self):
        waves = (
            Wave(data_centre="north", period_s=8.0, swing=0.5),
            Wave(data_centre="south", period_s=8.0, swing=0.5, phase=0.5),
        )
        demand, route = create_demand(waves=waves)
        for now, share in ((2.0, 0.75), (6.0, 0.25)):
            chosen = collections.Counter(demand.choose_node(now) for _ in range(4000))
            self.assertAlmostEqual(chosen["n"] / 4000, share, delta=0.03)
            self.assertAlmostEqual(demand.find_rate(route, now), route.per_second)

    def test_wave_raises_and_lowers_the_rate_and_weights_share_it(self):
        waves = (
            Wave(data_centre="north", period_s=8.0, swing=0.5, weight=3.0),
            Wave(data_centre="south", period_s=8.0, swing=0.5),
        )
        demand, route = create_demand(waves=waves)
        rates = [demand.find_rate(route, now) / route.per_second for now in (0.0, 2.0, 6.0)]
        for rate, expected in zip(rates, (1.0, 1.5, 0.5), strict=True):
            self.assertAlmostEqual(rate, expected)
        chosen = collections.Counter(demand.choose_node(2.0) for _ in range(4000))
        self.assertAlmostEqual(chosen["n"] / 4000, 0.75, delta=0.03)

    def test_callers_of_a_data_centre_without_instances_use_any_node(self):
        demand, _ = create_demand(waves=(Wave(data_centre="east"),))
        self.assertEqual({demand.choose_node(0.0) for _ in range(100)}, set(NODE_DATA_CENTRES))


class CustomersTest(unittest.TestCase):
    def test_figures_separate_customers_and_ranks(self):
        figures = run_scenario(shorten("competing-customers", 6.0), 1)
        self.assertEqual(set(figures.ranks), {"0", "2"})
        counted = sum(group["requests"] for group in figures.ranks.values())
        self.assertEqual(counted, figures.requests)
        self.assertEqual(
            {name: row["rank"] for name, row in figures.routes.items()}, {"stock": 0, "history": 2}
        )
        total = sum(group["requests"] for group in figures.customers.values())
        self.assertEqual(total, figures.requests)
        self.assertLessEqual(figures.worst_in_time, figures.in_time)

    def test_hot_customer_sends_more_only_during_the_fault(self):
        calm = shorten("competing-customers", 6.0, faults=())
        hot = Fault(kind=FaultKind.HOT_CUSTOMER, at=1.0, for_s=1.0, customer="workshop-1", x=9.0)
        heated = msgspec.structs.replace(calm, faults=(hot,))
        usual, figures = run_scenario(calm, 1), run_scenario(heated, 1)
        sent = [one.customers["workshop-1"]["requests"] for one in (usual, figures)]
        # Nine times the usual rate during one of six seconds.
        self.assertAlmostEqual(sent[1] / sent[0], 14 / 6, delta=0.8)

    def test_runs_with_a_refused_call_count_as_for_nothing(self):
        figures = run_scenario(load_scenario("scarce-service").ok, 1)
        self.assertGreater(figures.for_nothing, 0.02)
        self.assertEqual(run_scenario(shorten("calm"), 1).for_nothing, 0.0)


if __name__ == "__main__":
    unittest.main()
