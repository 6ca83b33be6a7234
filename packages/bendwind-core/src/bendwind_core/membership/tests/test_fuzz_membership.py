import unittest

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.membership import ServiceWatched, list_alive
from bendwind_core.membership.tests.fakes import SERVICES, TIMES, VOTERS, World
from bendwind_core.world import UpstreamState

NODES = ("n0", "n1", "n2", "n3", "n4")
VOTER = st.sampled_from(VOTERS)
NODE = st.sampled_from(NODES)
# Time limit for a change to reach nodes: changed members and pushes are collected for a moment on
# each of two voters and cross two links.
PUSH = 0.6
SETTLE = 30.0


class MembershipMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.world = World(seed)
        self.disturbed_at = 0.0
        for index, name in enumerate(NODES):
            self.world.start_node(name, f"dc{index % 3}")
        self.world.advance(2)

    def disturb(self):
        self.disturbed_at = self.world.now

    @rule(node=NODE, service=st.sampled_from(SERVICES), state=st.sampled_from(UpstreamState))
    def announce(self, node, service, state):
        if node in self.world.nodes:
            self.world.announce(node, service, state)

    @rule(node=NODE, service=st.sampled_from(SERVICES))
    def watch(self, node, service):
        self.world.step(node, ServiceWatched(service))

    @rule(node=NODE)
    def kill_node(self, node):
        self.world.kill_node(node)

    @rule(node=NODE)
    def start_node(self, node):
        self.world.start_node(node, f"dc{int(node[1]) % 3}")

    @rule(voter=VOTER)
    def stop_voter(self, voter):
        self.disturb()
        self.world.voters.pop(voter, None)

    @rule(voter=VOTER)
    def restart_voter(self, voter):
        self.disturb()
        self.world.voters[voter] = self.world.start_voter(voter)

    @rule(voter=VOTER)
    def cut_voter_from_voters(self, voter):
        self.disturb()
        self.world.cut |= {frozenset((voter, other)) for other in VOTERS if other != voter}

    @rule(voter=VOTER, node=NODE)
    def cut_node_from_voter(self, voter, node):
        self.disturb()
        self.world.cut.add(frozenset((voter, node)))

    @rule(voter=VOTER, node=NODE)
    def lose_link(self, voter, node):
        self.disturb()
        self.world.lose_link(voter, node)

    @rule(number=st.integers(0, 2), is_silent=st.booleans())
    def lose_data_centre(self, number, is_silent):
        self.disturb()
        inside = [name for name in NODES if int(name[1]) % 3 == number]
        if is_silent:
            far = {*VOTERS, *NODES} - {*inside, f"v{number}"}
            near = {*inside, f"v{number}"}
            self.world.cut |= {frozenset((one, other)) for one in near for other in far}
        else:
            for name in inside:
                self.world.kill_node(name)
            self.stop_voter(f"v{number}")

    @rule(number=st.integers(0, 2))
    def lose_announced_data_centre(self, number):
        self.heal()
        for node in self.world.nodes:
            self.world.announce(node, SERVICES[0], UpstreamState.READY)
        self.world.advance(2.0)
        self.lose_data_centre(number, False)
        self.world.advance(5.0)

    @rule(node=NODE, service=st.sampled_from(SERVICES))
    def lose_pushes(self, node, service):
        self.announce(node, service, UpstreamState.READY)
        self.world.advance(0.1)
        self.disturb()
        loss, self.world.loss = self.world.loss, 1.0
        self.world.advance(0.4)
        self.world.loss = loss

    @rule(loss=st.sampled_from((0.0, 0.1, 0.3)), delay=st.sampled_from((0.02, 0.5)))
    def degrade_network(self, loss, delay):
        self.disturb()
        self.world.loss, self.world.repeat, self.world.longest_delay = loss, loss, delay

    @rule()
    def heal(self):
        self.disturb()
        self.world.heal()

    @rule(seconds=st.sampled_from((0.1, 0.5, 2.0, 5.0)))
    def pass_time(self, seconds):
        self.world.advance(seconds)

    @precondition(lambda self: hasattr(self, "world") and self.is_quiet())
    @invariant()
    def check_dead_nodes_removed_within_lease(self):
        world = self.world
        limit = TIMES.lease + PUSH
        for dead in world.deaths:
            if world.now - max(dead.at, self.disturbed_at) > limit:
                for name, upstream in self.list_seen_upstreams():
                    owner = upstream.owner
                    is_dead = (owner.name, owner.incarnation) == (dead.name, dead.incarnation)
                    assert not is_dead, f"{name} still sees {upstream.name} of {dead}"

    def is_quiet(self):
        return not self.world.cut and not self.world.loss and self.world.longest_delay < 0.1

    def list_seen_upstreams(self):
        for name, node in self.world.nodes.items():
            if self.world.is_fresh(name):
                for service in node.view.cache.watched:
                    for upstream in node.view.upstreams(service):
                        yield name, upstream

    @rule()
    def settle(self):
        self.heal()
        for voter in set(VOTERS) - set(self.world.voters):
            self.restart_voter(voter)
        self.world.advance(SETTLE)
        self.check_settled()

    def check_settled(self):
        world = self.world
        for voter in world.voters.values():
            alive = {(node.name, node.incarnation) for node in list_alive(voter.registry)}
            instances = [node.view.instance for node in world.nodes.values()]
            assert alive == {(node.name, node.incarnation) for node in instances}
        for name, node in world.nodes.items():
            assert world.is_fresh(name), f"{name} stays stale"
            for service in node.view.cache.watched:
                self.check_upstreams(name, service)

    def check_upstreams(self, name, service):
        view = self.world.nodes[name].view
        seen = {
            (upstream.name, upstream.owner.incarnation, upstream.state)
            for upstream in view.upstreams(service)
        }
        truth = {
            (upstream.name, upstream.owner.incarnation, upstream.state)
            for upstreams in self.world.truth.values()
            for upstream in upstreams.values()
            if upstream.service == service
        }
        assert seen == truth, f"{name} and the truth differ in {seen ^ truth} of {service}"

    def teardown(self):
        if hasattr(self, "world"):
            self.settle()


FuzzMembership = MembershipMachine.TestCase


if __name__ == "__main__":
    unittest.main()
