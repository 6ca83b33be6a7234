"""Fuzz quotas: in any window, no more requests run than permitted, whatever fails."""

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from bendwind_core.core.tests import profiles  # noqa: F401
from bendwind_core.quotas import QuotaLoan, QuotaLoanRequest, QuotaReply, QuotaRequest, QuotaReturn
from bendwind_core.quotas.tests import fuzz_actions as actions
from bendwind_core.quotas.tests.fuzz_world import FuzzWorld

PAUSES = st.sampled_from(actions.PAUSES)
PICKS = st.integers(0, 1_000)
# Most sequences that Hypothesis generates are short; several faults coincide only in long walks.
WALKS = 60
ACTIONS_PER_WALK = 80
BURSTS = (40.0, 1.0)


class QuotaMachine(RuleBasedStateMachine):
    """Run two nodes and three voters that serve one customer that sends more than its quota."""

    def __init__(self):
        super().__init__()
        self.world = FuzzWorld()

    def find_node(self, pick):
        return self.world.processes[self.world.nodes[pick % len(self.world.nodes)]]

    def find_voter(self, pick):
        voters = self.world.list_voters()
        return voters[pick % len(voters)]

    @rule(requests_per_step=st.sampled_from([0, 1, 1, 3]))
    def request_rate_changes(self, requests_per_step):
        self.world.requests_per_step = requests_per_step

    @rule(pick=PICKS, number=st.integers(1, 40))
    def requests_arrive_together(self, pick, number):
        actions.send_requests(self.world, self.find_node(pick), number)

    @rule(pause=PAUSES, are_confirmed=st.booleans())
    def time_passes(self, pause, are_confirmed):
        self.world.pass_time(pause, are_confirmed)

    @rule(pause=PAUSES)
    def everything_is_suspended(self, pause):
        self.world.now += pause

    @rule(pick=PICKS, pause=PAUSES)
    def node_is_suspended(self, pick, pause):
        actions.suspend_node(self.world, self.find_node(pick), pause)

    @rule()
    def requests_start_or_stop_returning_tokens(self):
        self.world.returns_tokens = not self.world.returns_tokens

    @rule()
    def messages_are_held(self):
        self.world.holds_messages = True

    @rule()
    def held_messages_are_delivered(self):
        actions.deliver_all(self.world)

    @rule(pick=PICKS, is_kept=st.booleans())
    def one_message_is_delivered(self, pick, is_kept):
        actions.deliver_one(self.world, pick, is_kept)

    @rule(pick=PICKS)
    def messages_are_delivered_in_reverse(self, pick):
        actions.deliver_in_reverse(self.world, pick)

    @rule()
    def messages_are_lost(self):
        self.world.held_messages.clear()

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
    def some_requests_return_tokens_late(self, number, newer):
        actions.return_some(self.world, number, newer)

    def teardown(self):
        excess = self.world.find_excess()
        assert not excess, excess


class ChangingLimitMachine(QuotaMachine):
    """Change the customer's limit as well."""

    @rule(limit=st.sampled_from(actions.LIMITS))
    def limit_changes(self, limit):
        self.world.set_limit(limit)

    @rule(pause=PAUSES, is_gone=st.booleans())
    def customer_or_its_limit_is_removed_and_restored(self, pause, is_gone):
        actions.remove_and_restore(self.world, pause, is_gone)

    @rule(pause=PAUSES, is_gone=st.booleans())
    def voters_restart_while_customer_or_its_limit_is_removed(self, pause, is_gone):
        actions.remove_and_restore(self.world, pause, is_gone, are_restarted=True)


class TestQuotas(QuotaMachine.TestCase):
    """Run the machine with a constant limit, against the narrowest bound."""


class TestChangingLimits(ChangingLimitMachine.TestCase):
    """Run the machine with a changing limit."""


class TestWalks(unittest.TestCase):
    """Run long random walks of the same actions, each with its own seed."""

    def run_walks(self, has_changes):
        ran = 0
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                # Large buckets reveal tokens that accumulate, small ones tokens that leak.
                world = FuzzWorld(BURSTS[seed % len(BURSTS)])
                actions.run_walk(world, seed, ACTIONS_PER_WALK, has_changes)
                self.assertEqual(world.find_excess(), "")
                ran += len(world.runs)
        # Walks in which no request runs would prove nothing.
        self.assertGreater(ran, 50 * WALKS)

    def test_no_more_requests_run_than_permitted_with_a_constant_limit(self):
        self.run_walks(has_changes=False)

    def test_no_more_requests_run_than_permitted_with_a_changing_limit(self):
        self.run_walks(has_changes=True)

    def test_no_more_requests_run_when_voters_restart_without_the_customer_or_its_limit(self):
        for is_gone in (True, False):
            with self.subTest(is_gone=is_gone):
                world = FuzzWorld(burst=40.0)
                world.requests_per_step = 3
                world.pass_time(2.0)
                for _ in range(4):
                    actions.remove_and_restore(world, 0.3, is_gone, are_restarted=True)
                    world.pass_time(0.4)
                self.assertEqual(world.find_excess(), "")
                self.assertGreater(len(world.runs), 50)

    def test_no_more_requests_run_when_half_return_their_token_and_messages_are_duplicated(self):
        for duplicated in (QuotaReturn, QuotaReply, QuotaLoan, QuotaRequest, QuotaLoanRequest):
            with self.subTest(duplicated=duplicated.__name__):
                world = FuzzWorld(burst=40.0)
                world.duplicated_types = (duplicated,)
                world.returns_tokens = True
                world.requests_per_step = 3
                world.pass_time(17.0)
                self.assertEqual(world.find_excess(), "")
                self.assertGreater(len(world.runs), 100)


if __name__ == "__main__":
    unittest.main()
