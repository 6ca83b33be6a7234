import unittest

from bendwind_core.attempts import CutReason, NotRunReason, entry
from bendwind_core.attempts import events as ev
from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.attempts.call import create_call
from bendwind_core.limits import RetryBudget
from bendwind_core.world import Instance, Repeat, Rule, Service, Upstream

WAIT_MS = 40_000.0
UPSTREAMS = [Upstream(name, "s", Instance(f"o-{name}", "dc", "", 1, 1), 4, 4) for name in "abcd"]


class QuarantinedCallTest(unittest.TestCase):
    """Check a call whose request an owner refuses as quarantined, or whose upstream resets."""

    def begin(self, repeat, *, has_key=False):
        rule = Rule("*", repeat=repeat)
        ids, budget = AttemptIds("e", 1), RetryBudget(1.0, 10.0)
        self.call = create_call("c", Service("s", ("*",)), rule, 9.0, ids, budget, has_key=has_key)
        effects = self.step(ev.Begin())
        return effects + (self.step(ev.ClaimGranted()) if has_key else [])

    def step(self, event):
        return entry.step(self.call, event, 0.0, self.choose)

    def choose(self, excluded):
        return next((one for one in UPSTREAMS if one.name not in excluded), None)

    @property
    def attempt(self):
        return self.call.attempts[-1].id

    def refuse_as_quarantined(self):
        return self.step(ev.AttemptNotRun(self.attempt, NotRunReason.QUARANTINED, None, WAIT_MS))

    def reset_by_upstream(self):
        return self.step(ev.AttemptUnknown(self.attempt, CutReason.UPSTREAM_RESET))

    def test_refusal_ends_the_call_at_once_with_the_retry_time(self):
        for repeat in Repeat:
            self.begin(repeat)
            self.assertEqual(
                self.refuse_as_quarantined(), [ev.FinishNotRun(NotRunReason.QUARANTINED, WAIT_MS)]
            )
            self.assertEqual(len(self.call.attempts), 1)

    def test_call_that_ran_before_it_was_refused_ends_as_unknown(self):
        self.begin(Repeat.IDEMPOTENT)
        self.reset_by_upstream()
        self.assertEqual(len(self.call.attempts), 2)
        self.assertEqual(self.refuse_as_quarantined(), [ev.FinishUnknown(CutReason.UPSTREAM_RESET)])

    def test_call_that_may_not_be_repeated_runs_once_if_its_upstream_resets(self):
        self.begin(Repeat.NEVER)
        self.assertEqual(self.reset_by_upstream(), [ev.FinishUnknown(CutReason.UPSTREAM_RESET)])
        self.assertEqual(len(self.call.attempts), 1)

    def test_claim_of_a_refused_call_is_released_and_that_of_one_that_ran_is_kept(self):
        self.begin(Repeat.NEVER, has_key=True)
        self.assertIn(ev.ReleaseClaim(), self.refuse_as_quarantined())
        self.begin(Repeat.NEVER, has_key=True)
        self.assertIn(ev.RecordClaim(ev.ClaimOutcome.UNKNOWN), self.reset_by_upstream())

    def test_call_refused_as_kept_apart_is_retried_elsewhere_for_free(self):
        self.begin(Repeat.NEVER)
        effects = self.step(ev.AttemptNotRun(self.attempt, NotRunReason.KEPT_APART))
        self.assertIsInstance(effects[0], ev.SendHandOver)
        self.assertEqual(effects[0].upstream.name, "b")


if __name__ == "__main__":
    unittest.main()
