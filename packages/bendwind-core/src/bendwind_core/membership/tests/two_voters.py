"""Simulate a node that hears of changes from two voters, and compare what it holds."""

import random
import unittest

from bendwind_core.membership import (
    ConfigurationAccepted,
    MessageReceived,
    PeerVersionReceived,
    QuorumConfirmed,
    SendTo,
    Tick,
    VoterPlace,
    create_node_view,
    create_voter_registry,
    step_registry,
    step_view,
)
from bendwind_core.membership.tests.fakes import SERVICES, TIMES, remove_content_digest
from bendwind_core.world import Configuration, Instance, Route, Routing, Rule, Service, SplitPart

PLACES = (VoterPlace("v0", "dc0"), VoterPlace("v1", "dc1"))
STEP = 0.05
KEPT = Route("kept", "h", "/kept/", (SplitPart(SERVICES[0]),), Rule("*"))
BRIEF = Route("brief", "h", "/brief/", (SplitPart(SERVICES[0]),), Rule("*"))


class TwoVotersTest(unittest.TestCase):
    """Attach a node to voter v0; messages arrive at once, but for those that the test holds back.

    `held` are the messages held back from the processes in `deaf`. After each event, the node has
    to hold exactly what its version contains, unless `is_checked` is false. The `former_voters` are
    of a release that states no digests. `effects` are all that
    the node's view returned.
    """

    def setUp(self):
        self.rng = random.Random(1)
        self.now = 0.0
        self.versions = {}
        self.former_voters = set()
        self.deaf = set()
        self.held = []
        self.effects = []
        self.is_checked = True
        self.registries = {
            place.name: create_voter_registry(place.name, PLACES, TIMES, 0.0) for place in PLACES
        }
        instance = Instance("n0", "dc0", "127.0.0.1", 1, 1)
        self.view = create_node_view(instance, PLACES, TIMES, 0.0, self.rng, SERVICES[:1])
        self.define(1, (KEPT,))
        self.accept("v0", 1)
        self.accept("v1", 1)
        self.advance(1.0)
        self.assertEqual((self.view.version, self.view.voter), (1, "v0"))

    def define(self, version, routes, pattern="*"):
        services = (Service(SERVICES[0], (pattern,)),)
        # Without a change of routes, a version keeps their revision.
        held = self.versions.get(version - 1)
        is_same = held is not None and held.routing.routes == routes
        routing = held.routing if is_same else Routing(version, routes)
        self.versions[version] = Configuration(version, services, routing)

    def accept(self, voter, version):
        self.step(voter, ConfigurationAccepted(self.versions[version]))

    def step(self, name, event):
        if name in self.registries:
            effects = step_registry(self.registries[name], event, self.now, self.rng)
        else:
            effects = step_view(self.view, event, self.now, self.rng)
            self.effects += effects
            self.check_content()
        for effect in effects:
            if isinstance(effect, SendTo):
                self.deliver(name, effect.to, effect.message)

    def deliver(self, sender, to, message):
        if sender in self.former_voters:
            message = remove_content_digest(message)
        if to in self.deaf:
            self.held.append((sender, to, message))
        elif to in ("n0", *self.registries):
            self.step(to, MessageReceived(sender, message))

    def release(self):
        held, self.held = self.held, []
        self.deaf.clear()
        for sender, to, message in held:
            self.deliver(sender, to, message)

    def advance(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            self.confirm()
            for name in (*self.registries, "n0"):
                self.step(name, Tick())

    def confirm(self):
        versions = {name: one.configuration.version for name, one in self.registries.items()}
        for name, version in versions.items():
            if version == max(versions.values()):
                self.step(name, QuorumConfirmed(self.now))

    def fetch(self, version):
        """Let the node apply a version from v1, after a heartbeat that v0 has not received yet."""
        replied_at = self.view.attachment.last_reply_at
        while self.view.attachment.last_reply_at == replied_at:
            self.advance(STEP)
        self.advance(0.7 * TIMES.heartbeat)
        self.accept("v1", version)
        self.deaf.add("v0")
        self.step("n0", PeerVersionReceived("n1", version))
        self.advance(0.6 * TIMES.heartbeat)
        self.assertTrue(self.held)
        self.assertEqual((self.view.version, self.view.voter), (version, "v0"))

    def check_content(self):
        if self.view.version == 0 or not self.is_checked:
            return
        truth = self.versions[self.view.version]
        self.assertEqual(set(self.view.routing.routes), set(truth.routing.routes))
        self.assertEqual(tuple(self.view.services.values()), truth.services)
