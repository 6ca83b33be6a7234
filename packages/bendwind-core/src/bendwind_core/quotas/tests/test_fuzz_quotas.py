"""Fuzz quotas: in any window no more runs than the bound permits, whatever fails."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from bendwind_core.core.tests import profiles  # noqa: F401
from bendwind_core.quotas import QuotaLoan, QuotaLoanRequest, QuotaReply, QuotaRequest, QuotaReturn
from bendwind_core.quotas.tests import fuzz_actions as actions
from bendwind_core.quotas.tests.fuzz_world import FuzzWorld

PAUSES = st.sampled_from(actions.PAUSES)
PICKS = st.integers(0, 1_000)
# Most of what the machines try is short; it takes long walks for several faults to meet.
WALKS = 60
ACTIONS_PER_WALK = 80
BURSTS = (40.0, 1.0)


class QuotaMachine(RuleBasedStateMachine):
    """Have two nodes and three voters serve one customer that asks for more than it may have."""

    def __init__(self):
        super().__init__()
        self.world = FuzzWorld()

    def find_node(self, pick):
        return self.world.processes[self.world.nodes[pick % len(self.world.nodes)]]

    def find_voter(self, pick):
        voters = self.world.list_voters()
        return voters[pick % len(voters)]

    @rule(demand=st.sampled_from([0, 1, 1, 3]))
    def demand_changes(self, demand):
        self.world.demand = demand

    @rule(pick=PICKS, number=st.integers(1, 40))
    def requests_come_at_once(self, pick, number):
        actions.request_often(self.world, self.find_node(pick), number)

    @rule(pause=PAUSES, are_confirmed=st.booleans())
    def time_passes(self, pause, are_confirmed):
        self.world.pass_time(pause, are_confirmed)

    @rule(pause=PAUSES)
    def everything_stands_still(self, pause):
        self.world.now += pause

    @rule(pick=PICKS, pause=PAUSES)
    def node_stands_still(self, pick, pause):
        actions.stand_still(self.world, self.find_node(pick), pause)

    @rule()
    def requests_do_not_run_for_a_while(self):
        self.world.undoes = not self.world.undoes

    @rule()
    def messages_are_held(self):
        self.world.is_holding = True

    @rule()
    def messages_flow(self):
        actions.let_flow(self.world)

    @rule(pick=PICKS, is_kept=st.booleans())
    def one_message_comes(self, pick, is_kept):
        actions.deliver_one(self.world, pick, is_kept)

    @rule(pick=PICKS)
    def messages_come_in_reverse(self, pick):
        actions.deliver_in_reverse(self.world, pick)

    @rule()
    def messages_are_lost(self):
        self.world.held.clear()

    @rule(pick=PICKS)
    def node_restarts(self, pick):
        self.world.start_node(self.find_node(pick).name)

    @rule(pick=PICKS)
    def voter_restarts(self, pick):
        actions.restart_voter(self.world, self.find_voter(pick))

    @rule(pick=PICKS)
    def voter_is_replaced(self, pick):
        actions.replace_voter(self.world, self.find_voter(pick))

    @rule(number=st.integers(1, 60), newer=st.integers(0, 60))
    def some_requests_did_not_run(self, number, newer):
        actions.undo_some(self.world, number, newer)

    def teardown(self):
        excess = self.world.find_excess()
        assert not excess, excess


class ChangingMachine(QuotaMachine):
    """Have its limit change as well."""

    @rule(limit=st.sampled_from(actions.LIMITS))
    def limit_changes(self, limit):
        self.world.set_limit(limit)

    @rule(pause=PAUSES, is_gone=st.booleans())
    def customer_or_its_limit_goes_and_comes_back(self, pause, is_gone):
        actions.come_back(self.world, pause, is_gone)

    @rule(pause=PAUSES, is_gone=st.booleans())
    def voters_restart_while_customer_or_its_limit_is_gone(self, pause, is_gone):
        actions.come_back(self.world, pause, is_gone, are_restarted=True)


class TestQuotas(QuotaMachine.TestCase):
    """Run the machine whose limit stays, against the narrowest bound."""


class TestChangingQuotas(ChangingMachine.TestCase):
    """Run the machine whose limit changes."""


class TestWalks(unittest.TestCase):
    """Run long walks of the same actions, each from its own seed."""

    def walk(self, has_changes):
        ran = 0
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                # What gathers in large buckets shows there, what leaks in small ones.
                world = FuzzWorld(BURSTS[seed % len(BURSTS)])
                actions.walk(world, seed, ACTIONS_PER_WALK, has_changes)
                self.assertEqual(world.find_excess(), "")
                ran += len(world.runs)
        # Walks in which nothing runs would show nothing.
        self.assertGreater(ran, 50 * WALKS)

    def test_no_more_runs_than_permitted_while_the_limit_stays(self):
        self.walk(has_changes=False)

    def test_no_more_runs_than_permitted_while_the_limit_changes(self):
        self.walk(has_changes=True)

    def test_no_more_runs_when_voters_restart_while_the_customer_or_its_limit_is_gone(self):
        for is_gone in (True, False):
            with self.subTest(is_gone=is_gone):
                world = FuzzWorld(burst=40.0)
                world.demand = 3
                world.pass_time(2.0)
                for _ in range(4):
                    actions.come_back(world, 0.3, is_gone, are_restarted=True)
                    world.pass_time(0.4)
                self.assertEqual(world.find_excess(), "")
                self.assertGreater(len(world.runs), 50)

    def test_no_more_runs_while_half_does_not_run_and_messages_come_twice(self):
        for doubled in (QuotaReturn, QuotaReply, QuotaLoan, QuotaRequest, QuotaLoanRequest):
            with self.subTest(doubled=doubled.__name__):
                world = FuzzWorld(burst=40.0)
                world.doubled = (doubled,)
                world.undoes = True
                world.demand = 3
                world.pass_time(17.0)
                self.assertEqual(world.find_excess(), "")
                self.assertGreater(len(world.runs), 100)


if __name__ == "__main__":
    unittest.main()
