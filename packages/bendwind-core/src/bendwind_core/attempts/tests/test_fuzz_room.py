"""Check that an owner never runs too much, leaves no slot idle, and keeps the order of ranks."""

import unittest

import bendwind_core.core.tests.profiles  # noqa: F401  isort:skip
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from bendwind_core.admission import note_origin
from bendwind_core.admission.origins import MOST_SEEN
from bendwind_core.admission.reserve import ARRIVAL_HALF_TIME
from bendwind_core.attempts import AttemptId, CutReason, HandOver, NotRunReason, owner
from bendwind_core.attempts import owner_events as ov
from bendwind_core.attempts.pace import TYPICAL_PHASE, is_known, is_slow
from bendwind_core.attempts.precedence import find_slot_kept_until, find_slots
from bendwind_core.world import Repeat, UpstreamState

RUN_MS = 500.0
SLOTS = 3
USED = 2
QUEUE = 4
# Ranks that the machine hands over; what is kept for them is lent within some half times.
RANKS = (0, 1, 2)
LONGEST_KEPT = 6 * ARRIVAL_HALF_TIME


class Room(RuleBasedStateMachine):
    """Hand over requests of ranks and customers, and calls of upstreams, in runs of 0.5 s."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.sequence = 0
        self.running = []
        self.settled = set()
        self.waiting = {}

    @initialize()
    def create(self):
        self.owner_state = owner.create_owner_state(
            "u", 1, QUEUE, timed_queue=QUEUE, slot_share=0.8
        )
        self.step(ov.UpstreamAnnounced(SLOTS, 9, UpstreamState.READY))
        for number in range(MOST_SEEN - 1):
            note_origin(self.owner_state.origins, "call", "shop")
            note_origin(self.owner_state.origins, "check", f"place-{number % 3}")

    def step(self, event):
        for effect in owner.step(self.owner_state, event, self.now):
            match effect:
                case ov.Dispatch(hand_over=hand_over):
                    self.settle(hand_over.attempt)
                    self.running.append(hand_over.attempt)
                case ov.ReplyNotRun(attempt=attempt, reason=reason):
                    assert attempt not in self.running or reason is NotRunReason.SHED
                    self.settle(attempt)

    def settle(self, attempt):
        assert attempt not in self.settled, "started or refused twice"
        self.settled.add(attempt)
        self.waiting.pop(attempt, None)

    @rule(
        rank=st.sampled_from(RANKS),
        customer=st.sampled_from(["", "a", "a", "b"]),
        target_ms=st.sampled_from([60.0, 600.0, 2000.0, 4000.0]),
        route=st.sampled_from(["check", "check", "check", "call"]),
        run_rank=st.sampled_from([None, 0, 2]),
        may_wait=st.sampled_from([True, True, True, False]),
        insist=st.booleans(),
    )
    def hand_over(self, rank, customer, target_ms, route, run_rank, may_wait, insist):
        self.sequence += 1
        attempt = AttemptId("e", 1, self.sequence)
        parts = (attempt, 1, "s", "u", "GET", b"/", (), 5000.0, Repeat.IDEMPOTENT, 1)
        message = HandOver(
            *parts,
            accept_if_slow=insist,
            route=route,
            target_ms=target_ms,
            origin="shop" if route == "call" else f"place-{self.sequence % 3}",
            rank=rank,
            customer=customer,
            may_wait=may_wait,
            run_rank=run_rank,
        )
        self.waiting[attempt] = message
        self.step(ov.HandOverArrived(message, 1))
        # A question after the pace is the moment that starting takes.
        is_asked = not is_known(self.owner_state.pace, self.now)
        assert may_wait or is_asked or attempt not in self.waiting, "waits though it may not"

    @rule(count=st.sampled_from([10, 20]))
    def rush(self, count):
        """Have so many of the most urgent come that what starts at once does, and no other."""
        for _ in range(count):
            self.hand_over(0, "", 4000.0, "check", None, False, True)

    @rule(factor=st.sampled_from([1.0, 1.0, 4.0]))
    def hear_load(self, factor):
        self.step(ov.LoadReported(factor))

    @precondition(lambda self: self.running)
    @rule(pick=st.integers(0, 3), is_lost=st.sampled_from([False, False, False, True]))
    def end(self, pick, is_lost):
        attempt = self.running.pop(pick % len(self.running))
        before = self.find_next()
        if is_lost:
            self.step(ov.DispatchUnknown(attempt, CutReason.UPSTREAM_TIMEOUT))
        else:
            self.step(ov.DispatchHead(attempt, 200, RUN_MS))
            self.step(ov.DispatchDone(attempt))
        assert before is None or before not in self.waiting, "the next in turn was passed over"

    def find_next(self):
        """Return what has to start once a run ends: the most urgent, if a slot will be free."""
        if self.is_held or len(self.running) != USED - 1 or len(self.owner_state.running) != USED:
            return None
        ranks = {attempt: queued.rank for attempt, queued in self.owner_state.waiting.items()}
        most_urgent = [attempt for attempt, rank in ranks.items() if rank == min(ranks.values())]
        if len(most_urgent) != 1:
            return None
        queued = self.owner_state.waiting[most_urgent[0]]
        is_kept = self.now < find_slot_kept_until(self.owner_state, queued)
        return None if is_kept else most_urgent[0]

    @property
    def is_held(self):
        """Tell whether what waits may do so for the upstream's pace."""
        return is_slow(self.owner_state.pace, self.now) or not is_known(
            self.owner_state.pace, self.now
        )

    @rule(pick=st.integers(1, 30))
    def cancel(self, pick):
        attempt = AttemptId("e", 1, self.sequence + 1 - pick)
        if attempt in self.waiting:
            self.step(ov.CancelArrived(attempt, 1))

    @rule(dt=st.sampled_from([0.001, 0.02, 0.3]))
    def advance(self, dt):
        until = self.now + dt
        while (due := owner.next_due(self.owner_state, self.now)) is not None and due <= until:
            assert due > self.now or due == self.now, "looks back"
            self.now = max(self.now, due)
            self.step(ov.Tick())
            again = owner.next_due(self.owner_state, self.now)
            assert again is None or again > self.now, "would look again at once, for ever"
        self.now = until

    @invariant()
    def room_is_used_and_not_exceeded(self):
        if not hasattr(self, "owner_state"):
            return
        owner_state = self.owner_state
        requests = [run for run in owner_state.running.values() if run.hand_over.route != "call"]
        assert len(owner_state.running) <= SLOTS, "more than the upstream bears"
        assert len(requests) <= USED, "a request took a slot that only calls may use"
        assert set(owner_state.waiting) == set(self.waiting)
        assert len(owner_state.waiting) <= QUEUE
        due = owner.next_due(owner_state, self.now)
        for queued in owner_state.waiting.values():
            slots = find_slots(owner_state, queued, self.now)
            if self.is_held and len(owner_state.running) < slots:
                assert due <= self.now + TYPICAL_PHASE or owner_state.pace.lengths, "held for ever"
                continue
            kept_until = find_slot_kept_until(owner_state, queued)
            if len(owner_state.running) < USED and kept_until > self.now:
                assert due <= kept_until, "a slot that is kept will not be lent in time"
            is_kept = self.now < find_slot_kept_until(owner_state, queued)
            is_full = len(owner_state.running) >= USED
            assert is_full or is_kept, "a slot is idle while something waits that may run"
            assert find_slot_kept_until(owner_state, queued) <= self.now + LONGEST_KEPT
            if queued.is_inner and len(owner_state.running) < SLOTS:
                held = (*owner_state.running.values(), *owner_state.waiting.values())
                has_more_urgent = any(one.own_rank < queued.own_rank for one in held)
                assert has_more_urgent, "a call waits beside an idle slot"


TestRoom = Room.TestCase
TestRoom.settings = settings(max_examples=max(300, settings().max_examples))

if __name__ == "__main__":
    unittest.main()
