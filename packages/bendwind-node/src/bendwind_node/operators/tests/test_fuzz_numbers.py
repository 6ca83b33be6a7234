"""Send extreme numbers in the queries and bodies of operators; each is answered."""

import unittest

import trio
from hypothesis import given
from hypothesis import strategies as st

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_node.operators import create_open_authority
from bendwind_node.operators.tests.fakes import FakeClient, FakeLog, create_app, send_request

EDGES = (0, 1, 100, 86_400, 2**31, 2**53, 2**62, 2**63, 2**64, 2**70, 10**25)
WHOLE = [str(sign * (edge + step)) for edge in EDGES for sign in (1, -1) for step in (-1, 0, 1)]
ODD = ["9" * 400, "9" * 5000, "0x" + "f" * 5000, "1e308", "1e999", "5e-324", "nan", "-inf", "²"]
OTHER = ["[" * 3000, "{}", '"7"', "true", "", "1979-05-27", "07:32:00", "1_000", "0b11"]
texts = st.sampled_from([*WHOLE, *ODD, *OTHER])

SERVICE = '[[services]]\nname = "a"\nupstreams = ["a-*"]\n'
CUSTOMER = '[[customers]]\nname = "c"\nkeys = ["k"]\n'
ROUTE = '[[routes]]\nname = "r"\nhost = "h"\npath_prefix = "/"\nparts = [{ service = "a" }]\n'
INTENTS = (
    *(SERVICE + f"{key} = @" for key in ("longest_wait_ms", "hedge_after_ms", "needed_upstreams")),
    *(SERVICE + f"limits = {{ {key} = @ }}" for key in ("queue", "body_bytes", "retry_ratio")),
    *(SERVICE + f'rules = [{{ path = "/", {key} = @ }}]' for key in ("longest_wait_ms",)),
    SERVICE + "warm_up = { seconds = @, per_second = @ }",
    *("services = []\n" + CUSTOMER + f"{key} = @" for key in ("rank", "rate_per_s", "burst")),
)
REVISIONS = (
    "revision = @",
    *(f"revision = 1\nlimits = {{ {key} = @ }}" for key in ("header_bytes", "idle_timeout_ms")),
    *(
        'revision = 1\nservices = [{ name = "a" }]\n' + ROUTE + f"{key} = @"
        for key in ("timeout_ms", "attempts", "priority", "target_latency_ms")
    ),
)
TIMELINE_FIELDS = ("kind", "since", "limit", "call", "plan")
PLAN_FIELDS = ("expires_s", "base_version")


class NumbersTest(unittest.TestCase):
    def restart(self):
        """Begin an example with a process that holds no plans."""
        authority = create_open_authority("127.0.0.1")
        self.app = create_app(FakeClient(FakeLog()), authority)

    def send(self, method, path, body="", **query):
        return trio.run(lambda: send_request(self.app, method, path, body, **query))[0]

    def check_good(self):
        self.assertIn(self.send("POST", "/v1/plans", "services = []"), (200, 201))
        self.assertEqual(self.send("GET", "/v1/timeline"), 200)

    @given(st.sampled_from(TIMELINE_FIELDS), texts)
    def test_number_in_the_query_of_events_is_answered(self, field, text):
        self.restart()
        self.assertIn(self.send("GET", "/v1/timeline", **{field: text}), (200, 400))
        self.check_good()

    @given(st.sampled_from(PLAN_FIELDS), texts)
    def test_number_in_the_query_of_a_plan_is_answered(self, field, text):
        self.restart()
        status = self.send("POST", "/v1/plans", "services = []", **{field: text})
        self.assertIn(status, (200, 201, 400, 409))
        self.check_good()

    @given(texts)
    def test_number_of_a_plan_is_answered(self, text):
        self.restart()
        for name in (text, f"p{text}"):
            self.assertIn(self.send("GET", f"/v1/plans/{name}"), (200, 404, 410))
            self.assertIn(self.send("POST", f"/v1/plans/{name}/confirm"), (200, 404, 405, 409, 410))
        self.check_good()

    @given(st.sampled_from(INTENTS), texts)
    def test_number_in_an_intent_is_answered(self, intent, text):
        self.restart()
        status = self.send("POST", "/v1/plans", intent.replace("@", text))
        self.assertIn(status, (200, 201, 400))
        self.check_good()

    @given(st.sampled_from(REVISIONS), texts)
    def test_number_in_a_complete_configuration_is_answered(self, revision, text):
        self.restart()
        status = self.send("PUT", "/v1/revision", revision.replace("@", text))
        self.assertIn(status, (200, 400, 409))
        self.check_good()


if __name__ == "__main__":
    unittest.main()
