import unittest

import msgspec
import trio

from bendwind_core.world import digest_key
from bendwind_node.operators import OperatorAuthority
from bendwind_node.operators.tests.fakes import (
    CommandOutcome,
    FakeClient,
    FakeLog,
    create_app,
    send_request,
)

SECRET = "k-secret"
NORTE = f"""[[customers]]
name = "norte"
keys = ["{SECRET}"]
rank = 1
rate_per_s = 5
burst = 2
"""


class CustomersTest(unittest.TestCase):
    def setUp(self):
        self.log = FakeLog()
        self.app = create_app(FakeClient(self.log), OperatorAuthority())

    def send_request(self, method, path, body=""):
        return trio.run(lambda: send_request(self.app, method, path, body))

    def put(self, text):
        status, plan = self.send_request("POST", "/v1/plans", "partial = true\n" + text)
        self.assertEqual(status, 201, plan)
        self.assertEqual(self.send_request("POST", f"/v1/plans/{plan['id']}/confirm")[0], 200)
        return plan

    def test_customers_are_listed_without_their_keys(self):
        empty = {"version": 0, "are_keys_needed": False, "customers": []}
        self.assertEqual(self.send_request("GET", "/v1/customers"), (200, empty))
        self.put(NORTE)
        status, shown = self.send_request("GET", "/v1/customers")
        norte = {"name": "norte", "keys": 1, "rank": 1, "rate_per_s": 5.0, "burst": 2.0}
        self.assertEqual(status, 200)
        self.assertEqual((shown["are_keys_needed"], shown["customers"]), (True, [norte]))

    def test_neither_plans_nor_events_show_a_key(self):
        plan = self.put(NORTE)
        self.assertEqual(plan["affected"]["customers"], ["norte"])
        events = [event.detail for event in self.app.recorder.events]
        shown = msgspec.json.encode((plan, events)).decode()
        self.assertNotIn(SECRET, shown)
        self.assertNotIn(digest_key(SECRET.encode()).hex(), shown)

    def test_key_of_a_customer_that_the_intent_does_not_name_is_refused(self):
        self.put(NORTE)
        applied = len(self.log.entries)
        text = "partial = true\n" + NORTE.replace("norte", "sul")
        status, error = self.send_request("POST", "/v1/plans", text)
        self.assertEqual((status, error["error"]), (400, "bad-intent"))
        self.assertEqual(error["detail"], "customers: shared-key: norte and sul")
        self.assertEqual(len(self.log.entries), applied)

    def test_resent_plan_request_returns_the_plan_despite_later_conflicts(self):
        def plan():
            return trio.run(lambda: send_request(self.app, "POST", "/v1/plans", text, key="once"))

        text = "partial = true\n" + NORTE
        status, first = plan()
        self.assertEqual(status, 201)
        self.put(NORTE.replace("norte", "sul"))
        status, again = plan()
        self.assertEqual((status, again["id"], again["state"]), (200, first["id"], "superseded"))

    def test_lagging_voter_does_not_refuse_by_its_unconfirmed_state(self):
        self.put(NORTE)
        self.log.next_outcome = CommandOutcome.NOT_ACCEPTED
        text = "partial = true\n" + NORTE.replace("norte", "sul")
        self.assertEqual(self.send_request("POST", "/v1/plans", text)[0], 503)
        newer_client = FakeClient(self.log)
        newer_client.catch_up()
        self.app, lagging_app = create_app(newer_client, OperatorAuthority()), self.app
        self.put('remove_customers = ["norte"]')
        self.app = lagging_app
        status, plan = self.send_request("POST", "/v1/plans", text)
        self.assertEqual(
            (status, plan["lines"]),
            (201, ["+ customer sul (1 key, rank 1, 5 requests/s, burst 2)"]),
        )

    def test_voter_without_confirmation_returns_no_customers(self):
        self.log.next_outcome = CommandOutcome.NOT_ACCEPTED
        self.assertEqual(self.send_request("GET", "/v1/customers")[0], 503)
        self.assertEqual(self.send_request("POST", "/v1/customers")[0], 405)
        self.assertEqual(self.send_request("GET", "/v1/customers/norte")[0], 404)


if __name__ == "__main__":
    unittest.main()
