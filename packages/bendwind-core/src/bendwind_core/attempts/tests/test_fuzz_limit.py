"""Check that all owners of an upstream together keep the limit that it names in its answers.

Owners are killed and started again, the upstream's announcements move to another node while the
former one goes on sending, answers overtake each other, and the limit falls, rises and ends.
"""

import unittest

import bendwind_core.core.tests.profiles  # noqa: F401  isort:skip
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from bendwind_core.attempts import AttemptId, HandOver, owner
from bendwind_core.attempts import owner_events as ov
from bendwind_core.attempts.tests.limit_oracle import LimitOracle
from bendwind_core.routing import create_table, find_limit, note_answered, set_upstreams
from bendwind_core.world import Instance, Repeat, Upstream, UpstreamState

NODES = ("e0", "e1", "e2")
LEASE_S = 5.0
STEP_S = 0.05
limits = st.sampled_from([0.0, 0.3, 6.2, 60.0])


class OwnerSeat:
    """Hold one owner process of the upstream; `hears_until` is when its lease on it ends."""

    def __init__(self, node, incarnation, now, alone_from):
        self.node = node
        self.incarnation = incarnation
        self.hears_until = None
        self.state = owner.create_owner_state("u", incarnation, 16, alone_from=alone_from)


class LimitedUpstream(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.oracle = LimitOracle()
        self.sequences = dict.fromkeys(NODES, 0)
        self.incarnation = 0
        self.owners = []
        self.tables = {}
        self.running = []
        self.unread = []

    @initialize()
    def begin(self):
        for node in NODES:
            self.tables[node] = create_table("s")
        self.start_owner("e0", self.now)

    def start_owner(self, node, alone_from):
        self.incarnation += 1
        seat = OwnerSeat(node, self.incarnation, self.now, alone_from)
        self.owners.append(seat)
        self.feed(seat, ov.UpstreamAnnounced(12, 50, UpstreamState.READY))
        for name in NODES:
            set_upstreams(self.tables[name], [self.make_upstream(seat)], self.now)

    def make_upstream(self, seat):
        instance = Instance(seat.node, "a", "127.0.0.1", 1, incarnation=seat.incarnation)
        return Upstream("u", "s", instance, 12, 50)

    def feed(self, seat, event):
        for effect in owner.step(seat.state, event, self.now):
            if isinstance(effect, ov.Dispatch):
                attempt = effect.hand_over.attempt
                assert self.oracle.arrive(attempt.entry, self.now), "more than the limit allows"
                self.feed(seat, ov.DispatchSent(attempt))
                self.running.append((seat, attempt, self.now))

    def hand_over(self, node, *, has_target, waits):
        # What is cut off from the voters goes on at the owner that it knows.
        seat = self.owners[0 if node == "e2" else -1]
        self.sequences[node] += 1
        message = HandOver(
            AttemptId(node, 1, self.sequences[node]),
            seat.incarnation,
            "s",
            "u",
            "GET",
            b"/",
            (),
            2000.0,
            Repeat.IDEMPOTENT,
            1,
            route="r",
            target_ms=1500.0 if has_target else None,
            may_wait=waits,
            limit_per_s=find_limit(self.tables[node].notices, self.make_upstream(seat)),
        )
        self.feed(seat, ov.HandOverArrived(message, 1))

    @rule(
        steps=st.integers(1, 100),
        each=st.integers(0, 4),
        has_target=st.booleans(),
        waits=st.booleans(),
        newest_first=st.booleans(),
    )
    def press(self, steps, each, has_target, waits, newest_first):
        """Have all nodes offer requests for a while; answers are read in the next step."""
        for _ in range(steps):
            for node in NODES * each:
                self.hand_over(node, has_target=has_target, waits=waits)
            self.read(newest_first=newest_first)
            self.answer()
            self.wait()

    def answer(self):
        """Have the upstream answer what it runs."""
        for seat, attempt, sent_at in self.running:
            self.unread.append((seat, attempt, sent_at, self.oracle.per_second, self.now))
        self.running.clear()

    def read(self, *, newest_first):
        unread, self.unread = self.unread, []
        for answer in reversed(unread) if newest_first else unread:
            self.read_one(*answer)

    def read_one(self, seat, attempt, sent_at, limit, answered_at):
        if seat not in self.owners or attempt not in seat.state.running:
            return
        if limit is None:
            self.feed(seat, ov.LimitNotNamed(sent_at))
        else:
            self.feed(seat, ov.LimitNamed(limit, sent_at))
        self.feed(seat, ov.DispatchHead(attempt, 200, 10.0))
        self.feed(seat, ov.DispatchDone(attempt))
        if attempt.entry in self.tables and seat in self.owners:
            load = owner.load_sample(seat.state, self.now)
            note_answered(self.tables[attempt.entry], "u", attempt, self.now, 200, load)
            if limit is not None and self.oracle.per_second is not None:
                self.oracle.tell(attempt.entry, self.now)

    def wait(self):
        self.now += STEP_S
        for seat in list(self.owners):
            if seat.hears_until is not None and self.now >= seat.hears_until:
                self.owners.remove(seat)
            else:
                self.feed(seat, ov.Tick())

    @rule(per_second=limits)
    def name_limit(self, per_second):
        self.oracle.name(per_second, self.now)

    @rule()
    def end_limit(self):
        self.oracle.name(None, self.now)

    @rule(per_second=limits)
    def name_for_long(self, per_second):
        self.name_limit(per_second)
        self.press(100, 2, has_target=False, waits=True, newest_first=False)

    @rule()
    def restart_owner(self):
        """Kill the newest owner; the other nodes heard of the limit and are held to it."""
        seat = self.owners.pop()
        self.running = [one for one in self.running if one[0] is not seat]
        self.oracle.restart(seat.node)
        self.tables[seat.node] = create_table("s")
        self.start_owner(seat.node, max(self.now, seat.state.rate_limit.alone_from))

    @rule()
    def move(self):
        """Have the upstream announce itself to another node; the former one is not told."""
        if len(self.owners) > 1:
            return
        former = self.owners[0]
        former.hears_until = self.now + LEASE_S
        self.start_owner("e1" if former.node == "e0" else "e0", self.now + LEASE_S)


FuzzLimitTest = LimitedUpstream.TestCase

if __name__ == "__main__":
    unittest.main()
