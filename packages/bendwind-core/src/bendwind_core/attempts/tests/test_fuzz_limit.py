"""Check that all owners of an upstream together keep the limit that it names in its answers.

Owners are killed and started again, the upstream's announcements move to another node while the
former owner goes on sending, answers overtake each other, and the limit falls, rises and ends.
"""

import unittest

import bendwind_core.core.tests.profiles  # noqa: F401  isort:skip
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from bendwind_core.attempts import AttemptId, HandOver, owner
from bendwind_core.attempts import owner_events as ov
from bendwind_core.attempts.tests.limit_oracle import LimitOracle
from bendwind_core.routing import (
    create_upstream_table,
    find_rate_limit,
    record_attempt_answered,
    set_upstreams,
)
from bendwind_core.world import Instance, Repeat, Upstream, UpstreamState

NODES = ("e0", "e1", "e2")
LEASE_S = 5.0
STEP_S = 0.05
named_limits = st.sampled_from([0.0, 0.3, 6.2, 60.0])


class OwnerProcess:
    """Hold one owner process of the upstream; `lease_ends_at` is when its lease on it ends."""

    def __init__(self, node, incarnation, now, alone_from):
        self.node = node
        self.incarnation = incarnation
        self.lease_ends_at = None
        self.state = owner.create_owner_state("u", incarnation, 16, alone_from=alone_from)


class SharedLimitMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.oracle = LimitOracle()
        self.sequences = dict.fromkeys(NODES, 0)
        self.incarnation = 0
        self.owners = []
        self.tables = {}
        self.running = []
        self.unread_answers = []

    @initialize()
    def create(self):
        for node in NODES:
            self.tables[node] = create_upstream_table("s")
        self.start_owner("e0", self.now)

    def start_owner(self, node, alone_from):
        self.incarnation += 1
        process = OwnerProcess(node, self.incarnation, self.now, alone_from)
        self.owners.append(process)
        self.apply(process, ov.UpstreamAnnounced(12, 50, UpstreamState.READY))
        for name in NODES:
            set_upstreams(self.tables[name], [self.make_upstream(process)], self.now)

    def make_upstream(self, process):
        instance = Instance(process.node, "a", "127.0.0.1", 1, incarnation=process.incarnation)
        return Upstream("u", "s", instance, 12, 50)

    def apply(self, process, event):
        for effect in owner.step(process.state, event, self.now):
            if isinstance(effect, ov.Dispatch):
                attempt = effect.hand_over.attempt
                assert self.oracle.record_request(
                    attempt.entry, self.now
                ), "more than the limit allows"
                self.apply(process, ov.DispatchSent(attempt))
                self.running.append((process, attempt, self.now))

    def hand_over(self, node, *, has_target, may_wait):
        # A node that is cut off from the voters continues with the owner that it knows.
        process = self.owners[0 if node == "e2" else -1]
        self.sequences[node] += 1
        message = HandOver(
            AttemptId(node, 1, self.sequences[node]),
            process.incarnation,
            "s",
            "u",
            "GET",
            b"/",
            (),
            2000.0,
            Repeat.IDEMPOTENT,
            1,
            route="r",
            target_ms=1500.0 if has_target else None,
            may_wait=may_wait,
            limit_per_s=find_rate_limit(self.tables[node].notices, self.make_upstream(process)),
        )
        self.apply(process, ov.HandOverArrived(message, 1))

    @rule(
        steps=st.integers(1, 100),
        each=st.integers(0, 4),
        has_target=st.booleans(),
        may_wait=st.booleans(),
        newest_first=st.booleans(),
    )
    def offer_load(self, steps, each, has_target, may_wait, newest_first):
        """Send requests at all nodes for a while; answers are read in the next step."""
        for _ in range(steps):
            for node in NODES * each:
                self.hand_over(node, has_target=has_target, may_wait=may_wait)
            self.read_answers(newest_first=newest_first)
            self.answer_running()
            self.advance()

    def answer_running(self):
        """Make the upstream answer all requests that it runs."""
        for process, attempt, sent_at in self.running:
            self.unread_answers.append(
                (process, attempt, sent_at, self.oracle.per_second, self.now)
            )
        self.running.clear()

    def read_answers(self, *, newest_first):
        unread_answers, self.unread_answers = self.unread_answers, []
        for answer in reversed(unread_answers) if newest_first else unread_answers:
            self.read_answer(*answer)

    def read_answer(self, process, attempt, sent_at, limit, answered_at):
        if process not in self.owners or attempt not in process.state.running:
            return
        if limit is None:
            self.apply(process, ov.RateLimitNotReported(sent_at))
        else:
            self.apply(process, ov.RateLimitReported(limit, sent_at))
        self.apply(process, ov.DispatchHead(attempt, 200, 10.0))
        self.apply(process, ov.DispatchDone(attempt))
        if attempt.entry in self.tables and process in self.owners:
            load = owner.load_sample(process.state, self.now)
            record_attempt_answered(self.tables[attempt.entry], "u", attempt, self.now, 200, load)
            if limit is not None and self.oracle.per_second is not None:
                self.oracle.record_passed_on(attempt.entry, self.now)

    def advance(self):
        self.now += STEP_S
        for process in list(self.owners):
            if process.lease_ends_at is not None and self.now >= process.lease_ends_at:
                self.owners.remove(process)
            else:
                self.apply(process, ov.Tick())

    @rule(per_second=named_limits)
    def name_limit(self, per_second):
        self.oracle.name_limit(per_second, self.now)

    @rule()
    def end_limit(self):
        self.oracle.name_limit(None, self.now)

    @rule(per_second=named_limits)
    def name_limit_for_long(self, per_second):
        self.name_limit(per_second)
        self.offer_load(100, 2, has_target=False, may_wait=True, newest_first=False)

    @rule()
    def restart_owner(self):
        """Kill the newest owner; the other nodes have received the limit and are bound by it."""
        process = self.owners.pop()
        self.running = [one for one in self.running if one[0] is not process]
        self.oracle.record_restart(process.node)
        self.tables[process.node] = create_upstream_table("s")
        self.start_owner(process.node, max(self.now, process.state.rate_limit.alone_from))

    @rule()
    def move_to_other_node(self):
        """Announce the upstream to another node; the former owner is not informed."""
        if len(self.owners) > 1:
            return
        former = self.owners[0]
        former.lease_ends_at = self.now + LEASE_S
        self.start_owner("e1" if former.node == "e0" else "e0", self.now + LEASE_S)


FuzzLimitTest = SharedLimitMachine.TestCase

if __name__ == "__main__":
    unittest.main()
