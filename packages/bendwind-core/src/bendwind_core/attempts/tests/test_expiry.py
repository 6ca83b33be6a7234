"""Check what is sent of a call that may not be repeated after its expiry time."""

import unittest

from bendwind_core.attempts import entry
from bendwind_core.attempts import events as ev
from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.attempts.call import create_call
from bendwind_core.attempts.messages import FenceVerdict, NotRunReason
from bendwind_core.limits import RetryBudget
from bendwind_core.world import Instance, Repeat, Rule, Service, Upstream

OWNER = Instance("o", "x", "127.0.0.1", 1, 1)
UPSTREAMS = [Upstream(f"u{index}", "s", OWNER, 4, 4) for index in range(3)]
DEADLINE = 1.0
EXPIRY = DEADLINE - 0.020
LATE = EXPIRY + 0.005


class TestExpiry(unittest.TestCase):
    def begin(self, *, repeat=Repeat.NEVER, has_key=False):
        rule = Rule("*", repeat=repeat)
        service = Service("s", ("*",))
        budget = RetryBudget(0.1, tokens=5.0)
        ids = AttemptIds("e", 1)
        self.call = create_call("c", service, rule, DEADLINE, ids, budget, has_key=has_key)
        return self.step(ev.Begin(), 0.0)

    def step(self, event, now):
        def choose(excluded):
            return next((one for one in UPSTREAMS if one.name not in excluded), None)

        return entry.step(self.call, event, now, choose)

    def send_and_expire(self):
        timer, sent = self.begin()
        self.assertEqual(timer, ev.StartTimer(ev.TimerKind.EXPIRY, EXPIRY))
        fenced = self.step(ev.TimerFired(ev.TimerKind.EXPIRY), EXPIRY)
        self.assertIn(ev.SendFence(sent.attempt, sent.upstream), fenced)
        return sent.attempt

    def check_finished_as_not_run(self, effects, reason):
        [final] = effects
        self.assertIsInstance(final, ev.FinishNotRun)
        self.assertEqual(final.reason, reason)

    def test_attempt_fenced_in_time_ends_as_not_run_and_is_not_retried(self):
        attempt = self.send_and_expire()
        effects = self.step(ev.FenceAnswered(attempt, FenceVerdict.NEVER_STARTED), LATE)
        self.check_finished_as_not_run(effects, NotRunReason.FENCED)

    def test_attempt_refused_after_expiry_ends_as_not_run_and_is_not_retried(self):
        for reason in sorted(entry.BUDGET_EXEMPT_REFUSALS):
            attempt = self.send_and_expire()
            effects = self.step(ev.AttemptNotRun(attempt, reason), LATE)
            self.check_finished_as_not_run(effects, reason)

    def test_lost_attempt_with_a_proof_after_expiry_is_not_retried(self):
        _, sent = self.begin()
        self.step(ev.OwnerLinkLost(sent.attempt), EXPIRY - 0.1)
        self.step(ev.TimerFired(ev.TimerKind.EXPIRY), EXPIRY)
        proof = ev.FenceAnswered(sent.attempt, FenceVerdict.NEVER_STARTED)
        self.check_finished_as_not_run(self.step(proof, LATE), NotRunReason.FENCED)

    def test_refusal_after_expiry_but_before_the_late_timer_is_not_retried(self):
        _, sent = self.begin()
        effects = self.step(ev.AttemptNotRun(sent.attempt, NotRunReason.BUSY), LATE)
        self.check_finished_as_not_run(effects, NotRunReason.BUSY)

    def test_claim_granted_after_expiry_is_released_and_nothing_is_sent(self):
        self.begin(has_key=True)
        self.step(ev.TimerFired(ev.TimerKind.EXPIRY), EXPIRY)
        released, *rest = self.step(ev.ClaimGranted(), LATE)
        self.assertEqual(released, ev.ReleaseClaim())
        self.check_finished_as_not_run(rest, NotRunReason.DEADLINE)

    def test_attempt_refused_before_expiry_is_retried(self):
        _, sent = self.begin()
        again = self.step(ev.AttemptNotRun(sent.attempt, NotRunReason.BUSY), EXPIRY - 0.001)
        self.assertIsInstance(again[-1], ev.SendHandOver)

    def test_idempotent_call_is_retried_until_its_deadline(self):
        _, sent = self.begin(repeat=Repeat.IDEMPOTENT)
        again = self.step(ev.AttemptNotRun(sent.attempt, NotRunReason.BUSY), LATE)
        self.assertIsInstance(again[-1], ev.SendHandOver)


if __name__ == "__main__":
    unittest.main()
