import unittest

from bendwind_core.admission import note_origin
from bendwind_core.admission.origins import MOST_SEEN
from bendwind_core.attempts import AttemptId, HandOver, NotRunReason, owner
from bendwind_core.attempts import owner_events as ov
from bendwind_core.attempts.pace import TYPICAL_PHASE
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

    def fill(self):
        return [self.hand_over()[0].hand_over.attempt for _ in range(2)]

    def reason(self, effects):
        return effects[0].reason if isinstance(effects[0], ov.ReplyNotRun) else None

    def test_what_cannot_be_in_time_is_refused_on_arrival(self):
        self.fill()
        refused = self.hand_over(target_ms=150.0, remaining_ms=150.0)
        self.assertIs(self.reason(refused), NotRunReason.QUEUE_FULL)
        self.assertEqual(self.hand_over(target_ms=400.0), [])

    def test_route_without_an_answer_yet_is_expected_to_take_a_share_of_its_objective(self):
        # An upstream that had just started took all that came, and answered most of it late.
        self.owner_state = owner.create_owner_state("u", 1, 16)
        self.step(ov.UpstreamAnnounced(2, 2, UpstreamState.READY))
        answers = [self.hand_over("new", 300.0, 300.0) for _ in range(12)]
        refused = [effects for effects in answers if effects and self.reason(effects)]
        self.assertEqual(len(refused), 7)

    def run_slow(self, factor, upstream_ms, times, report_age=0.0):
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
        # Runs that began in a slow phase were taken for usual ones; upstreams then refused for
        # seconds what they had free slots for.
        self.run_slow(4.0, 400.0, 20)
        self.assertAlmostEqual(self.owner_state.route_times["slow"], 100.0, delta=1.0)

    def test_a_phase_that_began_unseen_does_not_stretch_the_usual_time(self):
        self.run_slow(1.0, 400.0, 2, report_age=1.0)
        self.assertLess(self.owner_state.route_times["slow"], 110.0)

    def test_a_route_that_takes_longer_than_before_is_followed(self):
        self.run_slow(1.0, 300.0, 40)
        self.assertGreater(self.owner_state.route_times["slow"], 250.0)

    def test_most_urgent_starts_first(self):
        first = self.fill()[0]
        self.hand_over(target_ms=900.0)
        self.hand_over("quick", target_ms=300.0)
        started = self.step(ov.DispatchDone(first))
        self.assertEqual(started[0].hand_over.route, "quick")

    def test_late_one_is_taken_where_a_slot_is_free_unless_it_can_go_elsewhere(self):
        self.assertIs(
            self.reason(self.hand_over(target_ms=50.0, accept_if_slow=False)), NotRunReason.STALLED
        )
        self.assertIsInstance(self.hand_over(target_ms=50.0)[0], ov.Dispatch)

    def test_slowed_upstream_is_avoided_until_its_phase_should_be_over(self):
        self.step(ov.LoadReported(4.0))
        polite = {"target_ms": 150.0, "accept_if_slow": False}
        self.assertIs(self.reason(self.hand_over(**polite)), NotRunReason.STALLED)
        self.now += TYPICAL_PHASE
        self.assertEqual(self.hand_over(**polite), [ov.AskLoad()])
        started = self.step(ov.LoadReported(1.0))
        self.assertIsInstance(started[0], ov.Dispatch)

    def test_long_request_waits_for_the_end_of_a_slow_phase_and_a_short_one_starts(self):
        self.step(ov.LoadReported(4.0))
        self.now += 0.1
        self.assertEqual(self.hand_over(target_ms=350.0), [])
        self.assertIsInstance(self.hand_over("quick", target_ms=350.0)[0], ov.Dispatch)
        self.now = owner.next_due(self.owner_state, self.now)
        self.assertEqual(self.step(ov.Tick()), [ov.AskLoad()])
        started = self.step(ov.LoadReported(1.0))
        self.assertEqual(started[0].hand_over.route, "slow")

    def test_request_that_waited_goes_elsewhere_when_another_slow_phase_follows(self):
        # It was held on to its deadline, though another upstream could have answered in time.
        answers = {}
        for accept_if_slow in (False, True):
            self.setUp()
            self.step(ov.LoadReported(4.0))
            self.now += 0.2
            self.assertEqual(self.hand_over(target_ms=350.0, accept_if_slow=accept_if_slow), [])
            self.now = owner.next_due(self.owner_state, self.now)
            self.step(ov.Tick())
            answers[accept_if_slow] = self.step(ov.LoadReported(4.0))
        self.assertIs(self.reason(answers[False]), NotRunReason.STALLED)
        self.assertIsInstance(answers[True][0], ov.Dispatch)

    def test_request_that_may_go_elsewhere_is_taken_with_room_for_scatter(self):
        for target_ms, is_taken in ((100.0, False), (130.0, True)):
            effects = self.hand_over(target_ms=target_ms, accept_if_slow=False)
            self.assertEqual(isinstance(effects[0], ov.Dispatch), is_taken, target_ms)

    def test_request_that_is_in_time_also_when_slowed_starts(self):
        self.step(ov.LoadReported(4.0))
        self.assertIsInstance(self.hand_over(target_ms=500.0)[0], ov.Dispatch)

    def test_request_that_became_late_is_not_held_any_longer(self):
        self.step(ov.LoadReported(4.0))
        self.now += 0.1
        self.hand_over(target_ms=320.0)
        self.now = owner.next_due(self.owner_state, self.now)
        self.assertEqual(self.step(ov.Tick()), [ov.AskLoad()])
        self.now += 0.005
        self.assertEqual(self.step(ov.LoadReported(4.0)), [])
        self.now = owner.next_due(self.owner_state, self.now)
        self.assertAlmostEqual(self.now, 0.1 + 0.22)
        self.assertIsInstance(self.step(ov.Tick())[0], ov.Dispatch)

    def test_phase_that_goes_on_is_taken_for_another(self):
        self.step(ov.LoadReported(4.0))
        self.now += 0.1
        self.hand_over(target_ms=350.0)
        self.now = owner.next_due(self.owner_state, self.now)
        self.step(ov.Tick())
        self.now += 0.02
        self.assertEqual(self.step(ov.LoadReported(4.0)), [])
        self.assertAlmostEqual(self.owner_state.pace.began_at, TYPICAL_PHASE)

    def test_request_starts_blindly_where_the_upstream_does_not_tell_its_load(self):
        self.step(ov.LoadReported(1.0))
        self.now += 1.0
        self.assertEqual(self.hand_over(), [ov.AskLoad()])
        started = self.step(ov.LoadNotReported(may_ask=False))
        self.assertIsInstance(started[0], ov.Dispatch)
        self.now += 1.0
        self.assertIsInstance(self.hand_over()[0], ov.Dispatch)

    def test_question_that_was_answered_once_is_asked_again(self):
        self.step(ov.LoadReported(1.0))
        self.now += 1.0
        self.hand_over()
        self.step(ov.LoadReported(1.0))
        self.now += 1.0
        self.assertEqual(self.hand_over(), [ov.AskLoad()])

    def test_request_starts_when_a_question_stays_unanswered(self):
        self.step(ov.LoadReported(1.0))
        self.now += 1.0
        self.hand_over()
        self.now = owner.next_due(self.owner_state, self.now)
        self.assertIsInstance(self.step(ov.Tick())[0], ov.Dispatch)

    def tell_origins(self):
        """Show the owner that `quick` is a call of one service's upstreams, unlike `slow`."""
        for number in range(2 * MOST_SEEN):
            note_origin(self.owner_state.origins, "quick", "till")
            note_origin(self.owner_state.origins, "slow", ("till", "ledger", "portal")[number % 3])

    def test_call_of_an_upstream_may_wait_to_its_deadline(self):
        # Refused at its objective, it made the run that waited for it fail.
        self.fill()
        self.tell_origins()
        for accept_if_slow in (False, True):
            waiting = self.hand_over(
                "quick", target_ms=5.0, remaining_ms=400.0, accept_if_slow=accept_if_slow
            )
            self.assertEqual(waiting, [])

    def test_short_request_of_a_caller_may_not_wait_beyond_its_objective(self):
        # A caller's request was held to its deadline and then refused.
        self.fill()
        refused = self.hand_over("quick", target_ms=5.0, remaining_ms=400.0)
        self.assertIs(self.reason(refused), NotRunReason.QUEUE_FULL)

    def test_call_of_an_upstream_goes_elsewhere_while_this_one_is_slowed(self):
        self.fill()
        self.tell_origins()
        self.step(ov.LoadReported(4.0))
        refused = self.hand_over("quick", target_ms=5.0, remaining_ms=400.0, accept_if_slow=False)
        self.assertIs(self.reason(refused), NotRunReason.QUEUE_FULL)

    def test_request_of_a_caller_that_came_back_late_takes_a_free_slot_and_waits_for_none(self):
        self.assertIsInstance(self.hand_over(target_ms=0.0, accept_if_slow=False)[0], ov.Dispatch)
        self.hand_over()
        refused = self.hand_over(target_ms=0.0)
        self.assertIs(self.reason(refused), NotRunReason.QUEUE_FULL)

    def test_long_requests_wait_beside_many_short_ones_that_came_later(self):
        # A queue of a fixed length dropped them for each short one that came.
        self.fill()
        self.assertEqual(self.hand_over(target_ms=900.0), [])
        for _ in range(20):
            self.hand_over("quick", target_ms=800.0)
        self.assertEqual(len(self.owner_state.waiting), 21)

    def test_what_got_no_slot_in_time_is_given_back_before_its_deadline(self):
        self.fill()
        self.assertEqual(self.hand_over(target_ms=400.0, remaining_ms=2000.0), [])
        self.now = owner.next_due(self.owner_state, self.now)
        self.assertAlmostEqual(self.now, 0.3)
        self.assertIs(self.reason(self.step(ov.Tick())), NotRunReason.QUEUE_FULL)

    def test_share_of_the_slots_stays_unused(self):
        owner_state = owner.create_owner_state("u", 1, 16, slot_share=0.8)
        owner.step(owner_state, ov.UpstreamAnnounced(6, 6, UpstreamState.READY), 0.0)
        self.assertEqual(owner_state.run_limit, 4)


if __name__ == "__main__":
    unittest.main()
