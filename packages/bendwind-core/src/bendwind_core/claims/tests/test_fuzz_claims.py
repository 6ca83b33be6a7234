"""Fuzz claims over five nodes against an oracle that counts runs."""

import random
import string

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.claims import ClaimState, format_member
from bendwind_core.claims.tests.cluster import NODES, SERVICE, Cluster

NODE = st.sampled_from(NODES)
SEED = st.integers(0, 1 << 16)
LOSS = st.sampled_from([0.0, 0.1, 0.5])
KIND = st.sampled_from("crash restart pause no-control no-peers deaf leave".split())
KEYS = string.ascii_lowercase
RECENT = 3
REPAIR_ROUNDS = 24
# With fewer, some of the bugs seeded once were not found.
LEAST_EXAMPLES = 240


class ClaimsMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.cluster = Cluster()
        self.newest = RECENT

    # Callers, links and time.

    @rule()
    def take_new_keys(self):
        self.newest = min(len(KEYS), self.newest + 1)

    @rule(nodes=st.lists(NODE, min_size=1, max_size=3), fingerprint=st.sampled_from([b"f", b"g"]))
    def resend_at_once(self, nodes, fingerprint):
        for node in nodes:
            self.cluster.request(node, KEYS[self.newest - 1], fingerprint)

    @rule(node=NODE)
    def resend_every_key(self, node):
        for key in KEYS[: self.newest]:
            self.cluster.request(node, key, b"f")
        self.cluster.deliver_all()

    @rule(seed=SEED, rounds=st.integers(1, 20), loss=LOSS)
    def live(self, seed, rounds, loss):
        self.cluster.live(random.Random(seed), rounds, self._recent_keys(), loss)

    @rule(seed=SEED, count=st.integers(1, 40), loss=st.sampled_from([0.0, 0.5, 1.0]))
    def deliver_in_any_order(self, seed, count, loss):
        self.cluster.deliver_some(random.Random(seed), count, loss)

    @rule()
    def run_all(self):
        for call in sorted(self.cluster.oracle.granted):
            self.cluster.run(call)

    @rule(state=st.sampled_from([ClaimState.ANSWERED, ClaimState.UNKNOWN]))
    def finish_all(self, state):
        for call in sorted(self.cluster.oracle.running):
            self.cluster.finish(call, state)

    @rule()
    def release_all(self):
        for call in sorted(self.cluster.oracle.granted):
            self.cluster.prove_not_run(call)

    @rule(seconds=st.sampled_from([0.05, 0.25, 1.0, 5.0]))
    def advance(self, seconds):
        self.cluster.advance(seconds)

    # Faults and repairs.

    @rule(node=NODE, kind=KIND)
    def disturb(self, node, kind):
        self._disturb(node, kind)

    @rule(kind=KIND, rounds=st.integers(0, 6))
    def disturb_primary(self, kind, rounds):
        name = self._members()[0]
        self._disturb(name, kind)
        self.cluster.settle(rounds)

    @rule(times=st.integers(1, 3))
    def lose_primaries_with_repairs_between(self, times):
        for _ in range(times):
            self.cluster.crash(self._members()[0])
            self.cluster.settle(REPAIR_ROUNDS)

    @rule(lost=st.integers(1, 2), is_deaf=st.booleans(), rounds=st.integers(1, 8), seed=SEED)
    def lose_the_others_right_after_a_repair(self, lost, is_deaf, rounds, seed):
        """Lose members, go on with calls during the repair, then lose those that were left."""
        self.cluster.heal()
        members = self._members()
        for name in members[-lost:]:
            self.cluster.crash(name)
        self.cluster.advance_until_lease_ends()
        self.cluster.change_group_at_once()
        self.cluster.change_group_at_once()
        self.cluster.nodes[members[0]].hears_groups = not is_deaf
        self.cluster.live(random.Random(seed), rounds, self._recent_keys(), 0.3)
        self.cluster.settle(4)
        for name in members[:-lost]:
            self.cluster.crash(name)
            self.cluster.settle(REPAIR_ROUNDS)

    @rule(rounds=st.integers(1, 4), seed=SEED)
    def replace_a_primary_that_does_not_hear_of_it(self, rounds, seed):
        self.cluster.heal()
        primary = self._members()[0]
        self._disturb(primary, "leave")
        self.cluster.settle(rounds)
        self._disturb(primary, "deaf")
        self.cluster.settle(4)
        self.take_new_keys()
        for name in (self._members()[0], primary):
            self.cluster.request(name, KEYS[self.newest - 1], b"f")
            self.cluster.deliver_some(random.Random(seed), 40, 0.0)

    @rule(kind=st.sampled_from(["crash", "pause", "no-control"]), is_accepted=st.booleans())
    def lose_every_member(self, kind, is_accepted):
        for node in self._members():
            self._disturb(node, kind)
        self.cluster.settle(REPAIR_ROUNDS)
        if is_accepted:
            self.cluster.accept_loss()

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(rounds=st.integers(1, REPAIR_ROUNDS))
    def settle(self, rounds):
        self.cluster.settle(rounds)

    @rule(times=st.integers(1, 4))
    def change_groups_at_once(self, times):
        for _ in range(times):
            self.cluster.change_group_at_once()

    @precondition(lambda self: self.cluster.proposals)
    @rule(seed=SEED)
    def commit(self, seed):
        self.cluster.commit(seed % len(self.cluster.proposals))

    def _disturb(self, name, kind):
        node = self.cluster.nodes[name]
        match kind:
            case "crash":
                self.cluster.crash(name)
            case "restart":
                self.cluster.crash(name)
                self.cluster.restart(name)
            case "pause":
                node.is_paused = True
            case "no-control":
                node.has_control = False
            case "no-peers":
                node.has_peers = False
            case "deaf":
                node.hears_groups = False
            case "leave":
                self.cluster.leaving.add(format_member(node.instance))

    def _recent_keys(self):
        return KEYS[self.newest - RECENT : self.newest]

    def _members(self):
        return [member.partition("#")[0] for member in self.cluster.groups[SERVICE].members]


ClaimsTest = ClaimsMachine.TestCase
ClaimsTest.settings = settings(max_examples=max(LEAST_EXAMPLES, settings().max_examples))
