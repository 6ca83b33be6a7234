"""Model quotas at several sizes: wrongly refused requests and the number of messages."""

import unittest

from bendwind_core.quotas import QuotaBounds
from bendwind_core.quotas.tests.quota_world import Model
from bendwind_core.world import Customer

# Customers' limits are this many times their usual request rate.
HEADROOM = 1.6
OVER_QUOTA = "over-quota"


def make_customers(rates):
    return tuple(
        Customer(f"c{number:02}", rate_per_s=HEADROOM * rate, burst=HEADROOM * rate)
        for number, rate in enumerate(rates)
    )


def list_zipf_rates(number, total):
    """Return the customers' rates by Zipf's law with the exponent 1.2."""
    weights = [(index + 1) ** -1.2 for index in range(number)]
    return [total * weight / sum(weights) for weight in weights]


class TestWithinTheLimit(unittest.TestCase):
    def test_customers_of_very_different_rates_are_almost_never_refused(self):
        for nodes, total, seconds in ((3, 60.0, 40.0), (30, 300.0, 20.0), (300, 1500.0, 5.0)):
            with self.subTest(nodes=nodes):
                rates = list_zipf_rates(71, total)
                model = Model(make_customers(rates), nodes)
                for customer, rate in zip(model.configuration.customers, rates, strict=True):
                    model.add_request_stream(customer.name, tuple(model.nodes), rate, 0.0, seconds)
                model.run(seconds + 1.0)
                refused = model.count() - model.count(reason="")
                self.assertGreater(model.count(), 0.8 * total * seconds)
                self.assertLess(refused, 0.001 * model.count())
                # A node sends at most one quota request for each request, and a voter seldom
                # requests a loan.
                self.assertLess(sum(model.messages.values()), 3 * model.count())

    def test_a_customer_that_switches_nodes_is_not_refused(self):
        model = Model(make_customers([40.0]), 52)
        model.add_request_stream("c00", ("n0",), 40.0, 0.0, 10.0)
        model.add_request_stream("c00", ("n1",), 40.0, 10.0, 20.0)
        model.run(21.0)
        self.assertEqual(model.count(), model.count(reason=""))

    def test_a_burst_after_a_pause_is_served_by_one_node(self):
        model = Model(make_customers([50.0]), 52)
        model.run(30.0)
        for number in range(80):
            model.schedule(30.0 + 0.001 * number, lambda: model.request("c00", "n7"))
        model.run(31.0)
        self.assertEqual(model.count(reason=""), 80)


class TestAboveTheLimit(unittest.TestCase):
    def test_only_the_customer_above_its_limit_is_refused_and_gets_its_limit(self):
        customers = make_customers([62.5, 12.5])
        model = Model(customers, 52)
        nodes = tuple(model.nodes)
        model.add_request_stream("c00", nodes, 500.0, 0.0, 20.0)
        model.add_request_stream("c01", nodes, 12.5, 0.0, 20.0)
        model.run(21.0)
        self.assertEqual(model.count("c01"), model.count("c01", ""))
        self.assertGreaterEqual(model.count("c00", ""), 0.95 * 100.0 * 20.0)
        self.assertGreater(model.count("c00", OVER_QUOTA), 7000)
        # However many requests it sends, each node sends only a few quota requests a second for it.
        self.assertLess(model.messages["QuotaRequest"], 52 * 20 * 20)

    def test_a_customer_above_its_limit_gets_its_limit_at_one_node(self):
        model = Model(make_customers([62.5]), 52)
        model.add_request_stream("c00", ("n0",), 500.0, 0.0, 20.0)
        model.run(21.0)
        self.assertGreaterEqual(model.count("c00", ""), 0.95 * 100.0 * 20.0)


class TestFailures(unittest.TestCase):
    def setUp(self):
        self.model = Model(make_customers([50.0]), 20)
        self.model.add_request_stream("c00", tuple(self.model.nodes), 50.0, 0.0, 30.0)

    def count_since(self, since, reason):
        return sum(o.arrived_at >= since and o.reason == reason for o in self.model.outcomes)

    def test_losing_one_voter_costs_only_its_share(self):
        self.model.schedule(10.0, lambda: self.model.lost_processes.add("v0"))
        self.model.run(31.0)
        # Four fifths of the limit of 80 a second exceed the 50 requests a second that arrive.
        self.assertEqual(self.count_since(0.0, ""), self.model.count())

    def test_restarting_one_voter_refuses_nothing_within_the_limit(self):
        self.model.schedule(10.0, lambda: self.model.restart_voter("v0"))
        self.model.run(31.0)
        self.assertEqual(self.count_since(0.0, ""), self.model.count())

    def test_without_voters_requests_are_refused_as_unknown_and_served_soon_after(self):
        voters = tuple(self.model.voters)
        self.model.schedule(10.0, lambda: self.model.lost_processes.update(voters))
        for name in voters:
            self.model.schedule(12.0, lambda name=name: self.model.restart_voter(name))
        self.model.run(31.0)
        self.assertGreater(self.model.count(reason="quota-unknown"), 50)
        late = sum(o.arrived_at >= 14.0 for o in self.model.outcomes)
        self.assertGreaterEqual(self.count_since(14.0, ""), 0.99 * late)

    def test_the_reserve_serves_a_part_of_the_requests_without_voters(self):
        customers = make_customers([300.0])
        model = Model(customers, 20)
        model.add_request_stream("c00", tuple(model.nodes), 300.0, 0.0, 22.0)
        model.schedule(20.0, lambda: model.lost_processes.update(model.voters))
        model.run(23.0)
        during = [o for o in model.outcomes if 20.0 <= o.arrived_at < 22.0]
        served = sum(not o.reason for o in during)
        self.assertGreater(served, 0.25 * len(during))
        self.assertLess(served, 0.6 * len(during))

    def test_small_customers_are_rarely_served_without_voters_and_again_soon_after(self):
        # Half of the overage of 71 customers is 110 tokens. A reserve below one token at a voter
        # cannot be assigned, so most customers have no reserve.
        rates = list_zipf_rates(71, 274.1)
        model = Model(make_customers(rates), 52, bounds=QuotaBounds(5.0, 0.1, 20.0))
        for customer, rate in zip(model.configuration.customers, rates, strict=True):
            model.add_request_stream(customer.name, tuple(model.nodes), rate, 0.0, 26.0)
        voters = tuple(model.voters)
        model.schedule(20.0, lambda: model.lost_processes.update(voters))
        for name in voters:
            model.schedule(22.0, lambda name=name: model.restart_voter(name))
        model.run(27.0)
        shares = []
        for begin, end in ((0.0, 20.0), (20.0, 22.0), (22.5, 24.0), (24.0, 26.0)):
            within = [one for one in model.outcomes if begin <= one.arrived_at < end]
            shares.append(sum(not one.reason for one in within) / len(within))
        before, during, after, later = shares
        self.assertGreater(before, 0.999)
        self.assertGreater(during, 0.04)
        self.assertLess(during, 0.10)
        self.assertGreater(after, 0.85)
        self.assertGreater(later, 0.94)
        self.assertEqual(model.count(reason="quota-unknown"), self.count_unknown(model, 20.0, 22.5))

    def count_unknown(self, model, begin, end):
        return sum(
            one.reason == "quota-unknown" and begin - 0.25 <= one.arrived_at < end
            for one in model.outcomes
        )


if __name__ == "__main__":
    unittest.main()
