import random
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import trio
import trio.testing
from expression import Error, Ok

from bendwind_core import consensus
from bendwind_core.membership import LeaseTimes, VoterPlace
from bendwind_core.plans import ControlState
from bendwind_core.runs import ReportRuns, RunRecord, RunsRecorded
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.claims.placer import ClaimPlacer
from bendwind_node.control.service import LogClient, open_control
from bendwind_node.control.voter import Applied, VoterStopped
from bendwind_node.operators import NoQuorum, NotLeader, OutcomeUnknown
from bendwind_node.runs import VoterRunTask


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


class TestControlService(unittest.TestCase):
    def run_with(self, check):
        """Run a check beside the service of a single voter, whose messages are kept."""

        async def main():
            place, settings = VoterPlace("v"), consensus.ReplicaSettings(0.02, 0.2)
            self.sent, self.recorder = [], Recorder("v", lambda: 0, 1000)
            with tempfile.TemporaryDirectory() as folder, trio.fail_after(20):
                self.service = open_control(
                    place,
                    (place,),
                    Path(folder),
                    settings,
                    LeaseTimes(),
                    lambda to, message: self.sent.append((to, message)),
                    self.recorder,
                    random.Random(1),
                ).ok
                async with trio.open_nursery() as nursery:
                    await nursery.start(self.service.run)
                    await check()
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def report(self, number):
        record = RunRecord("n", "u", "s", 0, number)
        while ("n", RunsRecorded(number)) not in self.sent:
            self.service.runs.receive("n", ReportRuns(number, (record,)))
            await trio.sleep(0.05)

    def count_faults(self):
        return sum(event.kind is EventKind.TASK_FAILED for event in self.recorder.events)

    def test_fault_of_what_only_proposes_ends_neither_the_voter_nor_its_other_tasks(self):
        async def check():
            await self.report(1)
            with (
                mock.patch.object(ClaimPlacer, "propose_changes", side_effect=RuntimeError("a")),
                mock.patch.object(VoterRunTask, "_take_batch", side_effect=RuntimeError("b")),
            ):
                self.service.runs.receive("n", ReportRuns(2, ()))
                while self.count_faults() < 2:
                    await trio.sleep(0.05)
            await self.report(3)

        self.run_with(check)


if __name__ == "__main__":
    unittest.main()
