import unittest

import trio
import trio.testing
from expression import Error, Ok

from bendwind_core import consensus
from bendwind_core.plans import ControlState
from bendwind_node.control.service import LogClient
from bendwind_node.control.voter import Applied, VoterStopped
from bendwind_node.operators import NoQuorum, NotLeader, OutcomeUnknown


class FakeVoter:
    """Answer a proposal as told; `stops` before or while it is under way."""

    def __init__(self, answer, stopped=None):
        self.answer = answer
        self.stopped = stopped

    async def propose(self, command):
        if self.answer is None:
            await trio.sleep_forever()
        return self.answer


class TestLogClient(unittest.TestCase):
    def propose(self, answer, stopped=None):
        client = LogClient(FakeVoter(answer, stopped), ControlState(), ())
        return trio.run(client.propose, b"", clock=trio.testing.MockClock(autojump_threshold=0.0))

    def test_returns_what_applying_gave(self):
        self.assertEqual(self.propose(Ok(Applied(3, "value"))).ok, "value")

    def test_names_the_leader_where_nothing_was_proposed(self):
        refused = Error(consensus.NotLeader("b"))
        self.assertEqual(self.propose(refused).error, NotLeader("b"))

    def test_says_nothing_was_accepted_only_if_the_voter_had_stopped_before(self):
        # It was said too when the voter stopped with the command already on its way to others.
        stopped = Error(VoterStopped("disk failed"))
        self.assertIsInstance(self.propose(stopped, "disk failed").error, NoQuorum)
        self.assertIsInstance(self.propose(stopped).error, OutcomeUnknown)

    def test_lost_and_late_proposals_have_an_unknown_outcome(self):
        self.assertIsInstance(self.propose(Error(consensus.LeadershipLost())).error, OutcomeUnknown)
        self.assertIsInstance(self.propose(None).error, OutcomeUnknown)
