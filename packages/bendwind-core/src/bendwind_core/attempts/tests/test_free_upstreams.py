"""Simulate loads in which requests waited at one upstream while others of its service were free.

Entry nodes choose by outdated loads, so that a request can reach a busy upstream and queue there.
"""

import collections
import heapq
import itertools
import random
import unittest
from unittest import mock

import msgspec

from bendwind_core.attempts import HandOver, NotRunReason, entry, no_wait, owner
from bendwind_core.attempts import events as ev
from bendwind_core.attempts import owner_events as ov
from bendwind_core.attempts.admission import can_start_immediately
from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.attempts.call import create_call
from bendwind_core.attempts.owner_state import QueuedAttempt
from bendwind_core.limits import RetryBudget
from bendwind_core.routing import (
    choose_upstream,
    create_upstream_table,
    record_attempt_answered,
    record_attempt_not_run,
    record_attempt_sent,
    set_upstreams,
)
from bendwind_core.world import Instance, Policy, Repeat, Rule, Service, Upstream, UpstreamState

SLOTS = 3
SLOT_SHARE = 0.8
TARGET = 0.955
TIMEOUT = 3.5
MEAN_WORK = 0.19
SLOW_FACTOR = 5.0
SLOW_PHASE = 0.15
MEAN_PHASE_GAP = 0.45
LOAD_QUERY_TIME = 0.0003


class OwnedUpstream(msgspec.Struct, eq=False):
    """Hold one upstream and its owner's state."""

    upstream: Upstream
    owner_state: owner.OwnerState
    slow_until: float = 0.0


class ActiveCall(msgspec.Struct, eq=False):
    """Hold one call and the upstream table of its entry node."""

    call: object
    table: object
    last_hand_over: float | None = None


class Simulation:
    """Simulate calls of one service with entry tables and owners; messages take no time."""

    def __init__(self, upstreams, nodes, per_second, has_phases, seed=1):
        self.rng = random.Random(seed)
        self.event_queue = []
        self.event_numbers = itertools.count()
        self.now = 0.0
        self.has_phases = has_phases
        self.per_second = per_second
        self.service = Service("s", ("*",), policy=Policy.SCORE)
        self.rule = Rule("*", repeat=Repeat.NEVER, name="read", target_latency_ms=TARGET * 1000)
        self.owned_upstreams = {}
        for number in range(upstreams):
            self._add(f"u{number}")
        known = [owned.upstream for owned in self.owned_upstreams.values()]
        self.nodes = []
        for number in range(nodes):
            table = create_upstream_table("s")
            set_upstreams(table, known, 0.0)
            self.nodes.append((table, AttemptIds(f"e{number}", 1), RetryBudget(0.1)))
        self.active_calls = {}
        self.waited = self.waited_despite_free = self.started = self.calls = 0
        self.refusals = collections.Counter()

    def _add(self, name):
        upstream = Upstream(name, "s", Instance(name, "dc", "h", 1, 1), SLOTS, 30)
        owner_state = owner.create_owner_state(name, 1, 16, slot_share=SLOT_SHARE)
        owned = OwnedUpstream(upstream, owner_state)
        self.owned_upstreams[name] = owned
        owner.step(owner_state, ov.UpstreamAnnounced(SLOTS, 30, UpstreamState.READY), 0.0)
        owner.step(owner_state, ov.LoadReported(1.0), 0.0)
        if self.has_phases:
            self.schedule(
                self.rng.expovariate(1 / MEAN_PHASE_GAP), lambda: self._start_slow_phase(owned)
            )

    def schedule(self, when, action):
        heapq.heappush(self.event_queue, (when, next(self.event_numbers), action))

    def _start_slow_phase(self, owned):
        owned.slow_until = self.now + SLOW_PHASE
        gap = self.rng.expovariate(1 / MEAN_PHASE_GAP)
        self.schedule(owned.slow_until + gap, lambda: self._start_slow_phase(owned))

    def find_slow_factor(self, owned):
        return SLOW_FACTOR if self.now < owned.slow_until else 1.0

    def run_for(self, seconds):
        self.schedule(0.0, lambda: self._arrive(seconds))
        while self.event_queue and self.event_queue[0][0] <= seconds + TIMEOUT:
            self.now, _, action = heapq.heappop(self.event_queue)
            action()
        return self

    def _arrive(self, until):
        gap = self.rng.expovariate(self.per_second)
        if self.now + gap < until:
            self.schedule(self.now + gap, lambda: self._arrive(until))
        table, ids, budget = self.rng.choice(self.nodes)
        target_at = self.now + TARGET
        call = create_call(
            "c", self.service, self.rule, self.now + TIMEOUT, ids, budget, target_at=target_at
        )
        self.calls += 1
        self.apply(ActiveCall(call, table), ev.Begin())

    def apply(self, run, event):
        def choose(excluded):
            return choose_upstream(Policy.SCORE, run.table, excluded, self.now, self.rng)

        for effect in entry.step(run.call, event, self.now, choose):
            if isinstance(effect, ev.SendHandOver):
                record_attempt_sent(run.table, effect.upstream.name, effect.attempt, self.now)
                self.active_calls[effect.attempt] = run
                self._hand_over(self.owned_upstreams[effect.upstream.name], run, effect)

    def _hand_over(self, owned, run, effect):
        hand_over = HandOver(
            effect.attempt,
            1,
            "s",
            owned.upstream.name,
            "GET",
            b"/",
            (),
            effect.remaining_ms,
            Repeat.NEVER,
            1,
            accept_if_slow=effect.accept_if_slow,
            route="read",
            target_ms=effect.target_ms,
            may_wait=effect.may_wait,
        )
        others = [one for one in self.owned_upstreams.values() if one is not owned]
        queued = QueuedAttempt(hand_over, 1, self.now + TIMEOUT)
        is_free = any(self._is_free(one, queued) for one in others)
        run.last_hand_over = (self.now, is_free)
        self.step_owner(owned, ov.HandOverArrived(hand_over, 1))

    def _is_free(self, owned, queued):
        return (
            can_start_immediately(owned.owner_state, queued, self.now)
            and self.now >= owned.slow_until
        )

    def step_owner(self, owned, event):
        for effect in owner.step(owned.owner_state, event, self.now):
            match effect:
                case ov.Dispatch(hand_over=hand_over):
                    self._start(owned, hand_over.attempt)
                case ov.QueryLoad():
                    self.schedule(self.now + LOAD_QUERY_TIME, lambda: self._report(owned))
                case ov.ReplyNotRun(attempt=attempt, reason=reason, load=load, wait_ms=wait_ms):
                    self._refuse(owned, attempt, reason, load, wait_ms)
        due = owner.next_due(owned.owner_state, self.now)
        if due is not None:
            self.schedule(max(due, self.now + 0.001), lambda: self._tick(owned))

    def _report(self, owned):
        self.step_owner(owned, ov.LoadReported(self.find_slow_factor(owned)))

    def _tick(self, owned):
        due = owner.next_due(owned.owner_state, self.now)
        if due is not None and due <= self.now:
            self.step_owner(owned, ov.Tick())

    def _start(self, owned, attempt):
        handed_over_at, is_free = self.active_calls[attempt].last_hand_over
        self.started += 1
        if self.now - handed_over_at > 0.02:
            self.waited += 1
            self.waited_despite_free += is_free
        duration = MEAN_WORK * self.rng.lognormvariate(-0.045, 0.3) * self.find_slow_factor(owned)
        self.schedule(self.now + duration, lambda: self._answer(owned, attempt, duration))

    def _answer(self, owned, attempt, duration):
        self._report(owned)
        self.step_owner(owned, ov.DispatchHead(attempt, 200, duration * 1000))
        self.step_owner(owned, ov.DispatchDone(attempt))
        run = self.active_calls[attempt]
        load = owner.load_sample(owned.owner_state, self.now)
        record_attempt_answered(run.table, owned.upstream.name, attempt, self.now, 200, load)
        self.apply(run, ev.AttemptHead(attempt, 200, True))

    def _refuse(self, owned, attempt, reason, load, wait_ms):
        run = self.active_calls[attempt]
        self.refusals[reason] += 1
        name = owned.upstream.name
        record_attempt_not_run(run.table, name, attempt, self.now, reason, load)
        # Like a message, the refusal arrives after the other effects of the owner's step.
        self.schedule(
            self.now, lambda: self.apply(run, ev.AttemptNotRun(attempt, reason, load, wait_ms))
        )


class FreeUpstreamsTest(unittest.TestCase):
    def find_shares(self, per_second, *, has_phases):
        """Return which share waited despite a free upstream, with no-wait attempts and without."""
        with_no_wait = Simulation(8, 20, per_second, has_phases).run_for(20.0)
        with mock.patch.object(no_wait, "may_send_no_wait", lambda budget: False):
            without_no_wait = Simulation(8, 20, per_second, has_phases).run_for(20.0)
        return [one.waited_despite_free / one.started for one in (with_no_wait, without_no_wait)]

    def test_almost_no_request_waits_while_another_upstream_is_free(self):
        # Four in ten slots are in use, and each entry node receives the load of an upstream once in
        # some seconds.
        with_no_wait, without_no_wait = self.find_shares(30.0, has_phases=False)
        self.assertLess(with_no_wait, 0.01)
        self.assertGreater(without_no_wait, 0.1)

    def test_few_requests_wait_if_upstreams_are_slow_a_quarter_of_the_time(self):
        with_no_wait, without_no_wait = self.find_shares(22.0, has_phases=True)
        self.assertLess(with_no_wait, 0.03)
        self.assertGreater(without_no_wait, 0.2)

    def test_refused_no_wait_attempts_stay_few_if_every_upstream_is_busy(self):
        # At twice and four times the capacity of the upstreams, one call in five sends a no-wait
        # attempt, and some of these are accepted.
        for per_second in (165.0, 330.0):
            overloaded = Simulation(8, 4, per_second, has_phases=False).run_for(10.0)
            self.assertLess(overloaded.refusals[NotRunReason.BUSY] / overloaded.calls, 0.4)


if __name__ == "__main__":
    unittest.main()
