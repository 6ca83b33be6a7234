"""Check the decisions on one call against a record of what its attempts really did."""

import unittest

import bendwind_core.core.tests.profiles  # noqa: F401  isort:skip
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from bendwind_core.attempts import entry, no_wait, sending
from bendwind_core.attempts import events as ev
from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.attempts.call import AttemptState, CallPhase, create_call
from bendwind_core.attempts.messages import AttemptId, CutReason, FenceVerdict, NotRunReason
from bendwind_core.attempts.retry_after import NoCapacity
from bendwind_core.limits import RetryBudget
from bendwind_core.world import Instance, Repeat, Rule, Service, Upstream

UPSTREAMS = [Upstream(f"u{i}", "s", Instance("o", "dc", "h", 1, 1), 1, 1) for i in range(3)]
DEADLINE = 1.0
EXEMPT = sorted(entry.BUDGET_EXEMPT_REFUSALS)
pick = st.integers(0, 7)
skips = st.sampled_from([-1, 0, 0, 0, 1])

# An owner refuses a no-wait attempt for these reasons: its upstream's slots or limit are used up.
NO_WAIT_REFUSALS = (NotRunReason.BUSY, NotRunReason.LIMITED)


class CallMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.reset()

    def reset(self):
        self.now = 0.0
        self.sent = {}
        self.ran = set()
        self.proven = set()
        self.cancelled = set()
        self.timers = {}
        self.expires_at = DEADLINE
        self.heads = {}
        self.has_ended_starts = False
        self.finals = []
        self.delivered = []
        self.claims = []

    @initialize(
        repeat=st.sampled_from(Repeat),
        tokens=st.sampled_from([0.0, 1.0, 1.0, 3.0]),
        hedge=st.sampled_from([None, 10.0, 10.0]),
        has_key=st.booleans(),
    )
    def begin(self, repeat, tokens, hedge, has_key):
        self.reset()
        self.tokens = tokens
        self.budget = RetryBudget(0.0, tokens=tokens)
        service = Service("s", ("*",), hedge_after_ms=hedge)
        ids = AttemptIds("e", 1)
        rule_of_call = Rule("*", repeat=repeat)
        self.call = create_call(
            "c", service, rule_of_call, DEADLINE, ids, self.budget, has_key=has_key
        )
        self.step(ev.Begin())

    @precondition(lambda self: self.finals)
    @rule(
        repeat=st.sampled_from(Repeat),
        tokens=st.sampled_from([0.0, 1.0, 1.0, 3.0]),
        hedge=st.sampled_from([None, 10.0, 10.0]),
        has_key=st.booleans(),
    )
    def begin_next(self, repeat, tokens, hedge, has_key):
        self.begin(repeat, tokens, hedge, has_key)

    def choose(self, excluded):
        if self.has_ended_starts:
            return NoCapacity(1.0, NotRunReason.DRAINING)
        return next((u for u in UPSTREAMS if u.name not in excluded), None)

    def step(self, event):
        for effect in entry.step(self.call, event, self.now, self.choose):
            assert not self.finals or isinstance(
                effect, ev.ReleaseClaim
            ), "effect after the final outcome"
            self.apply_effect(effect)

    def apply_effect(self, effect):
        match effect:
            case ev.SendHandOver(attempt, upstream, remaining_ms):
                assert 0 < remaining_ms <= (DEADLINE - self.now) * 1000
                assert "requested" not in self.claims or self.claims[-1] == "granted"
                self.check_may_send(upstream)
                self.sent[attempt] = upstream
            case ev.SendCancel(attempt):
                self.cancelled.add(attempt)
            case ev.StartTimer(kind, at):
                assert at <= DEADLINE
                self.timers[kind] = at
                if kind is ev.TimerKind.EXPIRY:
                    self.expires_at = at
            case ev.RequestClaim():
                self.claims.append("requested")
            case ev.ReleaseClaim():
                assert not self.ran, "released the claim of a call that ran"
                self.claims.append("released")
            case ev.RecordClaim(outcome):
                self.claims.append(outcome)
            case ev.DeliverHead(attempt) | ev.DeliverPart(attempt):
                self.delivered.append(attempt)
            case _ if isinstance(effect, ev.FINAL_EFFECTS):
                self.finals.append(effect)

    def check_may_send(self, upstream):
        assert not self.has_ended_starts, "sent by a process that stops"
        unproven = set(self.sent) - self.proven
        if not self.call.is_idempotent:
            assert not unproven, "repeated without a proof"
            assert (
                self.now < self.expires_at
            ), "sent after the expiry time, at which open attempts are fenced"
        upstreams_used = {u.name for u in self.sent.values()}
        assert upstream.name not in upstreams_used or len(upstreams_used) == len(UPSTREAMS)
        assert len(unproven) <= self.tokens, "retried beyond the budget"
        refused = [a for a in self.call.attempts if a.not_run in NO_WAIT_REFUSALS]
        no_wait_count = sum(not attempt.may_wait for attempt in refused)
        assert no_wait_count <= no_wait.MAX_NO_WAIT_ATTEMPTS
        assert len(self.sent) - no_wait_count < sending.MAX_ATTEMPTS

    def _pick(self, pick):
        open_states = (AttemptState.OUTSTANDING, AttemptState.LOST, AttemptState.WON)
        open_attempts = [
            attempt.id for attempt in self.call.attempts if attempt.state in open_states
        ]
        # Sometimes an event reports on an attempt that is settled already.
        choices = list(self.sent) if pick % 4 == 3 or not open_attempts else open_attempts
        return choices[pick % len(choices)]

    def _has_sent(self):
        return bool(self.sent)

    @precondition(lambda self: self.call.phase is CallPhase.CLAIMING)
    @rule(kind=st.sampled_from(["granted"] * 6 + ["refused", "reused", "held", "recorded"]))
    def answer_claim(self, kind):
        match kind:
            case "granted":
                self.claims.append("granted")
                self.step(ev.ClaimGranted())
            case "refused":
                self.step(ev.ClaimRefused(ev.ClaimRefusal.UNAVAILABLE))
            case "reused":
                self.step(ev.ClaimRefused(ev.ClaimRefusal.KEY_REUSED))
            case _:
                self.step(ev.ClaimHeldByOther(kind == "recorded"))

    @precondition(_has_sent)
    @rule(pick=pick, reason=st.sampled_from(EXEMPT * 2 + sorted(NotRunReason)))
    def not_run(self, pick, reason):
        attempt = self._pick(pick)
        if attempt in self.ran:
            return
        self.proven.add(attempt)
        self.step(ev.AttemptNotRun(attempt, reason))

    @precondition(_has_sent)
    @rule(
        pick=pick,
        status=st.sampled_from([200, 404, 503]),
        is_complete=st.booleans(),
        parts=st.lists(st.tuples(skips, st.booleans()), max_size=3),
    )
    def head(self, pick, status, is_complete, parts):
        attempt = self._pick(pick)
        if attempt in self.proven or attempt in self.heads:
            return
        self.ran.add(attempt)
        self.heads[attempt] = is_complete
        self.step(ev.AttemptHead(attempt, status, is_complete))
        for skip, more in parts:
            self.report_part(attempt, skip, more)

    @precondition(lambda self: not all(self.heads.values()))
    @rule(pick=pick, skip=skips, more=st.booleans())
    def part(self, pick, skip, more):
        self.report_part(self._pick(pick), skip, more)

    def report_part(self, attempt, skip, more):
        if self.heads.get(attempt, True):
            return
        count = self.delivered.count(attempt)
        self.step(ev.AttemptBodyPart(attempt, max(count, 1) + skip, more))
        delivered = self.delivered.count(attempt) - count
        assert delivered <= (skip == 0), "a part was delivered out of its order"
        self.heads[attempt] = not more

    @precondition(_has_sent)
    @rule(pick=pick, is_run=st.booleans())
    def unknown(self, pick, is_run):
        attempt = self._pick(pick)
        if attempt in self.proven:
            return
        self.ran.add(attempt)
        self.step(ev.AttemptUnknown(attempt, CutReason.UPSTREAM_RESET))

    @precondition(_has_sent)
    @rule(pick=pick, kind=st.sampled_from(["lost", "lost", "true", "true", "forgotten", "failed"]))
    def break_link_or_answer_fence(self, pick, kind):
        attempt = self._pick(pick)
        match kind:
            case "lost":
                self.step(ev.OwnerLinkLost(attempt))
            case "true" if attempt in self.ran:
                self.step(ev.FenceAnswered(attempt, FenceVerdict.STARTED))
            case "true":
                self.proven.add(attempt)
                self.step(ev.FenceAnswered(attempt, FenceVerdict.NEVER_STARTED))
            case "forgotten":
                self.step(ev.FenceAnswered(attempt, FenceVerdict.FORGOTTEN))
            case "failed":
                self.step(ev.FenceFailed(attempt))

    @rule()
    def end_starts(self):
        self.has_ended_starts = True
        self.step(ev.StartsEnded())

    @rule(is_gone=st.sampled_from([False] * 5 + [True]))
    def disturb(self, is_gone):
        if is_gone:
            self.step(ev.CallerGone())
            return
        unknown_attempt = AttemptId("e", 1, 99)
        self.step(ev.AttemptHead(unknown_attempt, 200, True))
        self.step(ev.AttemptNotRun(unknown_attempt, NotRunReason.SHED))
        self.step(ev.AttemptUnknown(unknown_attempt, CutReason.BODY_CUT))

    @precondition(lambda self: self.timers)
    @rule()
    def fire_timer(self):
        self.now = max(self.now, min(self.timers.values()))
        while due := [kind for kind, at in self.timers.items() if at <= self.now]:
            del self.timers[due[0]]
            self.step(ev.TimerFired(due[0]))

    @invariant()
    def outcome_is_single_and_true(self):
        if not hasattr(self, "call"):
            return
        assert len(self.finals) <= 1
        assert len(set(self.delivered)) <= 1, "two attempts were delivered"
        assert self.finals or self.now < DEADLINE, "no outcome by the deadline"
        if self.call.phase is CallPhase.TRYING:
            pending = (AttemptState.OUTSTANDING, AttemptState.LOST)
            has_pending = any(attempt.state in pending for attempt in self.call.attempts)
            assert has_pending, "no outcome although no attempt is pending"
        match self.finals:
            case [ev.FinishNotRun(_, retry_after_ms)]:
                assert not set(self.sent) - self.proven, "ended as not-run without a proof"
                assert retry_after_ms > 0
            case [ev.FinishDelivered(attempt)]:
                assert self.heads[attempt] and attempt == self.delivered[-1]
            case [ev.FinishUnknown()]:
                assert not self.delivered
        self.check_other_attempts()
        self.check_claim()

    def check_other_attempts(self):
        if not self.finals:
            return
        for attempt in self.call.attempts:
            is_settled = attempt.id in self.proven | self.ran
            is_link_up = attempt.state is not AttemptState.UNKNOWN
            if attempt.state is AttemptState.CANCELLED or (is_link_up and not is_settled):
                assert (
                    attempt.id in self.cancelled
                ), "an attempt whose answer is not needed was left running"

    def check_claim(self):
        if "granted" in self.claims and self.finals:
            assert self.claims[-1] != "granted", "a claim was left without an outcome"


TestCall = CallMachine.TestCase
TestCall.settings = settings(max_examples=max(600, settings().max_examples))

if __name__ == "__main__":
    unittest.main()
