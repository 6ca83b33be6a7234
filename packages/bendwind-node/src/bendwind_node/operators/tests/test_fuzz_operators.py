"""Test concurrent and resent requests of operators while the log loses commands and answers."""

import logging

import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_node.operators import create_open_authority
from bendwind_node.operators.tests.fakes import (
    CommandOutcome,
    FakeClient,
    FakeLog,
    create_app,
    send_request,
)

NAMES = ("agenda", "emisor")
RESEND_STATUSES = {421, 503, 504}

voters = st.integers(0, 1)
command_outcomes = st.sampled_from([CommandOutcome.APPLIED, *CommandOutcome])
keys = st.sampled_from(["k0", "k1", "k2", "k3"])
intents = st.sampled_from(
    [
        "services = []",
        *(f'[[services]]\nname = "{name}"\nupstreams = ["{name}-*"]' for name in NAMES),
    ]
)


class OperatorsMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        logging.disable(logging.CRITICAL)
        self.log = FakeLog()
        self.clients = [FakeClient(self.log) for _ in range(2)]
        authority = create_open_authority("127.0.0.1")
        self.apps = [create_app(client, authority) for client in self.clients]
        self.plans: dict[str, tuple[str, str, int]] = {}
        self.outcomes: dict[str, dict] = {}

    def _send(self, voter: int, method: str, path: str, body: str = "", **query):
        return trio.run(lambda: send_request(self.apps[voter], method, path, body, **query))

    @rule(
        voter=voters,
        key=keys,
        intent=intents,
        command_outcome=command_outcomes,
        has_base_version=st.booleans(),
    )
    def submit_intent(self, voter, key, intent, command_outcome, has_base_version):
        self.log.next_outcome = command_outcome
        newest = max((o["version"] for o in self.outcomes.values()), default=0)
        query = {"base_version": str(newest)} if has_base_version else {}
        status, body = self._send(voter, "POST", "/v1/plans", intent, key=key, **query)
        if status in RESEND_STATUSES:
            return
        recorded_plan = self.plans.get(key)
        if status == 409 and body["error"] == "request-reused":
            assert recorded_plan is None or (
                recorded_plan[0] == body["plan"] and recorded_plan[1] != intent
            )
            return
        if has_base_version and status == 409 and body["error"] == "version-moved":
            assert body["version"] > newest
            return
        assert status in (200, 201), body
        if status == 201 and body["state"] == "proposed":
            self._check_differences(intent, body)
        if recorded_plan is None:
            self.plans[key] = body["id"], intent, body["base_version"]
        assert self.plans[key] == (body["id"], intent, body["base_version"])

    def _check_differences(self, intent: str, plan: dict) -> None:
        """Check that the differences of a plan lead from its base version to the intent."""
        reader = FakeClient(FakeLog(self.log.entries[: plan["base_version"]]))
        reader.catch_up()
        before = {service.name for service in reader.state.configuration.services}
        intended = {name for name in NAMES if f'"{name}"' in intent}
        kinds = {(d["kind"], d["service"]) for d in plan["differences"]}
        added = {("service-added", name) for name in intended - before}
        removed = {("service-removed", name) for name in before - intended}
        assert added | removed <= kinds

    @precondition(lambda self: self.plans)
    @rule(voter=voters, key=keys, command_outcome=command_outcomes)
    def confirm(self, voter, key, command_outcome):
        if key in self.plans:
            self.log.next_outcome = command_outcome
            self._confirm(voter, self.plans[key][0])

    def _confirm(self, voter: int, plan: str) -> None:
        status, body = self._send(voter, "POST", f"/v1/plans/{plan}/confirm")
        if status not in RESEND_STATUSES:
            assert status == {"confirmed": 200, "won-by": 409}[body["kind"]]
            assert self.outcomes.setdefault(plan, body) == body, "the outcome of a plan changed"

    @precondition(lambda self: self.log.delayed)
    @rule()
    def deliver_a_delayed_command(self):
        self.log.entries.append(self.log.delayed.pop(0))

    @rule(voter=voters, command_outcome=command_outcomes)
    def read_configuration(self, voter, command_outcome):
        self.log.next_outcome = command_outcome
        status, body = self._send(voter, "GET", "/v1/configuration")
        if status == 200:
            for outcome in self.outcomes.values():
                assert body["version"] >= outcome["version"], "older than an earlier response"

    def teardown(self):
        logging.disable(logging.NOTSET)
        self.log.next_outcome = CommandOutcome.APPLIED
        self.log.entries += self.log.delayed
        for voter in (0, 1):
            for plan, _, _ in list(self.plans.values()):
                self._confirm(voter, plan)
        confirmed = [
            outcome for outcome in self.outcomes.values() if outcome["kind"] == "confirmed"
        ]
        bases = {plan: base for plan, _, base in self.plans.values()}
        assert len({bases[outcome["plan"]] for outcome in confirmed}) == len(
            confirmed
        ), "two plans on one version were confirmed"


TestOperators = OperatorsMachine.TestCase
