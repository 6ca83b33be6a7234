"""Model quotas at several sizes: what is refused though permitted, and what asking costs."""

import unittest

from bendwind_core.quotas import QuotaBounds
from bendwind_core.quotas.tests.quota_world import Model
from bendwind_core.world import Customer

# Customers' limits are this many times what they usually ask for.
HEADROOM = 1.6
OVER_QUOTA = "over-quota"


def make_customers(rates):
    return tuple(
        Customer(f"c{number:02}", rate_per_s=HEADROOM * rate, burst=HEADROOM * rate)
        for number, rate in enumerate(rates)
    )


def skew(number, total):
    """Return rates of customers by Zipf's law with the exponent 1.2."""
    weights = [(index + 1) ** -1.2 for index in range(number)]
    return [total * weight / sum(weights) for weight in weights]


class TestWithinTheLimit(unittest.TestCase):
    def test_skewed_customers_are_hardly_ever_refused(self):
        for nodes, total, seconds in ((3, 60.0, 40.0), (30, 300.0, 20.0), (300, 1500.0, 5.0)):
            with self.subTest(nodes=nodes):
                rates = skew(71, total)
                model = Model(make_customers(rates), nodes)
                for customer, rate in zip(model.configuration.customers, rates, strict=True):
                    model.stream(customer.name, tuple(model.nodes), rate, 0.0, seconds)
                model.run(seconds + 1.0)
                refused = model.count() - model.count(reason="")
                self.assertGreater(model.count(), 0.8 * total * seconds)
                self.assertLess(refused, 0.001 * model.count())
                # A node asks at most once for each request, and a voter for another one seldom.
                self.assertLess(sum(model.messages.values()), 3 * model.count())

    def test_a_customer_that_moves_from_one_node_to_another_is_not_refused(self):
        model = Model(make_customers([40.0]), 52)
        model.stream("c00", ("n0",), 40.0, 0.0, 10.0)
        model.stream("c00", ("n1",), 40.0, 10.0, 20.0)
        model.run(21.0)
        self.assertEqual(model.count(), model.count(reason=""))

    def test_a_burst_after_silence_is_had_at_one_node(self):
        model = Model(make_customers([50.0]), 52)
        model.run(30.0)
        for number in range(80):
            model.at(30.0 + 0.001 * number, lambda: model.request("c00", "n7"))
        model.run(31.0)
        self.assertEqual(model.count(reason=""), 80)


class TestBeyondTheLimit(unittest.TestCase):
    def test_one_hot_customer_alone_is_refused_and_has_its_limit(self):
        customers = make_customers([62.5, 12.5])
        model = Model(customers, 52)
        nodes = tuple(model.nodes)
        model.stream("c00", nodes, 500.0, 0.0, 20.0)
        model.stream("c01", nodes, 12.5, 0.0, 20.0)
        model.run(21.0)
        self.assertEqual(model.count("c01"), model.count("c01", ""))
        self.assertGreaterEqual(model.count("c00", ""), 0.95 * 100.0 * 20.0)
        self.assertGreater(model.count("c00", OVER_QUOTA), 7000)
        # However much it asks, its nodes ask for it some times a second.
        self.assertLess(model.messages["QuotaRequest"], 52 * 20 * 20)

    def test_a_hot_customer_at_one_node_has_its_limit(self):
        model = Model(make_customers([62.5]), 52)
        model.stream("c00", ("n0",), 500.0, 0.0, 20.0)
        model.run(21.0)
        self.assertGreaterEqual(model.count("c00", ""), 0.95 * 100.0 * 20.0)


class TestFailures(unittest.TestCase):
    def setUp(self):
        self.model = Model(make_customers([50.0]), 20)
        self.model.stream("c00", tuple(self.model.nodes), 50.0, 0.0, 30.0)

    def count_since(self, since, reason):
        return sum(o.arrived_at >= since and o.reason == reason for o in self.model.outcomes)

    def test_one_voter_lost_costs_its_share_and_no_more(self):
        self.model.at(10.0, lambda: self.model.lost.add("v0"))
        self.model.run(31.0)
        # Four fifths of 80 a second are more than the 50 that are asked for.
        self.assertEqual(self.count_since(0.0, ""), self.model.count())

    def test_one_voter_restarted_costs_nothing_that_is_within_the_limit(self):
        self.model.at(10.0, lambda: self.model.restart_voter("v0"))
        self.model.run(31.0)
        self.assertEqual(self.count_since(0.0, ""), self.model.count())

    def test_while_all_voters_are_gone_requests_are_refused_as_unknown_and_soon_after_served(self):
        voters = tuple(self.model.voters)
        self.model.at(10.0, lambda: self.model.lost.update(voters))
        for name in voters:
            self.model.at(12.0, lambda name=name: self.model.restart_voter(name))
        self.model.run(31.0)
        self.assertGreater(self.model.count(reason="quota-unknown"), 50)
        late = sum(o.arrived_at >= 14.0 for o in self.model.outcomes)
        self.assertGreaterEqual(self.count_since(14.0, ""), 0.99 * late)

    def test_a_reserve_carries_a_part_of_what_comes_while_all_voters_are_gone(self):
        customers = make_customers([300.0])
        model = Model(customers, 20)
        model.stream("c00", tuple(model.nodes), 300.0, 0.0, 22.0)
        model.at(20.0, lambda: model.lost.update(model.voters))
        model.run(23.0)
        during = [o for o in model.outcomes if 20.0 <= o.arrived_at < 22.0]
        served = sum(not o.reason for o in during)
        self.assertGreater(served, 0.25 * len(during))
        self.assertLess(served, 0.6 * len(during))

    def test_small_customers_are_hardly_served_without_voters_and_are_soon_after(self):
        # Half of the overage of 71 customers is 110 tokens; what is under a token at a voter cannot
        # be handed out, so that most customers have no reserve.
        rates = skew(71, 274.1)
        model = Model(make_customers(rates), 52, bounds=QuotaBounds(5.0, 0.1, 20.0))
        for customer, rate in zip(model.configuration.customers, rates, strict=True):
            model.stream(customer.name, tuple(model.nodes), rate, 0.0, 26.0)
        voters = tuple(model.voters)
        model.at(20.0, lambda: model.lost.update(voters))
        for name in voters:
            model.at(22.0, lambda name=name: model.restart_voter(name))
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
