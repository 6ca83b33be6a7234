"""Check calls end to end through entry nodes, links, owners and upstreams that count their runs."""

import unittest

import bendwind_core.core.tests.profiles  # noqa: F401  isort:skip
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bendwind_core.attempts import events as ev
from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.attempts.tests.call_path_world import QUEUE, RETRY_RATIO, SLOTS, World
from bendwind_core.world import Repeat, UpstreamState

ENTRIES = 2
OWNERS = 2
number = st.integers(0, 7)


class CallPath(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = World(ENTRIES, OWNERS)

    def _pick(self, items, pick):
        items = list(items)
        return items[pick % len(items)]

    def _links(self):
        for entry_node in self.world.entries:
            for node in self.world.owners:
                yield entry_node, node, self.world.links[entry_node.name, node.index]

    def _queues(self):
        for entry_node, node, link in self._links():
            for queue in (link.to_owner, link.to_entry):
                if queue:
                    yield entry_node, node, link, queue

    def _has_messages(self):
        return any(self._queues())

    def _runs(self):
        return [(node, attempt) for node in self.world.owners for attempt in node.runs]

    @rule(
        pick=number,
        repeat=st.sampled_from(Repeat),
        timeout=st.sampled_from([0.0, 0.05, 1.0, 3.0]),
        hedge_ms=st.sampled_from([None, 10.0]),
        has_key=st.booleans(),
        is_delivered=st.booleans(),
    )
    def start_call(self, pick, repeat, timeout, hedge_ms, has_key, is_delivered):
        self.world.start_call(
            self._pick(self.world.entries, pick), repeat, timeout, hedge_ms, has_key
        )
        if is_delivered:
            self.deliver_all()

    @precondition(_has_messages)
    @rule()
    def deliver_all(self):
        while self._has_messages():
            entry_node, node, link, queue = next(self._queues())
            self._deliver(entry_node, node, link, queue, queue.pop(0))

    def _deliver(self, entry_node, node, link, queue, message):
        if queue is link.to_owner:
            self.world.deliver_to_owner(entry_node, node, message)
        else:
            self.world.deliver_to_entry(message)

    @precondition(_has_messages)
    @rule(pick=number, index=number, how=st.sampled_from(["move", "move", "repeat", "lose"]))
    def deliver_one(self, pick, index, how):
        entry_node, node, link, queue = self._pick(self._queues(), pick)
        message = self._pick(queue, index)
        if how != "repeat":
            queue.remove(message)
        if how != "lose":
            self._deliver(entry_node, node, link, queue, message)

    @rule(
        pick=number,
        is_noticed=st.booleans(),
        kind=st.sampled_from(["link", "link", "owner", "entry", "unreachable", "reachable"]),
    )
    def fail(self, pick, is_noticed, kind):
        entry_node, node, _ = self._pick(self._links(), pick)
        match kind:
            case "link":
                self.world.break_link(entry_node.name, node, is_noticed)
            case "owner":
                self.world.restart_owner(node)
            case "entry":
                self.world.restart_entry(pick % ENTRIES, is_noticed)
            case _:
                node.is_reachable = kind == "reachable"

    @rule(pick=number, state=st.sampled_from([UpstreamState.READY] * 4 + list(UpstreamState)))
    def announce(self, pick, state):
        self.world.announce(self._pick(self.world.owners, pick), state)

    @precondition(_runs)
    @rule(pick=number, status=st.sampled_from([200, 200, 503]), more=st.booleans())
    def answer(self, pick, status, more):
        self.world.answer(*self._pick(self._runs(), pick), status, more)

    @precondition(_runs)
    @rule(pick=number, kind=st.sampled_from(["read", "shed", "connect", "reset"]))
    def disturb_upstream(self, pick, kind):
        node, attempt = self._pick(self._runs(), pick)
        match kind:
            case "read":
                self.world.mark_read(node.runs[attempt])
            case "shed":
                self.world.refuse(node, attempt, NotRunReason.SHED)
            case "connect":
                self.world.refuse(node, attempt, NotRunReason.CONNECT_FAILED)
            case "reset":
                self.world.reset(node, attempt)

    @precondition(lambda self: any(node.orphaned_runs for node in self.world.owners))
    @rule()
    def read_orphaned_runs(self):
        for node in self.world.owners:
            for run in node.orphaned_runs:
                self.world.mark_read(run)

    @precondition(lambda self: self.world.callers)
    @rule(pick=number)
    def close_caller_connection(self, pick):
        caller = self.world.callers[-1 - pick % len(self.world.callers)]
        self.world.entry_step(caller, ev.CallerGone())

    @rule(duration=st.sampled_from([0.001, 0.01, 0.04, 0.5, 3.0]))
    def advance(self, duration):
        self.world.advance(self.world.now + duration)

    @precondition(lambda self: self.world.timers)
    @rule()
    def advance_to_timer(self):
        self.world.advance(max(self.world.now, min(self.world.timers.values())))

    @invariant()
    def outcomes_match_runs(self):
        for caller in self.world.callers:
            self._check_caller(caller)

    def _check_caller(self, caller):
        assert len(caller.finals) <= 1, f"several outcomes: {caller.finals}"
        is_alive = caller.entry in self.world.entries
        is_overdue = self.world.now > caller.call.deadline_at
        assert caller.finals or not (is_alive and is_overdue), "no outcome by the deadline"
        if caller.call.rule.repeat is Repeat.NEVER:
            assert caller.runs <= 1, f"ran {caller.runs} times"
        attempts = {attempt for attempt, _, _ in caller.received}
        assert len(attempts) <= 1, "parts of two attempts were delivered"
        assert all(self.world.caller_of[attempt] is caller for attempt in attempts)
        assert [index for _, index, _ in caller.received] == list(range(len(caller.received)))
        match caller.finals:
            case [ev.FinishNotRun()]:
                assert caller.runs == 0, "ended as not-run, but it ran"
            case [ev.FinishDelivered()]:
                assert (
                    caller.received and not caller.received[-1][2]
                ), "a truncated answer was delivered as complete"
                assert caller.runs >= 1
            case [ev.FinishUnknown()]:
                assert not caller.received

    @invariant()
    def bounds_hold(self):
        for node in self.world.owners:
            assert len(node.owner_state.running) <= SLOTS and node.owner_state.queue.size <= QUEUE
            assert node.owner_state.queue.size == len(node.owner_state.waiting)
            log = node.owner_state.log
            live = len(node.owner_state.running) + len(node.owner_state.waiting)
            assert len(log.ended) <= log.capacity and len(log.states) == len(log.ended) + live
            assert len(log.peers) <= log.peer_capacity
        for entry_node in self.world.entries:
            limit = entry_node.first_attempts * (1 + RETRY_RATIO)
            assert entry_node.run_count <= limit, "more runs than the retry budget permits"


TestCallPath = CallPath.TestCase
TestCallPath.settings = settings(max_examples=max(600, settings().max_examples))

if __name__ == "__main__":
    unittest.main()
