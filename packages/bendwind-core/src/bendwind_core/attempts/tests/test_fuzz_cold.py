"""Fuzz an owner against a model of its upstream: a cold one never gets more than its limit."""

import unittest

import bendwind_core.core.tests.profiles  # noqa: F401  isort:skip
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bendwind_core.admission import WarmUpLimits, WarmUpState
from bendwind_core.attempts import AttemptId, CutReason, HandOver, NotRunReason, owner
from bendwind_core.attempts import owner_events as ov
from bendwind_core.world import Repeat, UpstreamState, WarmUpRule

RULE = WarmUpRule(3.0, 4.0)
LIMITS = WarmUpLimits(1.5, 2.0)
# The required bound: requests that arrive in any span of one second while the upstream is cold.
MAX_PER_SECOND = 4.0 * 1.5 + 2.0
SLOTS = 6
entries = st.sampled_from(["e0", "e1", "e2"])
times_ms = st.sampled_from([150.0, 600.0, 3000.0])


class ColdUpstreamMachine(RuleBasedStateMachine):
    """Drive the owner of one upstream; both the node's process and the upstream may restart."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.sequences = dict.fromkeys(["e0", "e1", "e2"], 0)
        self.arrivals = []
        self.connecting = {}
        self.running = {}
        self.announced_ms = []
        self.born_at = -10.0
        self.incarnation = 0

    @initialize()
    def start_node(self):
        self.incarnation += 1
        self.connecting.clear()
        self.running.clear()
        warm_up = WarmUpState(LIMITS, RULE, assumed_cold_at=self.now, last_sent_at=self.now)
        self.owner_state = owner.create_owner_state("u", self.incarnation, 16, warm_up=warm_up)
        self.step(ov.UpstreamAnnounced(SLOTS, 50, UpstreamState.READY))

    @property
    def cold_until(self):
        return self.born_at + RULE.seconds

    def step(self, event):
        for effect in owner.step(self.owner_state, event, self.now):
            match effect:
                case ov.Dispatch(hand_over=hand_over):
                    self.connecting[hand_over.attempt] = self.now
                case ov.CancelDispatch(attempt=attempt):
                    self.cancel(attempt)

    def cancel(self, attempt):
        if self.connecting.pop(attempt, None) or self.running.pop(attempt, None):
            self.pending_events.append(ov.DispatchUnknown(attempt, CutReason.CANCELLED))

    def feed_pending_events(self):
        events, self.pending_events = self.pending_events, []
        for event in events:
            self.step(event)

    pending_events = []

    @rule(entry=entries, remaining_ms=times_ms, has_target=st.booleans(), count=st.integers(1, 9))
    def hand_over(self, entry, remaining_ms, has_target, count):
        for _ in range(count):
            self.sequences[entry] += 1
            message = HandOver(
                AttemptId(entry, 1, self.sequences[entry]),
                self.incarnation,
                "s",
                "u",
                "GET",
                b"/",
                (),
                remaining_ms,
                Repeat.IDEMPOTENT,
                1,
                route="r",
                target_ms=remaining_ms if has_target else None,
            )
            self.step(ov.HandOverArrived(message, 1))

    @rule()
    def connect(self):
        """Deliver all dispatched requests to the upstream."""
        for attempt in tuple(self.connecting):
            self.running[attempt] = self.now
            self.step(ov.DispatchSent(attempt))
            if self.now < self.cold_until:
                self.arrivals.append(self.now)
        self.connecting.clear()

    @rule(is_misdirected=st.booleans())
    def answer(self, is_misdirected):
        if not self.running:
            return
        attempt = next(iter(self.running))
        del self.running[attempt]
        if is_misdirected:
            self.step(ov.DispatchNotRun(attempt, NotRunReason.MISDIRECTED))
        else:
            self.step(ov.DispatchHead(attempt, 200, 20.0))
            self.step(ov.DispatchDone(attempt))

    @rule(entry=entries, does_connect=st.booleans())
    def send_overload(self, entry, does_connect):
        """Hand over far more requests than the limit, to an upstream that answers at once."""
        for _ in range(3):
            self.hand_over(entry, 3000.0, False, 9)
            if not does_connect:
                return
            self.connect()
            while self.running:
                self.answer(False)

    @rule(gap=st.sampled_from([0.01, 0.05, 0.1, 0.3, 0.9, 1.0, 2.5]))
    def pass_time(self, gap):
        until = self.now + gap
        while True:
            # A dispatch waits at most one second for a connection.
            dues = [at + 1.0 for at in self.connecting.values()]
            due = owner.next_due(self.owner_state, self.now)
            soonest = min([until, *dues, *([] if due is None else [max(due, self.now)])])
            if soonest >= until:
                break
            assert soonest > self.now or dues, "the owner requests ticks without end"
            self.now = soonest
            if any(at + 1.0 <= self.now for at in self.connecting.values()):
                self.connect()
            self.step(ov.Tick())
        self.now = until
        self.step(ov.Tick())

    @rule()
    def restart_upstream(self):
        """Restart the upstream; some time may pass until it reports that it is cold."""
        if self.now - self.born_at < 1.0:
            return
        self.born_at = self.now
        self.connecting.clear()
        self.running.clear()
        self.pending_events = []
        for attempt in list(self.owner_state.running):
            self.pending_events.append(ov.DispatchUnknown(attempt, CutReason.UPSTREAM_RESET))
        self.feed_pending_events()
        self.pending_events = []
        self.step(ov.UpstreamRestarted())
        self.feed_pending_events()

    @rule()
    def become_cold_during_an_evacuation(self):
        self.step(ov.UpstreamAnnounced(SLOTS, 50, UpstreamState.DRAINING))
        self.step(ov.QueueWithdrawn())
        assert not self.owner_state.waiting
        self.connect()
        queried_at = self.now
        self.now += 0.01
        self.born_at = self.now
        self.step(ov.UpstreamAnnounced(SLOTS, 50, UpstreamState.READY))
        self.step(ov.UpstreamAssumedCold())
        # The upstream was queried before it became cold.
        self.step(ov.WarmUpReported(0.0, queried_at))

    @rule()
    def announce(self):
        remaining_ms = max(0.0, self.cold_until - self.now) * 1000
        self.announced_ms.append(remaining_ms)
        self.step(ov.WarmUpReported(remaining_ms))

    @rule()
    def announce_late(self):
        if self.announced_ms:
            self.step(ov.WarmUpReported(min(self.announced_ms)))

    @rule()
    def query(self):
        remaining_ms = max(0.0, self.cold_until - self.now) * 1000
        self.step(ov.WarmUpReported(remaining_ms, queried_at=self.now))

    @rule()
    def restart_node(self):
        self.connect()
        self.start_node()

    @invariant()
    def cold_upstream_gets_no_more_than_its_limit(self):
        for first in self.arrivals:
            span = [at for at in self.arrivals if first <= at <= first + 1.0]
            assert len(span) <= MAX_PER_SECOND, span


TestColdUpstream = ColdUpstreamMachine.TestCase

if __name__ == "__main__":
    unittest.main()
