"""Test which clients are authorised, and the responses of the API to faulty requests."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

import trio

from bendwind_core.timeline import EventKind
from bendwind_node.operators import (
    ReplacementStatus,
    create_open_authority,
    create_token_authority,
)
from bendwind_node.operators.http import MAX_BODY_BYTES
from bendwind_node.operators.tests.fakes import FakeClient, FakeLog, create_app, send_request


async def serve(app, body: bytes = b"", authorization: str = "") -> tuple[int, bytes]:
    headers = [(b"Authorization", authorization.encode())] if authorization else []
    scope = {
        "type": "http",
        "method": "POST",
        "path": "/v1/plans",
        "query_string": b"",
        "headers": headers,
        "client": ("127.0.0.1", 40000),
    }
    sent = []

    async def receive():
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(message):
        sent.append(message)

    await app(scope, receive, send)
    return sent[0]["status"], sent[1]["body"]


class AuthorityTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name, "tokens")
        self.file.write_text("alpha\nbeta\n")
        self.app = create_app(FakeClient(FakeLog()), create_token_authority(self.file))

    def check(self, authorization: str) -> int:
        return trio.run(lambda: serve(self.app, b"services = []", authorization))[0]

    def test_only_tokens_of_the_file_are_accepted(self):
        self.assertEqual([self.check("Bearer alpha"), self.check("bearer beta")], [201, 201])
        refused = ["", "Bearer", "Bearer ", "Bearer alph", "Bearer alpha\n beta", "Basic alpha"]
        self.assertEqual({self.check(text) for text in refused}, {401})

    def test_refusal_is_recorded_and_reveals_nothing(self):
        status, body = trio.run(lambda: serve(self.app, b"", "Bearer wrong"))
        self.assertEqual((status, body), (401, b'{"error":"refused","detail":""}'))
        self.assertEqual(self.app.recorder.events[-1].kind, EventKind.OPERATOR_REFUSED)
        self.assertNotIn("wrong", self.app.recorder.events[-1].detail)

    def test_tokens_are_renewed_without_a_restart(self):
        self.file.write_text("gamma\n")
        self.assertEqual([self.check("Bearer alpha"), self.check("Bearer gamma")], [401, 201])
        self.file.unlink()
        self.assertEqual(self.check("Bearer gamma"), 401)

    def test_open_authority_is_accepted_on_loopback_only(self):
        create_open_authority("::1")
        self.assertRaises(ValueError, create_open_authority, "10.0.0.1")


class RequestTest(unittest.TestCase):
    def setUp(self):
        self.client = FakeClient(FakeLog())
        self.app = create_app(self.client, create_open_authority("127.0.0.1"))

    def check(self, method: str, path: str, body: str = "", **query) -> tuple[int, dict]:
        return trio.run(lambda: send_request(self.app, method, path, body, **query))

    def test_intent_error_names_file_key_and_expected_type(self):
        text = '[[services]]\nname = "emisor"\nupstreams = ["*"]\n[[services.rules]]\npath = 3'
        status, body = self.check("POST", "/v1/plans", text, file="mine.toml")
        self.assertEqual(
            (status, body["file"], body["key"]), (400, "mine.toml", "services[0].rules[0].path")
        )
        self.assertEqual(body["expected"], "expected `str`, got `int`")

    def test_command_that_no_entry_can_hold_is_refused_for_good(self):
        status, body = self.check("POST", "/v1/upstreams/\udcff/drain")
        self.assertEqual((status, body["error"]), (400, "bad-request"))
        self.assertEqual(self.app.recorder.events[-1].kind, EventKind.COMMAND_REFUSED)
        with mock.patch("bendwind_core.plans.commands.MAX_COMMAND_BYTES", 100):
            text = '[[services]]\nname = "emisor"\nupstreams = ["*"]'
            status, body = self.check("POST", "/v1/plans", text)
        self.assertEqual((status, body["error"]), (413, "too-large"))
        self.assertEqual(self.client.log.entries, [])

    def test_error_of_an_invalid_choice_lists_the_valid_ones(self):
        text = '[[services]]\nname = "a"\nupstreams = ["*"]\npolicy = "fair"'
        _, body = self.check("POST", "/v1/plans", text)
        choices = "'score', 'random', 'round-robin', 'least-in-flight'"
        self.assertEqual(body["expected"], f"expected one of {choices}")

    def test_empty_intent_does_not_remove_every_service(self):
        self.assertEqual(self.check("POST", "/v1/plans")[0], 400)

    def test_faulty_queries_and_unknown_ids_are_refused(self):
        refused = {
            self.check("POST", "/v1/plans", "services = []", base_version="-1")[0],
            self.check("POST", "/v1/plans", "services = []", expires_s="²")[0],
            self.check("POST", "/v1/plans", "services = []", key="k" * 129)[0],
            self.check("GET", "/v1/timeline", limit="x")[0],
            self.check("GET", "/v1/timeline", kind="none")[0],
        }
        self.assertEqual(refused, {400})
        for plan in ("p1", "1", "p01", "p" + "9" * 40, "p-1"):
            self.assertEqual(self.check("GET", f"/v1/plans/{plan}")[1]["error"], "unknown-plan")

    def test_status_shows_which_voter_is_being_replaced(self):
        self.assertIsNone(self.check("GET", "/v1/status")[1]["replacement"])
        self.client.current_replacement = ReplacementStatus(
            ("c",), ("d",), awaited=("d",), for_ms=40.0
        )
        _, body = self.check("GET", "/v1/status")
        shown = {"leaving": ["c"], "joining": ["d"], "awaited": ["d"], "for_ms": 40.0}
        self.assertEqual(body["replacement"], shown)

    def test_outdated_base_version_error_names_the_confirmed_plan(self):
        self.check("POST", "/v1/plans", "services = []", key="a")
        self.check("POST", "/v1/plans/p1/confirm")
        status, body = self.check("POST", "/v1/plans", "services = []", base_version="0")
        self.assertEqual((status, body["version"], body["plan"]), (409, 2, "p1"))

    def test_voter_that_lags_catches_up_to_the_given_base_version(self):
        intent = '[[services]]\nname = "agenda"\nupstreams = ["agenda-*"]'
        self.check("POST", "/v1/plans", intent, key="a")
        self.check("POST", "/v1/plans/p1/confirm")
        lagging_app = create_app(
            FakeClient(self.app.control.log), create_open_authority("127.0.0.1")
        )
        _, plan = trio.run(
            lambda: send_request(
                lagging_app, "POST", "/v1/plans", "services = []", base_version="2"
            )
        )
        self.assertEqual([d["kind"] for d in plan["differences"]], ["service-removed"])

    def test_body_above_the_limit_is_refused(self):
        status, _ = trio.run(lambda: serve(self.app, b"#" * (MAX_BODY_BYTES + 1)))
        self.assertEqual(status, 413)

    def test_voter_routes_are_refused_on_other_processes(self):
        app = create_app(None, create_open_authority("127.0.0.1"))
        status, body = trio.run(lambda: send_request(app, "GET", "/v1/plans"))
        self.assertEqual((status, body["error"]), (404, "not-a-voter"))
        self.assertEqual(trio.run(lambda: send_request(app, "GET", "/v1/status"))[0], 200)


if __name__ == "__main__":
    unittest.main()
