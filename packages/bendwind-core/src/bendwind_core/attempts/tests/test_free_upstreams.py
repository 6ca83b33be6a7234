"""Replay loads in which a request waited at one upstream while others of its service were free."""

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
from bendwind_core.attempts.admission import has_place_at_once
from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.attempts.call import create_call
from bendwind_core.attempts.owner_state import QueuedAttempt
from bendwind_core.limits import RetryBudget
from bendwind_core.routing import (
    choose_upstream,
    create_table,
    note_answered,
    note_not_run,
    note_sent,
    set_upstreams,
)
from bendwind_core.world import Instance, Policy, Repeat, Rule, Service, Upstream, UpstreamState

SLOTS = 3
SLOT_SHARE = 0.8
TARGET = 0.955
TIMEOUT = 3.5
WORK = 0.19
SLOWED = 5.0
PHASE = 0.15
BETWEEN_PHASES = 0.45
ASK = 0.0003


class Place(msgspec.Struct, eq=False):
    """Hold one upstream and its owner's state."""

    upstream: Upstream
    owner_state: owner.OwnerState
    slow_until: float = 0.0


class Run(msgspec.Struct, eq=False):
    """Hold one call and the table of the node that it came to."""

    call: object
    table: object
    asked: float | None = None


class Replay:
    """Play callers of one service against entry tables and owners; messages take no time."""

    def __init__(self, upstreams, nodes, per_second, has_phases, seed=1):
        self.rng = random.Random(seed)
        self.agenda = []
        self.order = itertools.count()
        self.now = 0.0
        self.has_phases = has_phases
        self.per_second = per_second
        self.service = Service("s", ("*",), policy=Policy.SCORE)
        self.rule = Rule("*", repeat=Repeat.NEVER, name="read", target_latency_ms=TARGET * 1000)
        self.places = {}
        for number in range(upstreams):
            self._add(f"u{number}")
        known = [place.upstream for place in self.places.values()]
        self.nodes = []
        for number in range(nodes):
            table = create_table("s")
            set_upstreams(table, known, 0.0)
            self.nodes.append((table, AttemptIds(f"e{number}", 1), RetryBudget(0.1)))
        self.runs = {}
        self.waited = self.waited_beside_free = self.started = self.calls = 0
        self.sent_back = collections.Counter()

    def _add(self, name):
        upstream = Upstream(name, "s", Instance(name, "dc", "h", 1, 1), SLOTS, 30)
        owner_state = owner.create_owner_state(name, 1, 16, slot_share=SLOT_SHARE)
        place = Place(upstream, owner_state)
        self.places[name] = place
        owner.step(owner_state, ov.UpstreamAnnounced(SLOTS, 30, UpstreamState.READY), 0.0)
        owner.step(owner_state, ov.LoadReported(1.0), 0.0)
        if self.has_phases:
            self.at(self.rng.expovariate(1 / BETWEEN_PHASES), lambda: self._slow(place))

    def at(self, when, action):
        heapq.heappush(self.agenda, (when, next(self.order), action))

    def _slow(self, place):
        place.slow_until = self.now + PHASE
        gap = self.rng.expovariate(1 / BETWEEN_PHASES)
        self.at(place.slow_until + gap, lambda: self._slow(place))

    def factor(self, place):
        return SLOWED if self.now < place.slow_until else 1.0

    def play(self, seconds):
        self.at(0.0, lambda: self._arrive(seconds))
        while self.agenda and self.agenda[0][0] <= seconds + TIMEOUT:
            self.now, _, action = heapq.heappop(self.agenda)
            action()
        return self

    def _arrive(self, until):
        gap = self.rng.expovariate(self.per_second)
        if self.now + gap < until:
            self.at(self.now + gap, lambda: self._arrive(until))
        table, ids, budget = self.rng.choice(self.nodes)
        target_at = self.now + TARGET
        call = create_call(
            "c", self.service, self.rule, self.now + TIMEOUT, ids, budget, target_at=target_at
        )
        self.calls += 1
        self.feed(Run(call, table), ev.Begin())

    def feed(self, run, event):
        def choose(excluded):
            return choose_upstream(Policy.SCORE, run.table, excluded, self.now, self.rng)

        for effect in entry.step(run.call, event, self.now, choose):
            if isinstance(effect, ev.SendHandOver):
                note_sent(run.table, effect.upstream.name, effect.attempt, self.now)
                self.runs[effect.attempt] = run
                self._hand_over(self.places[effect.upstream.name], run, effect)

    def _hand_over(self, place, run, effect):
        hand_over = HandOver(
            effect.attempt,
            1,
            "s",
            place.upstream.name,
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
        others = [one for one in self.places.values() if one is not place]
        queued = QueuedAttempt(hand_over, 1, self.now + TIMEOUT)
        is_free = any(self._is_free(one, queued) for one in others)
        run.asked = (self.now, is_free)
        self.step(place, ov.HandOverArrived(hand_over, 1))

    def _is_free(self, place, queued):
        return (
            has_place_at_once(place.owner_state, queued, self.now) and self.now >= place.slow_until
        )

    def step(self, place, event):
        for effect in owner.step(place.owner_state, event, self.now):
            match effect:
                case ov.Dispatch(hand_over=hand_over):
                    self._start(place, hand_over.attempt)
                case ov.AskLoad():
                    self.at(self.now + ASK, lambda: self._report(place))
                case ov.ReplyNotRun(attempt=attempt, reason=reason, load=load, wait_ms=wait_ms):
                    self._send_back(place, attempt, reason, load, wait_ms)
        due = owner.next_due(place.owner_state, self.now)
        if due is not None:
            self.at(max(due, self.now + 0.001), lambda: self._tick(place))

    def _report(self, place):
        self.step(place, ov.LoadReported(self.factor(place)))

    def _tick(self, place):
        due = owner.next_due(place.owner_state, self.now)
        if due is not None and due <= self.now:
            self.step(place, ov.Tick())

    def _start(self, place, attempt):
        asked_at, is_free = self.runs[attempt].asked
        self.started += 1
        if self.now - asked_at > 0.02:
            self.waited += 1
            self.waited_beside_free += is_free
        took = WORK * self.rng.lognormvariate(-0.045, 0.3) * self.factor(place)
        self.at(self.now + took, lambda: self._answer(place, attempt, took))

    def _answer(self, place, attempt, took):
        self._report(place)
        self.step(place, ov.DispatchHead(attempt, 200, took * 1000))
        self.step(place, ov.DispatchDone(attempt))
        run = self.runs[attempt]
        load = owner.load_sample(place.owner_state, self.now)
        note_answered(run.table, place.upstream.name, attempt, self.now, 200, load)
        self.feed(run, ev.AttemptHead(attempt, 200, True))

    def _send_back(self, place, attempt, reason, load, wait_ms):
        run = self.runs[attempt]
        self.sent_back[reason] += 1
        name = place.upstream.name
        note_not_run(run.table, name, attempt, self.now, reason, load)
        # As a message would come: after what the owner still does in this step.
        self.at(self.now, lambda: self.feed(run, ev.AttemptNotRun(attempt, reason, load, wait_ms)))


class FreeUpstreamsTest(unittest.TestCase):
    def find_shares(self, per_second, *, has_phases):
        """Return which share waited beside a free one, with tries that may not wait and without."""
        tried = Replay(8, 20, per_second, has_phases).play(20.0)
        with mock.patch.object(no_wait, "may_try", lambda budget: False):
            untried = Replay(8, 20, per_second, has_phases).play(20.0)
        return [one.waited_beside_free / one.started for one in (tried, untried)]

    def test_no_request_waits_beside_a_free_upstream(self):
        # Four in ten slots in use, and each entry node hears of an upstream once in some seconds.
        tried, untried = self.find_shares(30.0, has_phases=False)
        self.assertLess(tried, 0.01)
        self.assertGreater(untried, 0.1)

    def test_hardly_any_does_where_upstreams_are_slowed_a_quarter_of_their_time(self):
        tried, untried = self.find_shares(22.0, has_phases=True)
        self.assertLess(tried, 0.03)
        self.assertGreater(untried, 0.2)

    def test_tries_are_no_storm_where_every_upstream_is_busy(self):
        # Twice and four times what the upstreams bear: one call in five tries, and some are taken.
        for per_second in (165.0, 330.0):
            crowded = Replay(8, 4, per_second, has_phases=False).play(10.0)
            self.assertLess(crowded.sent_back[NotRunReason.BUSY] / crowded.calls, 0.4)


if __name__ == "__main__":
    unittest.main()
