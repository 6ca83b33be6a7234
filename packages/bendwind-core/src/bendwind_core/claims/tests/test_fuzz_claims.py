"""Fuzz claims on five nodes against an oracle that counts runs."""

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
KIND = st.sampled_from("crash restart pause no-control no-peers no-groups leave".split())
KEYS = string.ascii_lowercase
RECENT_KEYS = 3
REPAIR_ROUNDS = 24
# With fewer examples the test misses some bugs that were seeded to check it.
MIN_EXAMPLES = 240


class ClaimsMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.cluster = Cluster()
        self.key_count = RECENT_KEYS

    # Callers, links and time.

    @rule()
    def use_new_key(self):
        self.key_count = min(len(KEYS), self.key_count + 1)

    @rule(nodes=st.lists(NODE, min_size=1, max_size=3), fingerprint=st.sampled_from([b"f", b"g"]))
    def send_same_key(self, nodes, fingerprint):
        for node in nodes:
            self.cluster.request(node, KEYS[self.key_count - 1], fingerprint)

    @rule(node=NODE)
    def resend_every_key(self, node):
        for key in KEYS[: self.key_count]:
            self.cluster.request(node, key, b"f")
        self.cluster.deliver_all()

    @rule(seed=SEED, rounds=st.integers(1, 20), loss=LOSS)
    def run_random_traffic(self, seed, rounds, loss):
        self.cluster.run_random_traffic(random.Random(seed), rounds, self._recent_keys(), loss)

    @rule(seed=SEED, count=st.integers(1, 40), loss=st.sampled_from([0.0, 0.5, 1.0]))
    def deliver_in_random_order(self, seed, count, loss):
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
    def inject_fault(self, node, kind):
        self._inject_fault(node, kind)

    @rule(kind=KIND, rounds=st.integers(0, 6))
    def inject_fault_at_primary(self, kind, rounds):
        name = self._members()[0]
        self._inject_fault(name, kind)
        self.cluster.advance_with_repairs(rounds)

    @rule(times=st.integers(1, 3))
    def crash_primaries_between_repairs(self, times):
        for _ in range(times):
            self.cluster.crash(self._members()[0])
            self.cluster.advance_with_repairs(REPAIR_ROUNDS)

    @rule(lost=st.integers(1, 2), misses_groups=st.booleans(), rounds=st.integers(1, 8), seed=SEED)
    def crash_remaining_members_after_a_repair(self, lost, misses_groups, rounds, seed):
        """Crash members, continue calls during the repair, then crash the remaining members."""
        self.cluster.restore_all()
        members = self._members()
        for name in members[-lost:]:
            self.cluster.crash(name)
        self.cluster.advance_until_lease_ends()
        self.cluster.change_group_immediately()
        self.cluster.change_group_immediately()
        self.cluster.nodes[members[0]].receives_groups = not misses_groups
        self.cluster.run_random_traffic(random.Random(seed), rounds, self._recent_keys(), 0.3)
        self.cluster.advance_with_repairs(4)
        for name in members[:-lost]:
            self.cluster.crash(name)
            self.cluster.advance_with_repairs(REPAIR_ROUNDS)

    @rule(rounds=st.integers(1, 4), seed=SEED)
    def replace_primary_that_misses_the_change(self, rounds, seed):
        self.cluster.restore_all()
        primary = self._members()[0]
        self._inject_fault(primary, "leave")
        self.cluster.advance_with_repairs(rounds)
        self._inject_fault(primary, "no-groups")
        self.cluster.advance_with_repairs(4)
        self.use_new_key()
        for name in (self._members()[0], primary):
            self.cluster.request(name, KEYS[self.key_count - 1], b"f")
            self.cluster.deliver_some(random.Random(seed), 40, 0.0)

    @rule(kind=st.sampled_from(["crash", "pause", "no-control"]), is_accepted=st.booleans())
    def fail_every_member(self, kind, is_accepted):
        for node in self._members():
            self._inject_fault(node, kind)
        self.cluster.advance_with_repairs(REPAIR_ROUNDS)
        if is_accepted:
            self.cluster.accept_loss()

    @rule()
    def restore_all(self):
        self.cluster.restore_all()

    @rule(rounds=st.integers(1, REPAIR_ROUNDS))
    def advance_with_repairs(self, rounds):
        self.cluster.advance_with_repairs(rounds)

    @rule(times=st.integers(1, 4))
    def change_groups_immediately(self, times):
        for _ in range(times):
            self.cluster.change_group_immediately()

    @precondition(lambda self: self.cluster.proposals)
    @rule(seed=SEED)
    def commit(self, seed):
        self.cluster.commit(seed % len(self.cluster.proposals))

    def _inject_fault(self, name, kind):
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
            case "no-groups":
                node.receives_groups = False
            case "leave":
                self.cluster.leaving.add(format_member(node.instance))

    def _recent_keys(self):
        return KEYS[self.key_count - RECENT_KEYS : self.key_count]

    def _members(self):
        return [member.partition("#")[0] for member in self.cluster.groups[SERVICE].members]


ClaimsTest = ClaimsMachine.TestCase
ClaimsTest.settings = settings(max_examples=max(MIN_EXAMPLES, settings().max_examples))
