import json
import unittest

import trio

from bendwind_node.operators import OperatorAuthority
from bendwind_node.operators.http import Request
from bendwind_node.operators.tests.fakes import CommandOutcome, FakeClient, FakeLog, create_app


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.log = FakeLog()
        self.client = FakeClient(self.log)
        self.app = create_app(self.client, OperatorAuthority())

    def send_request(self, method, name="sala-norte", action="evacuation"):
        request = Request(method, ("v1", "data-centres", name, action), {}, {}, b"")
        response = trio.run(self.app.answer, request)
        return response.status, json.loads(response.body)

    @property
    def evacuated(self):
        self.client.catch_up()
        return self.client.state.configuration.evacuated

    def test_evacuation_is_acknowledged_once_it_is_in_the_log(self):
        status, body = self.send_request("POST")
        self.assertEqual((status, body["evacuated"], body["is_new"]), (200, True, True))
        self.assertEqual(self.evacuated, ("sala-norte",))
        self.assertEqual(self.send_request("DELETE")[0], 200)
        self.assertEqual(self.evacuated, ())

    def test_request_repeated_after_a_lost_answer_is_acknowledged(self):
        self.log.next_outcome = CommandOutcome.ANSWER_LOST
        self.assertEqual(self.send_request("POST")[0], 504)
        status, body = self.send_request("POST")
        self.assertEqual((status, body["is_new"]), (200, False))
        self.assertEqual(self.evacuated, ("sala-norte",))

    def test_nothing_is_changed_without_a_quorum(self):
        for command_outcome, expected_status in (
            (CommandOutcome.NOT_LEADER, 421),
            (CommandOutcome.NOT_ACCEPTED, 503),
        ):
            self.log.next_outcome = command_outcome
            self.assertEqual(self.send_request("POST")[0], expected_status)
            self.assertEqual(self.evacuated, ())

    def test_unknown_data_centre_changes_nothing(self):
        status, body = self.send_request("POST", "sala-oeste")
        self.assertEqual((status, body["error"]), (404, "unknown-data-centre"))
        self.assertIn("sala-norte, sala-sur", body["detail"])
        self.assertEqual(self.log.entries, [])

    def test_requests_of_two_operators_apply_in_log_order(self):
        other = FakeClient(self.log)
        app = create_app(other, OperatorAuthority())
        self.send_request("POST")
        request = Request("DELETE", ("v1", "data-centres", "sala-norte", "evacuation"), {}, {}, b"")
        self.assertEqual(trio.run(app.answer, request).status, 200)
        self.assertEqual(self.evacuated, ())

    def test_other_methods_and_paths_are_refused(self):
        self.assertEqual(self.send_request("GET")[0], 405)
        self.assertEqual(self.send_request("POST", action="other")[0], 404)

    def test_status_lists_evacuated_data_centres(self):
        self.send_request("POST")
        response = trio.run(self.app.answer, Request("GET", ("v1", "status"), {}, {}, b""))
        self.assertEqual(json.loads(response.body)["evacuated"], ["sala-norte"])


if __name__ == "__main__":
    unittest.main()
