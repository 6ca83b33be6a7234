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
    """Answer a proposal with a fixed result; `stopped` is the reason if it had stopped before."""

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

    def test_propose_returns_the_result_of_applying(self):
        self.assertEqual(self.propose(Ok(Applied(3, "value"))).ok, "value")

    def test_error_names_the_leader_if_this_voter_does_not_lead(self):
        refused = Error(consensus.NotLeader("b"))
        self.assertEqual(self.propose(refused).error, NotLeader("b"))

    def test_no_quorum_is_reported_only_if_the_voter_stopped_before_the_proposal(self):
        # NoQuorum was also reported if the voter stopped after it had sent the command to others,
        # where the command could still be committed.
        stopped = Error(VoterStopped("disk failed"))
        self.assertIsInstance(self.propose(stopped, "disk failed").error, NoQuorum)
        self.assertIsInstance(self.propose(stopped).error, OutcomeUnknown)

    def test_lost_and_late_proposals_have_an_unknown_outcome(self):
        self.assertIsInstance(self.propose(Error(consensus.LeadershipLost())).error, OutcomeUnknown)
        self.assertIsInstance(self.propose(None).error, OutcomeUnknown)
