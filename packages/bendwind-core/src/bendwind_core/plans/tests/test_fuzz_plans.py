"""Check the results of concurrent operators against a list of the accepted versions.

Proposers to the log lose, repeat and delay commands.
"""

from dataclasses import dataclass, field
from unittest import mock

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.plans import (
    Confirmed,
    ConfirmPlan,
    ControlState,
    CreatePlan,
    DrainTarget,
    EvictedPlan,
    Expired,
    Intent,
    MarkDraining,
    PlanCreated,
    RequestReused,
    Superseded,
    TooManyPlans,
    UnknownPlan,
    VersionMoved,
    compute_changes,
    decode_command,
    encode_command,
    plan_table,
)
from bendwind_core.world import Service

MAX_CLOSED_PLANS = 3
MAX_OPEN_PLANS = 3
NAMES = ("agenda", "catastro", "emisor")
Content = dict[str, float]

contents = st.dictionaries(st.sampled_from(NAMES), st.sampled_from([1000.0, 2000.0, 3000.0]))
requests = st.sampled_from([f"r{i}" for i in range(8)])
voters = st.integers(0, 2)
picks = st.integers(0, 1000)
immediacy = st.sampled_from([True, True, False])
ttls = st.sampled_from([100, 1000, 20_000])
clock_errors = st.sampled_from([-5000, 0, 0, 0, 700, 5000])


@dataclass
class KnownPlan:
    base: int
    expires_ms: int
    content: Content
    outcome: object = None
    closed_at: int | None = None


@dataclass
class Oracle:
    """Hold every accepted version in order, and check each result against them."""

    versions: dict[int, Content] = field(default_factory=lambda: {0: {}})
    confirmations: dict[int, Confirmed] = field(default_factory=dict)
    plans: dict[int, KnownPlan] = field(default_factory=dict)
    requests: dict[str, int] = field(default_factory=dict)
    latest_ms: int = 0

    @property
    def version(self) -> int:
        return max(self.versions)

    def check_create(self, index: int, command: CreatePlan, result: object) -> None:
        self.latest_ms = max(self.latest_ms, command.now_ms)
        match result:
            case PlanCreated(plan, True):
                assert self.requests[command.request] == plan.index
                assert plan.base_version == self.plans[plan.index].base
            case PlanCreated(plan, False):
                assert plan.index == index and command.base_version == self.version
                assert self._is_evicted(self.requests.get(command.request))
                content = dict(self.versions[command.base_version])
                content |= {s.name: s.longest_wait_ms for s in command.changes.put}
                content = {n: w for n, w in content.items() if n not in command.changes.removed}
                self.requests[command.request] = index
                self.plans[index] = KnownPlan(self.version, plan.expires_ms, content)
            case VersionMoved(version, plan):
                assert version == self.version != command.base_version
                assert plan == (
                    self.confirmations[self._find_base(version)].plan if version else ""
                )
            case RequestReused(plan):
                assert f"p{self.requests[command.request]}" == plan
            case TooManyPlans():
                assert self._count_open() >= MAX_OPEN_PLANS
            case _:
                raise AssertionError(result)

    def check_confirm(self, index: int, command: ConfirmPlan, result: object) -> None:
        self.latest_ms = max(self.latest_ms, command.now_ms)
        known = self.plans.get(command.index)
        match result:
            case UnknownPlan():
                assert known is None
                return
            case EvictedPlan():
                assert self._is_evicted(command.index), "evicted too early"
                return
        assert known is not None
        if known.outcome is not None:
            assert result == known.outcome, "the outcome changed when it was confirmed again"
            return
        known.outcome = result
        known.closed_at = index
        match result:
            case Confirmed(plan, version):
                assert (plan, version) == (f"p{command.index}", index)
                assert (
                    known.base not in self.confirmations
                ), "two plans were confirmed from one version"
                assert known.base == self.version and command.now_ms < known.expires_ms
                self.confirmations[known.base] = result
                self.versions[version] = known.content
            case Superseded(plan, version):
                assert self.confirmations[known.base] == Confirmed(plan, version)
            case Expired():
                assert self.latest_ms >= known.expires_ms
            case _:
                raise AssertionError(result)

    def _find_base(self, version: int) -> int:
        return next(
            base
            for base, confirmation in self.confirmations.items()
            if confirmation.version == version
        )

    def _count_open(self) -> int:
        closed = [plan for plan in self.plans.values() if plan.outcome is not None]
        return len(self.plans) - len(closed)

    def _is_evicted(self, index: int | None) -> bool:
        known = None if index is None else self.plans.get(index)
        if known is None:
            return True
        closed_at = known.closed_at or 0
        others = [other.closed_at for other in self.plans.values() if other is not known]
        return sum(1 for at in others if at is None or at > closed_at) >= MAX_CLOSED_PLANS


class PlanMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.bounds = mock.patch.multiple(
            plan_table, MAX_CLOSED_PLANS=MAX_CLOSED_PLANS, MAX_OPEN_PLANS=MAX_OPEN_PLANS
        )
        self.bounds.start()
        self.oracle = Oracle()
        self.log: list[bytes] = []
        self.results: list[object] = []
        self.voters = [ControlState() for _ in range(3)]
        self.snapshots = [state.snapshot() for state in self.voters]
        self.in_flight: list[bytes] = []
        self.now_ms = 10_000

    @rule(
        voter=voters,
        content=contents,
        request=requests,
        partial=st.booleans(),
        ttl_ms=ttls,
        is_immediate=immediacy,
    )
    def create_plan(self, voter, content, request, partial, ttl_ms, is_immediate):
        state = self.voters[voter]
        services = tuple(Service(n, (n,), longest_wait_ms=w) for n, w in content.items())
        intent = Intent(services, partial)
        changes = compute_changes(state.configuration, intent)
        digest = repr((sorted(content.items()), partial)).encode()
        version = state.configuration.version
        self._send(CreatePlan(request, digest, version, changes, self.now_ms, ttl_ms), is_immediate)

    @rule(pick=picks, error_ms=clock_errors, is_immediate=immediacy)
    def confirm_plan(self, pick, error_ms, is_immediate):
        indices = [*self.oracle.plans, len(self.log) + 2]
        self._send(ConfirmPlan(indices[pick % len(indices)], self.now_ms + error_ms), is_immediate)

    @rule(name=st.sampled_from(NAMES), draining=st.booleans())
    def mark_draining(self, name, draining):
        self._send(MarkDraining(DrainTarget.UPSTREAM, name, draining))

    def _send(self, command, is_immediate: bool = False) -> None:
        if is_immediate:
            self.log.append(encode_command(command).ok)
            self.catch_up(0, len(self.log))
        else:
            self.in_flight.append(encode_command(command).ok)

    @precondition(lambda self: self.in_flight)
    @rule(pick=picks, is_repeated=st.booleans())
    def deliver(self, pick, is_repeated):
        position = pick % len(self.in_flight)
        command = self.in_flight[position]
        if not is_repeated:
            del self.in_flight[position]
        self.log.append(command)

    @precondition(lambda self: self.in_flight)
    @rule(pick=picks)
    def drop(self, pick):
        del self.in_flight[pick % len(self.in_flight)]

    @rule()
    def append_empty_entry(self):
        self.log.append(b"")

    @rule(elapsed_ms=st.integers(1, 600))
    def advance_clock(self, elapsed_ms):
        self.now_ms += elapsed_ms

    @rule(voter=voters, count=st.integers(1, 8))
    def catch_up(self, voter, count):
        state = self.voters[voter]
        for index in range(state.applied + 1, min(state.applied + count, len(self.log)) + 1):
            self._apply(state, index)

    def _apply(self, state: ControlState, index: int) -> None:
        before = state.configuration
        command = self.log[index - 1]
        result = state.apply(index, command)
        if index > len(self.results):
            self.results.append(result)
            self._check_result(index, command, result)
        assert (
            result == self.results[index - 1]
        ), "two voters returned different results for one entry"
        if state.configuration != before:
            assert result == Confirmed(result.plan, index), "active without a confirmation"
            assert state.configuration.version == index > before.version

    def _check_result(self, index: int, command: bytes, result: object) -> None:
        match decode_command(command) if command else None:
            case CreatePlan() as create:
                self.oracle.check_create(index, create, result)
            case ConfirmPlan() as confirm:
                self.oracle.check_confirm(index, confirm, result)

    @rule(voter=voters)
    def save_snapshot(self, voter):
        self.snapshots[voter] = self.voters[voter].snapshot()

    @rule(voter=voters, source=voters)
    def restart(self, voter, source):
        if self.voters[source].applied < self.voters[voter].applied:
            source = voter
        self.voters[voter] = ControlState()
        self.voters[voter].restore(self.snapshots[source])

    @invariant()
    def voters_hold_the_accepted_versions(self):
        for state in self.voters:
            content = {s.name: s.longest_wait_ms for s in state.configuration.services}
            assert content == self.oracle.versions[state.configuration.version]

    @invariant()
    def snapshots_hold_the_whole_state(self):
        for state in self.voters:
            restored = ControlState()
            restored.restore(state.snapshot())
            assert restored == state

    def teardown(self):
        try:
            for index in list(self.oracle.plans):
                self.log.append(encode_command(ConfirmPlan(index, self.now_ms)).ok)
            for voter in range(3):
                self.catch_up(voter, len(self.log))
            assert self.voters[0] == self.voters[1] == self.voters[2]
        finally:
            self.bounds.stop()


TestPlans = PlanMachine.TestCase
