from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.timeline import EventKind, Recorder, merge_events

NAMES = ("a", "b", "c")
CAPACITY = 5
names = st.sampled_from(NAMES)


class TimelineMachine(RuleBasedStateMachine):
    """Exchange messages between processes with stepping clocks; the oracle is happened-before."""

    def __init__(self):
        super().__init__()
        self.wall = dict.fromkeys(NAMES, 1000)
        self.recorders = {
            name: Recorder(name, lambda name=name: self.wall[name], CAPACITY) for name in NAMES
        }
        self.known = {name: frozenset() for name in NAMES}
        self.causes = {}
        self.counts = dict.fromkeys(NAMES, 0)
        self.sent = []

    @rule(name=names, step=st.integers(-500, 500))
    def step_clock(self, name, step):
        self.wall[name] += step

    @rule(name=names)
    def record(self, name):
        event = self.recorders[name].record(EventKind.CALL_ARRIVED, detail=str(len(self.causes)))
        self.causes[event] = self.known[name]
        self.known[name] |= {event}
        self.counts[name] += 1

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
    def meet_broken_clock(self, name):
        latest = self.recorders[name].clock.latest
        far = type(latest)(self.wall[name] + 10**9, 0)
        self.recorders[name].observe(far)
        assert self.recorders[name].clock.latest == latest

    @invariant()
    def causes_come_first(self):
        merged = merge_events(recorder.events for recorder in self.recorders.values())
        places = {event: place for place, event in enumerate(merged)}
        for event, place in places.items():
            assert all(places.get(cause, -1) < place for cause in self.causes[event])

    @invariant()
    def buffers_are_bounded_and_losses_counted(self):
        for name, recorder in self.recorders.items():
            assert len(recorder.events) == min(self.counts[name], CAPACITY)
            assert recorder.dropped == max(0, self.counts[name] - CAPACITY)


TestTimeline = TimelineMachine.TestCase
