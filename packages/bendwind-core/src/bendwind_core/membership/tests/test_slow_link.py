"""Check how late a node behind a slow link applies versions while its voter works."""

import random
import unittest
from collections import deque

from msgspec.structs import replace

from bendwind_core.membership import (
    ConfigurationAccepted,
    ConfigurationApplied,
    LeaseTimes,
    MessageReceived,
    QuorumConfirmed,
    SendTo,
    Tick,
    VoterPlace,
    create_node_view,
    create_voter_registry,
    step_registry,
    step_view,
)
from bendwind_core.messages import encode_message
from bendwind_core.world import Configuration, Instance, Route, Routing, Rule, Service, SplitPart

TIMES = LeaseTimes(heartbeat=0.5, lease=2.0)
PLACES = (VoterPlace("v0", "dc0"),)
SERVICE = "catastro"
STEP = 0.01
TICK = 0.05
BARRIER = 0.5
# What calls leave of a link of 2 Mbit/s.
BYTES_PER_S = 1_000_000 / 8
CHANGE_INTERVAL = 0.33


def make_routes(count):
    parts = (SplitPart(SERVICE, 90), SplitPart("emisor", 10))
    names = [f"route-{number:04}" for number in range(count)]
    return tuple(
        Route(name, "host.example", f"/{name}/", parts, Rule("*", name=name)) for name in names
    )


class SlowLink:
    """Carry messages from the voter to the node in order, at a limited rate."""

    def __init__(self):
        self.queue = deque()
        self.free_at = 0.0

    def send(self, message, now):
        size = len(encode_message(message))
        self.free_at = max(self.free_at, now) + size / BYTES_PER_S
        self.queue.append((self.free_at, message))

    def receive(self, now):
        while self.queue and self.queue[0][0] <= now:
            yield self.queue.popleft()[1]


class SlowLinkTest(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(3)
        self.now = 0.0
        self.link = SlowLink()
        self.registry = create_voter_registry("v0", PLACES, TIMES, 0.0)
        node = Instance("n0", "dc0", "127.0.0.1", 1, 1)
        self.view = create_node_view(node, PLACES, TIMES, 0.0, self.rng, (SERVICE,))
        self.accepted_at = {}
        self.lags = {}
        self.next_tick = self.next_barrier = 0.0

    def accept(self, version, routes):
        self.accepted_at[version] = self.now
        content = Configuration(version, (Service(SERVICE, ("*",)),), Routing(version, routes))
        self.step_voter(ConfigurationAccepted(content))

    def step_voter(self, event):
        for effect in step_registry(self.registry, event, self.now, self.rng):
            if isinstance(effect, SendTo) and effect.to == "n0":
                self.link.send(effect.message, self.now)

    def step_node(self, event):
        for effect in step_view(self.view, event, self.now, self.rng):
            match effect:
                case SendTo(message=message):
                    self.step_voter(MessageReceived("n0", message))
                case ConfigurationApplied(version=version):
                    self.record_lag(version)

    def record_lag(self, version):
        for accepted, at in self.accepted_at.items():
            if accepted <= version:
                self.lags.setdefault(accepted, self.now - at)

    def advance(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            if self.now >= self.next_barrier:
                self.next_barrier += BARRIER
                self.step_voter(QuorumConfirmed(self.now - 0.01))
            if self.now >= self.next_tick:
                self.next_tick += TICK
                self.step_voter(Tick())
                self.step_node(Tick())
            for message in self.link.receive(self.now):
                self.step_node(MessageReceived("v0", message))

    # Failure: each change after a large one was sent together with all of the large one until the
    # node had confirmed that, so that a slow link carried it several times in a row and the node
    # learned of every change too late.
    def test_changes_after_a_large_one_are_applied_within_the_lease(self):
        self.accept(1, make_routes(20))
        self.advance(3.0)
        routes = make_routes(1400)
        self.accept(2, routes)
        for version in range(3, 15):
            self.advance(CHANGE_INTERVAL)
            changed = replace(routes[version], parts=(SplitPart(f"other-{version}"),))
            routes = (*routes[:version], changed, *routes[version + 1 :])
            self.accept(version, routes)
        self.advance(6.0)
        self.assertEqual(set(self.lags), set(self.accepted_at))
        self.assertLess(max(self.lags.values()), TIMES.provable_lease)


if __name__ == "__main__":
    unittest.main()
