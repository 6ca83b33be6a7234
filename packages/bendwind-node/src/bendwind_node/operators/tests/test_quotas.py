import json
import unittest

import trio

from bendwind_core.quotas import (
    QuotaBounds,
    QuotaDemand,
    QuotaRequest,
    create_voter_quotas,
    handle_quota_request,
    record_confirmation,
    update_configuration,
    update_voters,
)
from bendwind_core.world import Configuration, Customer
from bendwind_node.operators import OperatorAuthority
from bendwind_node.operators.http import Request
from bendwind_node.operators.quota_routes import MAX_SHOWN_QUOTAS
from bendwind_node.operators.tests.fakes import create_app


class QuotasTest(unittest.TestCase):
    def send_request(self, method="GET", demands=(), is_voter=True):
        async def main():
            app = create_app(None, OperatorAuthority())
            if is_voter:
                app.quotas = self.make_quotas(demands)
            return await app.answer(Request(method, ("v1", "quotas"), {}, {}, b""))

        response = trio.run(main)
        return response.status, json.loads(response.body)

    def make_quotas(self, demands):
        now = trio.current_time()
        quotas = create_voter_quotas("v1", 1, QuotaBounds(10.0, 0.1, 0.0), 1, 1000.0)
        update_voters(quotas, 1, (), now)
        record_confirmation(quotas, now)
        names = sorted({demand.customer for demand in demands} | {"silent"})
        customers = tuple(Customer(name, rate_per_s=0.001, burst=10.0) for name in names)
        update_configuration(quotas, Configuration(1, customers=customers), now)
        for number, demand in enumerate(demands):
            handle_quota_request(quotas, "n", QuotaRequest(number, (demand,)), now)
        return quotas

    def test_lists_customers_with_most_refused_tokens_first(self):
        status, body = self.send_request(demands=(QuotaDemand("ana", 4), QuotaDemand("maria", 14)))
        self.assertEqual(status, 200)
        self.assertEqual((body["voter"], body["granting"], body["limited"]), ("v1", True, 3))
        self.assertEqual((body["granted"], body["refused"]), (15, 3))
        maria, ana = body["quotas"][:2]
        self.assertEqual((maria["customer"], maria["granted"], maria["refused"]), ("maria", 11, 3))
        self.assertEqual((ana["customer"], ana["burst"], ana["level"]), ("ana", 10.0, 7.0))

    def test_limits_the_number_of_listed_customers(self):
        demands = tuple(QuotaDemand(f"c{number}", 1) for number in range(MAX_SHOWN_QUOTAS + 10))
        _, body = self.send_request(demands=demands)
        self.assertEqual(len(body["quotas"]), MAX_SHOWN_QUOTAS)
        self.assertEqual(body["granted"], MAX_SHOWN_QUOTAS + 10)

    def test_process_that_is_not_a_voter_has_no_quotas(self):
        self.assertEqual(self.send_request(is_voter=False)[0], 404)
        self.assertEqual(self.send_request("POST")[0], 405)


if __name__ == "__main__":
    unittest.main()
