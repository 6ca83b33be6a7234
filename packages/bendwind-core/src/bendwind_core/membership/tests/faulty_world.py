"""Inject every network and process fault that voters and nodes have to tolerate."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from bendwind_core.membership import ServiceWatched
from bendwind_core.membership.tests.fakes import SERVICES, VOTERS, World

NODES = ("n0", "n1", "n2", "n3")
VOTER = st.sampled_from(VOTERS)
NODE = st.sampled_from(NODES)


class FaultyWorldMachine(RuleBasedStateMachine):
    """Run voters and nodes under faults; `check` asserts what must hold at any time."""

    def start_world(self, seed):
        self.world = World(seed)
        for index, name in enumerate(NODES):
            self.world.start_node(name, f"dc{index}")
        self.world.advance(2)

    def check(self):
        raise NotImplementedError

    @rule(voter=VOTER)
    def cut_voter_from_voters(self, voter):
        self.world.cut |= {frozenset((voter, other)) for other in VOTERS if other != voter}

    @rule(voter=VOTER, node=NODE)
    def cut_node_from_voter(self, voter, node):
        self.world.cut.add(frozenset((voter, node)))

    @rule()
    def heal(self):
        self.world.heal()

    @rule(
        loss=st.sampled_from((0.0, 0.1, 0.5)),
        repeat=st.sampled_from((0.0, 0.3)),
        delay=st.sampled_from((0.02, 0.5, 3.0)),
    )
    def degrade_network(self, loss, repeat, delay):
        self.world.loss, self.world.repeat, self.world.longest_delay = loss, repeat, delay

    @rule(voter=VOTER, share=st.floats(0, 1))
    def restart_voter(self, voter, share):
        # It has a part of the log on disk and receives the rest with its first round.
        known = self.world.voters[voter].applied
        self.world.voters[voter] = self.world.start_voter(voter)
        self.world.apply(voter, round(share * known))

    @rule(node=NODE)
    def restart_node(self, node):
        self.world.start_node(node, f"dc{node[1]}")

    @rule(node=NODE, service=st.sampled_from(SERVICES))
    def watch(self, node, service):
        self.world.step(node, ServiceWatched(service))

    @rule(voter=VOTER, node=NODE)
    def lose_link(self, voter, node):
        self.world.lose_link(voter, node)

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 2.0, 4.0)))
    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.world.advance(0.1)
            self.check()
