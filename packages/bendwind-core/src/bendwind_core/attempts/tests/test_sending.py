"""Check when a stalled upstream has to accept an attempt, and the retry times after refusals."""

import types
import unittest

from bendwind_core.attempts import entry, no_wait, owner
from bendwind_core.attempts import events as ev
from bendwind_core.attempts import owner_events as ov
from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.attempts.call import create_call
from bendwind_core.attempts.messages import AttemptId, HandOver, NotRunReason
from bendwind_core.attempts.retry_after import (
    MAX_RETRY_AFTER_MS,
    MIN_RETRY_AFTER_MS,
    estimate_retry_after_ms,
)
from bendwind_core.limits import RetryBudget
from bendwind_core.world import (
    Instance,
    LoadSample,
    Policy,
    Repeat,
    Rule,
    Service,
    Upstream,
    UpstreamState,
)


def create_upstreams(count):
    node = Instance("o", "dc", "h", 1, 1)
    return [Upstream(f"u{index}", "s", node, 4, 4) for index in range(count)]


class TestSending(unittest.TestCase):
    def send_and_refuse(self, count, policy, reasons, waits=types.MappingProxyType({})):
        self.may_wait = []
        upstreams = create_upstreams(count)

        def choose(excluded):
            return next((u for u in upstreams if u.name not in excluded), None)

        service = Service("s", ("*",), policy=policy)
        rule = Rule("*", repeat=Repeat.NEVER)
        call = create_call("c", service, rule, 1.0, AttemptIds("e", 1), RetryBudget(0.1))
        effects = entry.step(call, ev.Begin(), 0.0, choose)
        sent = []
        for reason in [*reasons, None]:
            last = effects[-1]
            if not isinstance(last, ev.SendHandOver):
                return sent, last
            sent.append((last.upstream.name, last.accept_if_slow))
            self.may_wait.append(last.may_wait)
            if reason is not None:
                load = LoadSample(2, 0, 3, wait_ms=waits.get(last.upstream.name, 0.0))
                not_run = ev.AttemptNotRun(last.attempt, reason, load)
                effects = entry.step(call, not_run, 0.0, choose)
        return sent, None

    def test_fourth_attempt_and_second_at_one_upstream_are_accepted_if_slow(self):
        stalled = [NotRunReason.STALLED] * 3
        sent, _ = self.send_and_refuse(5, Policy.SCORE, stalled)
        self.assertEqual(sent, [("u0", False), ("u1", False), ("u2", False), ("u3", True)])
        sent, _ = self.send_and_refuse(1, Policy.SCORE, stalled[:1])
        self.assertEqual(sent, [("u0", False), ("u0", True)])

    def test_busy_upstreams_are_tried_in_turn_and_then_the_one_free_first(self):
        waits = {f"u{number}": 100.0 - 10.0 * (number == 3) for number in range(9)}
        busy = [NotRunReason.BUSY] * no_wait.MAX_NO_WAIT_ATTEMPTS
        sent, _ = self.send_and_refuse(9, Policy.SCORE, busy, waits)
        names = [f"u{number}" for number in range(no_wait.MAX_NO_WAIT_ATTEMPTS)]
        self.assertEqual([name for name, _ in sent], [*names, "u3"])
        self.assertEqual(self.may_wait, [False] * no_wait.MAX_NO_WAIT_ATTEMPTS + [True])

    def test_with_few_upstreams_the_one_free_first_is_used_after_all_were_busy(self):
        sent, _ = self.send_and_refuse(
            2, Policy.SCORE, [NotRunReason.BUSY] * 2, {"u0": 90.0, "u1": 20.0}
        )
        self.assertEqual([name for name, _ in sent], ["u0", "u1", "u1"])
        self.assertEqual(self.may_wait, [False, False, True])

    def test_upstream_whose_rate_limit_leaves_no_turn_in_time_is_not_asked_again(self):
        sent, final = self.send_and_refuse(1, Policy.SCORE, [NotRunReason.LIMITED])
        self.assertEqual(len(sent), 1)
        self.assertIs(final.reason, NotRunReason.LIMITED)
        sent, _ = self.send_and_refuse(2, Policy.SCORE, [NotRunReason.LIMITED] * 2, {"u0": 90.0})
        self.assertEqual([name for name, _ in sent], ["u0", "u1", "u1"])

    def test_request_may_wait_with_a_single_upstream_or_another_policy(self):
        self.send_and_refuse(1, Policy.SCORE, [])
        self.assertEqual(self.may_wait, [True])
        self.send_and_refuse(3, Policy.LEAST_IN_FLIGHT, [])
        self.assertEqual(self.may_wait, [True])

    def test_call_whose_first_attempt_was_refused_is_hedged(self):
        upstreams = create_upstreams(3)

        def choose(excluded):
            return next((u for u in upstreams if u.name not in excluded), None)

        service = Service("s", ("*",), policy=Policy.SCORE, hedge_after_ms=10.0)
        budget = RetryBudget(0.1, tokens=1.0)
        rule = Rule("*", repeat=Repeat.IDEMPOTENT)
        call = create_call("c", service, rule, 1.0, AttemptIds("e", 1), budget)
        first = entry.step(call, ev.Begin(), 0.0, choose)[1]
        entry.step(call, ev.AttemptNotRun(first.attempt, NotRunReason.BUSY), 0.0, choose)
        [hedge] = entry.step(call, ev.TimerFired(ev.TimerKind.HEDGE), 0.01, choose)
        self.assertEqual(hedge.upstream.name, "u2")

    def test_baseline_policies_always_accept_if_slow(self):
        for policy in set(Policy) - {Policy.SCORE}:
            self.assertEqual(self.send_and_refuse(1, policy, [])[0], [("u0", True)])

    def test_call_refused_by_a_draining_upstream_returns_to_a_stalled_one(self):
        reasons = [NotRunReason.STALLED, NotRunReason.DRAINING]
        sent, _ = self.send_and_refuse(2, Policy.SCORE, reasons)
        self.assertEqual(sent, [("u0", False), ("u1", False), ("u0", True)])

    def test_call_refused_by_full_upstreams_ends_at_once_with_a_retry_time(self):
        sent, final = self.send_and_refuse(2, Policy.SCORE, [NotRunReason.QUEUE_FULL] * 2)
        self.assertEqual(len(sent), 2)
        self.assertEqual(final, ev.FinishNotRun(NotRunReason.QUEUE_FULL, MIN_RETRY_AFTER_MS))


class TestStall(unittest.TestCase):
    def test_owner_refuses_while_its_upstream_completes_nothing(self):
        owner_state = owner.create_owner_state("u", 1, 4)
        owner.step(owner_state, ov.UpstreamAnnounced(4, 4, UpstreamState.READY), 0.0)
        self.hand_over(owner_state, 1, 0.0)
        owner.step(owner_state, ov.DispatchHead(AttemptId("e", 1, 1), 200, 10.0), 0.010)
        owner.step(owner_state, ov.DispatchDone(AttemptId("e", 1, 1)), 0.010)
        for sequence in (2, 3, 4):
            self.assertIsInstance(self.hand_over(owner_state, sequence, 0.010), ov.Dispatch)
        self.assertIsInstance(self.hand_over(owner_state, 5, 0.021), ov.ReplyNotRun)
        owner.step(owner_state, ov.DispatchDone(AttemptId("e", 1, 2)), 0.022)
        self.assertIsInstance(self.hand_over(owner_state, 6, 0.022), ov.Dispatch)

    def hand_over(self, owner_state, sequence, now):
        attempt = AttemptId("e", 1, sequence)
        parts = (attempt, 1, "s", "u", "GET", b"/", (), 1000.0, Repeat.NEVER, 1)
        message = HandOver(*parts, accept_if_slow=False)
        return owner.step(owner_state, ov.HandOverArrived(message, 1), now)[0]


class TestRetryAfter(unittest.TestCase):
    def test_busy_owner_gives_its_wait_within_the_bounds(self):
        times = [
            estimate_retry_after_ms(NotRunReason.BUSY, LoadSample(2, 0, 3, wait_ms=wait_ms))
            for wait_ms in (0.0, 300.0)
        ]
        self.assertEqual(times, [MIN_RETRY_AFTER_MS, 300.0])

    def test_retry_time_grows_with_the_backlog_within_its_bounds(self):
        times = [
            estimate_retry_after_ms(NotRunReason.SHED, LoadSample(4, queued, 4, latency_ms=100.0))
            for queued in (0, 16, 4000)
        ]
        self.assertEqual(times, [100.0, 500.0, MAX_RETRY_AFTER_MS])


if __name__ == "__main__":
    unittest.main()
