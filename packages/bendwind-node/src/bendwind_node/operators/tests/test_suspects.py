import json
import unittest

import trio

from bendwind_core.suspicion import SuspectTable, UpstreamEndId, list_unreported, record_end
from bendwind_core.timeline import EventKind
from bendwind_node.operators import OperatorAuthority
from bendwind_node.operators.http import Request
from bendwind_node.operators.tests.fakes import create_app


class SuspectsTest(unittest.TestCase):
    def setUp(self):
        self.app = create_app(None, OperatorAuthority())
        self.app.suspects = SuspectTable("n1")

    def send_request(self, method, *path, ends=0):
        async def main():
            for number in range(ends):
                end_id = UpstreamEndId("n1", 1, f"u{number}", 1)
                record_end(self.app.suspects, b"\x0a\x0b", "emisor", end_id, trio.current_time())
            return await self.app.answer(Request(method, ("v1", "suspects", *path), {}, {}, b""))

        response = trio.run(main)
        return response.status, json.loads(response.body)

    def test_lists_suspects_with_the_upstreams_that_ended(self):
        status, body = self.send_request("GET", ends=3)
        self.assertEqual(status, 200)
        (suspect,) = body["suspects"]
        self.assertEqual((suspect["signature"], suspect["service"]), ("0a0b", "emisor"))
        self.assertEqual((suspect["ends"], suspect["quarantined"]), (3, True))
        self.assertEqual(suspect["upstreams"], ["u0", "u1", "u2"])

    def test_release_clears_the_suspect_and_is_reported_to_other_nodes(self):
        self.assertEqual(
            self.send_request("POST", "0a0b", "release", ends=3), (200, {"released": "0a0b"})
        )
        self.assertEqual(self.send_request("GET")[1], {"suspects": []})
        (report,) = list_unreported(self.app.suspects, 0.0)
        self.assertEqual((report.cleared, report.ends), (1, ()))
        self.assertEqual(self.app.recorder.events[-1].kind, EventKind.REQUEST_RELEASED)

    def test_unknown_or_invalid_signature_is_refused(self):
        self.assertEqual(self.send_request("POST", "ff", "release")[0], 404)
        self.assertEqual(self.send_request("POST", "xyz", "release")[0], 400)
        self.assertEqual(self.send_request("DELETE")[0], 405)
        self.assertEqual(self.send_request("GET", "0a0b")[0], 404)


if __name__ == "__main__":
    unittest.main()
