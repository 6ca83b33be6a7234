from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.timeline import EventKind, Recorder, merge_events

NAMES = ("a", "b", "c")
CAPACITY = 10
FREQUENT_KINDS = (EventKind.CALL_ARRIVED, EventKind.HANDSHAKE_REFUSED)
KINDS = (*FREQUENT_KINDS, EventKind.LEADER_LOST)
names = st.sampled_from(NAMES)


class TimelineMachine(RuleBasedStateMachine):
    """Exchange messages between processes whose wall clocks jump; the oracle is happened-before."""

    def __init__(self):
        super().__init__()
        self.wall = dict.fromkeys(NAMES, 1000)
        self.recorders = {
            name: Recorder(name, lambda name=name: self.wall[name], CAPACITY) for name in NAMES
        }
        self.known = {name: frozenset() for name in NAMES}
        self.causes = {}
        self.counts = {(name, is_frequent): 0 for name in NAMES for is_frequent in (False, True)}
        self.sent = []

    @rule(name=names, step=st.integers(-500, 500))
    def step_clock(self, name, step):
        self.wall[name] += step

    @rule(name=names, kind=st.sampled_from(KINDS))
    def record(self, name, kind):
        call = "c1" if kind is EventKind.CALL_ARRIVED else ""
        event = self.recorders[name].record(kind, call=call, detail=str(len(self.causes)))
        self.causes[event] = self.known[name]
        self.known[name] |= {event}
        self.counts[name, kind in FREQUENT_KINDS] += 1

    @rule(name=names)
    def send(self, name):
        self.sent.append((self.recorders[name].timestamp(), self.known[name]))

    @rule(name=names, data=st.data())
    def receive(self, name, data):
        if self.sent:
            time, known = data.draw(st.sampled_from(self.sent))
            self.recorders[name].observe(time)
            self.known[name] |= known

    @rule(name=names)
    def observe_clock_far_ahead(self, name):
        latest = self.recorders[name].clock.latest
        far = type(latest)(self.wall[name] + 10**9, 0)
        self.recorders[name].observe(far)
        assert self.recorders[name].clock.latest == latest

    @invariant()
    def causes_precede_effects(self):
        merged = merge_events(recorder.events for recorder in self.recorders.values())
        places = {event: place for place, event in enumerate(merged)}
        for event, place in places.items():
            assert all(places.get(cause, -1) < place for cause in self.causes[event])

    @invariant()
    def buffers_are_bounded_and_losses_counted(self):
        for name, recorder in self.recorders.items():
            held = [event.kind in FREQUENT_KINDS for event in recorder.events]
            for is_frequent in (False, True):
                assert held.count(is_frequent) == min(self.counts[name, is_frequent], CAPACITY // 2)
            recorded = self.counts[name, False] + self.counts[name, True]
            assert recorder.dropped == recorded - len(held)

    @invariant()
    def events_of_one_process_stay_in_order(self):
        for recorder in self.recorders.values():
            numbers = [int(event.detail) for event in recorder.events]
            assert numbers == sorted(numbers)


TestTimeline = TimelineMachine.TestCase
