"""Send announcements over HTTP with extreme numbers and odd names; each is answered."""

import json
import unittest

import msgspec
import trio
from hypothesis import given
from hypothesis import strategies as st

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_node.calls.announce_asgi import AnnounceApp
from bendwind_node.calls.tests.test_upstream_runs import RegisterDriver

VALID = {
    "name": "u1",
    "service": "s",
    "host": "127.0.0.1",
    "port": 80,
    "slots": 4,
    "connections": 4,
    "state": "ready",
    "sequence": 1,
    "warm_up_left_ms": 0,
    "born_ms": 5,
}
NUMBERS = ("port", "slots", "connections", "sequence", "warm_up_left_ms", "born_ms")
EDGES = (0, 1, 65_536, 10**6, 10**13, 2**53, 2**63, 2**64, 2**70, 10**400)
texts = st.one_of(
    st.sampled_from(
        [str(sign * (edge + step)) for edge in EDGES for sign in (1, -1) for step in (-1, 0, 1)]
    ),
    st.sampled_from(
        ["1e999", "1e308", "5e-324", "-0.0", "NaN", "null", '"1"', "9" * 5000, "[" * 9000]
    ),
)


class AnnounceTest(unittest.TestCase):
    def setUp(self):
        self.driver = RegisterDriver()
        self.app = AnnounceApp(self.driver.register, 6000.0)

    def send(self, method, path, body=b""):
        sent = []

        async def receive():
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(event):
            sent.append(event)

        scope = {"type": "http", "method": method, "path": path}
        trio.run(self.app, scope, receive, send)
        return sent[0]["status"]

    @given(st.sampled_from(NUMBERS), texts)
    def test_announcement_with_an_extreme_number_is_refused_or_can_be_kept(self, field, text):
        self.setUp()
        body = json.dumps(VALID | {field: "@"}).replace('"@"', text).encode()
        status = self.send("POST", "/v1/upstreams", body)
        self.assertIn(status, (200, 400))
        for upstream in self.driver.announced:
            msgspec.msgpack.encode(upstream)
        for record in self.driver.register.runs.keeper.known.values():
            msgspec.msgpack.encode(record)
        valid = VALID | {"name": "u2"}
        self.assertEqual(self.send("POST", "/v1/upstreams", json.dumps(valid).encode()), 200)

    def test_departure_of_a_name_that_no_upstream_has_is_not_kept(self):
        for name in ("u" * 129, "a b", "á", "\x00", "a/b\n"):
            self.assertEqual(self.send("DELETE", f"/v1/upstreams/{name}"), 404)
        self.assertEqual(self.driver.register.runs.keeper.known, {})


if __name__ == "__main__":
    unittest.main()
