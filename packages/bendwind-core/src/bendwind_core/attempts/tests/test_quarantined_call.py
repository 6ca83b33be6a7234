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
    """Drive one call whose owners answer as a test says."""

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

    def quarantine(self):
        return self.step(ev.AttemptNotRun(self.attempt, NotRunReason.QUARANTINED, None, WAIT_MS))

    def reset(self):
        return self.step(ev.AttemptUnknown(self.attempt, CutReason.UPSTREAM_RESET))

    def test_refusal_is_told_at_once_with_the_time_to_come_back(self):
        for repeat in Repeat:
            self.begin(repeat)
            self.assertEqual(
                self.quarantine(), [ev.FinishNotRun(NotRunReason.QUARANTINED, WAIT_MS)]
            )
            self.assertEqual(len(self.call.attempts), 1)

    def test_call_that_ran_before_it_was_refused_is_unknown(self):
        self.begin(Repeat.IDEMPOTENT)
        self.reset()
        self.assertEqual(len(self.call.attempts), 2)
        self.assertEqual(self.quarantine(), [ev.FinishUnknown(CutReason.UPSTREAM_RESET)])

    def test_call_not_to_be_repeated_runs_once_however_its_upstream_ended(self):
        self.begin(Repeat.NEVER)
        self.assertEqual(self.reset(), [ev.FinishUnknown(CutReason.UPSTREAM_RESET)])
        self.assertEqual(len(self.call.attempts), 1)

    def test_key_of_a_refused_call_is_given_back_and_that_of_one_that_ran_is_kept(self):
        self.begin(Repeat.NEVER, has_key=True)
        self.assertIn(ev.ReleaseClaim(), self.quarantine())
        self.begin(Repeat.NEVER, has_key=True)
        self.assertIn(ev.RecordClaim(ev.ClaimOutcome.UNKNOWN), self.reset())

    def test_call_that_was_kept_apart_is_tried_elsewhere_for_nothing(self):
        self.begin(Repeat.NEVER)
        effects = self.step(ev.AttemptNotRun(self.attempt, NotRunReason.KEPT_APART))
        self.assertIsInstance(effects[0], ev.SendHandOver)
        self.assertEqual(effects[0].upstream.name, "b")


if __name__ == "__main__":
    unittest.main()
