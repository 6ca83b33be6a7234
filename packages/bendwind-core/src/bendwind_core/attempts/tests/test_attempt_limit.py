import unittest

from bendwind_core.attempts import NotRunReason, entry
from bendwind_core.attempts import events as ev
from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.attempts.call import create_call
from bendwind_core.limits import RetryBudget
from bendwind_core.world import Instance, Rule, Service, Upstream

OWNER = Instance("o", "x", "127.0.0.1", 1, 1)


class AttemptLimitTest(unittest.TestCase):
    def start(self, attempts):
        rule = Rule("*", attempts=attempts, longest_wait_ms=1000.0)
        budget = RetryBudget(1.0, tokens=10.0)
        self.call = create_call("c", Service("s", ("*",)), rule, 1.0, AttemptIds("e", 1), budget)
        return self.send(ev.Begin())

    def send(self, event):
        def choose(excluded):
            names = [name for name in "abcdef" if name not in excluded]
            return Upstream(names[0], "s", OWNER, 1, 1)

        effects = entry.step(self.call, event, 0.0, choose)
        return [effect for effect in effects if isinstance(effect, ev.SendHandOver)]

    def test_call_runs_on_no_more_upstreams_than_its_rule_permits(self):
        (sent,) = self.start(2)
        (second,) = self.send(ev.AttemptUnknown(sent.attempt, "upstream-reset"))
        self.assertEqual(self.send(ev.AttemptUnknown(second.attempt, "upstream-reset")), [])
        self.assertTrue(self.call.is_finished)

    def test_refusals_by_upstreams_count_as_attempts_and_those_by_owners_do_not(self):
        (sent,) = self.start(1)
        (second,) = self.send(ev.AttemptNotRun(sent.attempt, NotRunReason.QUEUE_FULL))
        self.assertEqual(self.send(ev.AttemptNotRun(second.attempt, NotRunReason.SHED)), [])


if __name__ == "__main__":
    unittest.main()
