import unittest

import trio

from bendwind_node.operators import create_open_authority
from bendwind_node.operators.tests.fakes import (
    CommandOutcome,
    FakeClient,
    FakeLog,
    create_app,
    send_request,
)

TEXT = """
revision = 7
[[services]]
name = "s"
[[routes]]
name = "r"
host = "h"
path_prefix = "/a/"
timeout_ms = 500
parts = [{ service = "s" }]
"""


class RevisionRoutesTest(unittest.TestCase):
    def setUp(self):
        self.log = FakeLog()
        self.app = create_app(FakeClient(self.log), create_open_authority("127.0.0.1"))

    def put(self, text=TEXT):
        return trio.run(lambda: send_request(self.app, "PUT", "/v1/revision", text))

    def test_only_a_higher_revision_takes_effect_and_others_are_acknowledged(self):
        status, body = self.put()
        self.assertEqual((status, body["revision"], body["is_new"]), (200, 7, True))
        for revision in ("revision = 7", "revision = 3"):
            status, body = self.put(TEXT.replace("revision = 7", revision))
            self.assertEqual((status, body["revision"], body["is_new"]), (200, 7, False))

    def test_error_names_key_and_expected_value(self):
        status, body = self.put(TEXT.replace("timeout_ms = 500", ""))
        self.assertEqual((status, body["key"]), (400, "routes[0].timeout_ms"))
        status, body = self.put(TEXT.replace('"/a/"', '"a"'))
        self.assertEqual((status, body["error"]), (400, "bad-intent"))
        self.assertIn("bad-prefix", body["expected"])

    def test_unknown_outcome_is_reported_and_the_revision_may_be_put_again(self):
        self.log.next_outcome = CommandOutcome.ANSWER_LOST
        self.assertEqual(self.put()[0], 504)
        status, body = self.put()
        self.assertEqual((status, body["revision"], body["is_new"]), (200, 7, False))

    def test_newest_document_is_returned_unchanged_and_only_with_a_quorum(self):
        def get():
            return trio.run(self.app.revisions.get)

        self.assertEqual(get().status, 503)
        self.put()
        self.assertEqual(get().body, TEXT.encode())
        self.log.next_outcome = CommandOutcome.NOT_ACCEPTED
        self.assertEqual(get().status, 503)

    def test_other_methods_and_paths_are_refused(self):
        self.assertEqual(
            trio.run(lambda: send_request(self.app, "POST", "/v1/revision", ""))[0], 405
        )
        self.assertEqual(
            trio.run(lambda: send_request(self.app, "GET", "/v1/revision/x", ""))[0], 404
        )


if __name__ == "__main__":
    unittest.main()
