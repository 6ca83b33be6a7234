"""Test which attempts an owner refuses, holds and starts by their latency objectives."""

import unittest

from bendwind_core.admission import record_origin
from bendwind_core.admission.origins import HALVING_COUNT
from bendwind_core.attempts import AttemptId, HandOver, NotRunReason, owner
from bendwind_core.attempts import owner_events as ov
from bendwind_core.attempts.pace import DEFAULT_PHASE_LENGTH
from bendwind_core.world import Repeat, UpstreamState


class AdmissionTest(unittest.TestCase):
    """Drive one owner whose upstream has two slots and takes 100 ms for each request of `slow`."""

    def setUp(self):
        self.now = 0.0
        self.sequence = 0
        self.owner_state = owner.create_owner_state("u", 1, 16)
        self.step(ov.UpstreamAnnounced(2, 2, UpstreamState.READY))
        for route, upstream_ms in (("slow", 100.0), ("quick", 10.0)):
            for _ in range(5):
                attempt = self.hand_over(route)[0].hand_over.attempt
                self.step(ov.DispatchHead(attempt, 200, upstream_ms))
                self.step(ov.DispatchDone(attempt))

    def step(self, event):
        return owner.step(self.owner_state, event, self.now)

    def hand_over(self, route="slow", target_ms=1000.0, remaining_ms=1000.0, accept_if_slow=True):
        self.sequence += 1
        attempt = AttemptId("e", 1, self.sequence)
        parts = (attempt, 1, "s", "u", "GET", b"/", (), remaining_ms, Repeat.IDEMPOTENT, 1)
        message = HandOver(*parts, accept_if_slow=accept_if_slow, route=route, target_ms=target_ms)
        return self.step(ov.HandOverArrived(message, 1))

    def fill_slots(self):
        return [self.hand_over()[0].hand_over.attempt for _ in range(2)]

    def find_reason(self, effects):
        return effects[0].reason if isinstance(effects[0], ov.ReplyNotRun) else None

    def test_attempt_that_cannot_be_in_time_is_refused_on_arrival(self):
        self.fill_slots()
        refused = self.hand_over(target_ms=150.0, remaining_ms=150.0)
        self.assertIs(self.find_reason(refused), NotRunReason.QUEUE_FULL)
        self.assertEqual(self.hand_over(target_ms=400.0), [])

    def test_route_without_an_answer_yet_is_expected_to_take_a_share_of_its_objective(self):
        # Without this estimate, an upstream that has just started would accept every attempt and
        # answer most of them late.
        self.owner_state = owner.create_owner_state("u", 1, 16)
        self.step(ov.UpstreamAnnounced(2, 2, UpstreamState.READY))
        results = [self.hand_over("new", 300.0, 300.0) for _ in range(12)]
        refused = [effects for effects in results if effects and self.find_reason(effects)]
        self.assertEqual(len(refused), 7)

    def run_attempts(self, factor, upstream_ms, times, report_age=0.0):
        for _ in range(times):
            self.step(ov.LoadReported(factor))
            self.now += report_age
            effects = self.hand_over(target_ms=4000.0, remaining_ms=4000.0)
            while not (started := [one for one in effects if isinstance(one, ov.Dispatch)]):
                self.now = owner.next_due(self.owner_state, self.now)
                effects = self.step(ov.Tick())
            attempt = started[0].hand_over.attempt
            self.step(ov.DispatchHead(attempt, 200, upstream_ms))
            self.step(ov.DispatchDone(attempt))

    def test_usual_time_of_a_route_is_learnt_at_the_usual_pace(self):
        # If runs that begin in a slow phase counted as usual ones, upstreams would refuse attempts
        # for seconds although they have free slots.
        self.run_attempts(4.0, 400.0, 20)
        self.assertAlmostEqual(self.owner_state.route_times["slow"], 100.0, delta=1.0)

    def test_unnoticed_slow_phase_does_not_lengthen_the_usual_time(self):
        self.run_attempts(1.0, 400.0, 2, report_age=1.0)
        self.assertLess(self.owner_state.route_times["slow"], 110.0)

    def test_usual_time_follows_a_route_that_becomes_slower(self):
        self.run_attempts(1.0, 300.0, 40)
        self.assertGreater(self.owner_state.route_times["slow"], 250.0)

    def test_attempt_that_is_due_first_starts_first(self):
        first = self.fill_slots()[0]
        self.hand_over(target_ms=900.0)
        self.hand_over("quick", target_ms=300.0)
        started = self.step(ov.DispatchDone(first))
        self.assertEqual(started[0].hand_over.route, "quick")

    def test_late_attempt_uses_a_free_slot_unless_it_can_go_elsewhere(self):
        self.assertIs(
            self.find_reason(self.hand_over(target_ms=50.0, accept_if_slow=False)),
            NotRunReason.STALLED,
        )
        self.assertIsInstance(self.hand_over(target_ms=50.0)[0], ov.Dispatch)

    def test_slow_upstream_is_avoided_until_its_phase_should_have_ended(self):
        self.step(ov.LoadReported(4.0))
        reroutable = {"target_ms": 150.0, "accept_if_slow": False}
        self.assertIs(self.find_reason(self.hand_over(**reroutable)), NotRunReason.STALLED)
        self.now += DEFAULT_PHASE_LENGTH
        self.assertEqual(self.hand_over(**reroutable), [ov.QueryLoad()])
        started = self.step(ov.LoadReported(1.0))
        self.assertIsInstance(started[0], ov.Dispatch)

    def test_long_request_waits_for_the_end_of_a_slow_phase_and_a_short_one_starts(self):
        self.step(ov.LoadReported(4.0))
        self.now += 0.1
        self.assertEqual(self.hand_over(target_ms=350.0), [])
        self.assertIsInstance(self.hand_over("quick", target_ms=350.0)[0], ov.Dispatch)
        self.now = owner.next_due(self.owner_state, self.now)
        self.assertEqual(self.step(ov.Tick()), [ov.QueryLoad()])
        started = self.step(ov.LoadReported(1.0))
        self.assertEqual(started[0].hand_over.route, "slow")

    def test_waiting_request_goes_elsewhere_when_another_slow_phase_follows(self):
        # The request would otherwise be held until its deadline, although another upstream could
        # answer it in time.
        results = {}
        for accept_if_slow in (False, True):
            self.setUp()
            self.step(ov.LoadReported(4.0))
            self.now += 0.2
            self.assertEqual(self.hand_over(target_ms=350.0, accept_if_slow=accept_if_slow), [])
            self.now = owner.next_due(self.owner_state, self.now)
            self.step(ov.Tick())
            results[accept_if_slow] = self.step(ov.LoadReported(4.0))
        self.assertIs(self.find_reason(results[False]), NotRunReason.STALLED)
        self.assertIsInstance(results[True][0], ov.Dispatch)

    def test_request_that_can_go_elsewhere_is_accepted_only_with_a_margin_for_variation(self):
        for target_ms, is_accepted in ((100.0, False), (130.0, True)):
            effects = self.hand_over(target_ms=target_ms, accept_if_slow=False)
            self.assertEqual(isinstance(effects[0], ov.Dispatch), is_accepted, target_ms)

    def test_request_that_is_in_time_even_at_the_slow_pace_starts(self):
        self.step(ov.LoadReported(4.0))
        self.assertIsInstance(self.hand_over(target_ms=500.0)[0], ov.Dispatch)

    def test_request_that_became_late_is_not_held_any_longer(self):
        self.step(ov.LoadReported(4.0))
        self.now += 0.1
        self.hand_over(target_ms=320.0)
        self.now = owner.next_due(self.owner_state, self.now)
        self.assertEqual(self.step(ov.Tick()), [ov.QueryLoad()])
        self.now += 0.005
        self.assertEqual(self.step(ov.LoadReported(4.0)), [])
        self.now = owner.next_due(self.owner_state, self.now)
        self.assertAlmostEqual(self.now, 0.1 + 0.22)
        self.assertIsInstance(self.step(ov.Tick())[0], ov.Dispatch)

    def test_phase_that_exceeds_its_expected_length_counts_as_another(self):
        self.step(ov.LoadReported(4.0))
        self.now += 0.1
        self.hand_over(target_ms=350.0)
        self.now = owner.next_due(self.owner_state, self.now)
        self.step(ov.Tick())
        self.now += 0.02
        self.assertEqual(self.step(ov.LoadReported(4.0)), [])
        self.assertAlmostEqual(self.owner_state.pace.phase_began_at, DEFAULT_PHASE_LENGTH)

    def test_request_starts_without_a_report_if_the_upstream_does_not_report_its_load(self):
        self.step(ov.LoadReported(1.0))
        self.now += 1.0
        self.assertEqual(self.hand_over(), [ov.QueryLoad()])
        started = self.step(ov.LoadNotReported(has_load_endpoint=False))
        self.assertIsInstance(started[0], ov.Dispatch)
        self.now += 1.0
        self.assertIsInstance(self.hand_over()[0], ov.Dispatch)

    def test_load_is_queried_again_after_an_answered_query(self):
        self.step(ov.LoadReported(1.0))
        self.now += 1.0
        self.hand_over()
        self.step(ov.LoadReported(1.0))
        self.now += 1.0
        self.assertEqual(self.hand_over(), [ov.QueryLoad()])

    def test_request_starts_when_a_load_query_stays_unanswered(self):
        self.step(ov.LoadReported(1.0))
        self.now += 1.0
        self.hand_over()
        self.now = owner.next_due(self.owner_state, self.now)
        self.assertIsInstance(self.step(ov.Tick())[0], ov.Dispatch)

    def record_origins(self):
        """Record origins by which `quick` is an inner call of one service, unlike `slow`."""
        for number in range(2 * HALVING_COUNT):
            record_origin(self.owner_state.origins, "quick", "till")
            record_origin(
                self.owner_state.origins, "slow", ("till", "ledger", "portal")[number % 3]
            )

    def test_inner_call_may_wait_until_its_deadline(self):
        # If it were refused at its objective, the run that waits for it would fail.
        self.fill_slots()
        self.record_origins()
        for accept_if_slow in (False, True):
            waiting = self.hand_over(
                "quick", target_ms=5.0, remaining_ms=400.0, accept_if_slow=accept_if_slow
            )
            self.assertEqual(waiting, [])

    def test_short_request_of_a_caller_may_not_wait_beyond_its_objective(self):
        # The request would otherwise be held until its deadline and then be refused.
        self.fill_slots()
        refused = self.hand_over("quick", target_ms=5.0, remaining_ms=400.0)
        self.assertIs(self.find_reason(refused), NotRunReason.QUEUE_FULL)

    def test_inner_call_goes_elsewhere_while_the_upstream_is_slow(self):
        self.fill_slots()
        self.record_origins()
        self.step(ov.LoadReported(4.0))
        refused = self.hand_over("quick", target_ms=5.0, remaining_ms=400.0, accept_if_slow=False)
        self.assertIs(self.find_reason(refused), NotRunReason.QUEUE_FULL)

    def test_late_caller_retry_uses_a_free_slot_but_does_not_wait_for_one(self):
        self.assertIsInstance(self.hand_over(target_ms=0.0, accept_if_slow=False)[0], ov.Dispatch)
        self.hand_over()
        refused = self.hand_over(target_ms=0.0)
        self.assertIs(self.find_reason(refused), NotRunReason.QUEUE_FULL)

    def test_long_requests_stay_queued_beside_many_later_short_ones(self):
        # A queue of a fixed length displaced a long request for each short one that arrived.
        self.fill_slots()
        self.assertEqual(self.hand_over(target_ms=900.0), [])
        for _ in range(20):
            self.hand_over("quick", target_ms=800.0)
        self.assertEqual(len(self.owner_state.waiting), 21)

    def test_attempt_without_a_slot_in_time_is_refused_before_its_deadline(self):
        self.fill_slots()
        self.assertEqual(self.hand_over(target_ms=400.0, remaining_ms=2000.0), [])
        self.now = owner.next_due(self.owner_state, self.now)
        self.assertAlmostEqual(self.now, 0.3)
        self.assertIs(self.find_reason(self.step(ov.Tick())), NotRunReason.QUEUE_FULL)

    def test_share_of_the_slots_stays_unused(self):
        owner_state = owner.create_owner_state("u", 1, 16, slot_share=0.8)
        owner.step(owner_state, ov.UpstreamAnnounced(6, 6, UpstreamState.READY), 0.0)
        self.assertEqual(owner_state.run_limit, 4)


if __name__ == "__main__":
    unittest.main()
