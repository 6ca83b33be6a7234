import unittest

import trio
import trio.testing
from expression import Error, Ok

from bendwind_core.plans import MAX_COMMAND_BYTES, ControlState, RunsKept
from bendwind_core.runs import (
    MAX_RUNS_PER_INSTANCE,
    ForwardRuns,
    ReportRuns,
    RunRecord,
    RunsRecorded,
    create_run_keeper,
    has_left,
    report_run,
)
from bendwind_core.runs.record import MAX_RECORD_BYTES
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import UpstreamState
from bendwind_node.operators import NoQuorum
from bendwind_node.runs import NodeRunTask, VoterRunTask
from bendwind_node.runs.node_task import RECORD_TIMEOUT

READY, GONE = UpstreamState.READY, UpstreamState.GONE
# The first number that no entry of the log can hold.
TOO_LARGE = 2**64


class Log:
    """Commit the commands of all voters; `has_quorum` says whether it accepts any."""

    def __init__(self):
        self.commands = []
        self.leader = "v1"
        self.has_quorum = True


class Client:
    """Implement the operations of one voter that the task uses."""

    def __init__(self, name, log):
        self.name = name
        self.log = log
        self.state = ControlState()
        self.barriers = 0

    def leader(self):
        return self.log.leader

    async def propose(self, command):
        await trio.sleep(0.01)
        if not self.log.has_quorum:
            return Error(NoQuorum())
        self.log.commands.append(command)
        self.apply()
        return Ok(RunsKept())

    async def barrier(self):
        self.barriers += 1
        await trio.sleep(0.01)
        if not self.log.has_quorum:
            return Error(NoQuorum())
        self.apply()
        return Ok(len(self.log.commands))

    def apply(self):
        for index in range(self.state.applied, len(self.log.commands)):
            self.state.apply(index + 1, self.log.commands[index])


class Inbox:
    """Keep what a node of another release receives."""

    def __init__(self):
        self.messages = []

    def receive(self, sender, message):
        self.messages.append(message)


class Network:
    """Connect two voters and any number of nodes; `lost` holds names that receive nothing."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.log = Log()
        self.tasks = {}
        self.clients = {}
        self.lost = set()
        self.recorder = Recorder("n", lambda: 0, 1000)
        for name in ("v1", "v2"):
            client = self.clients[name] = Client(name, self.log)
            send = self.make_sender(name)
            self.tasks[name] = VoterRunTask(name, 1, client, send, lambda: 1000, self.recorder)
            nursery.start_soon(self.tasks[name].run)

    def make_sender(self, sender):
        def send(to, message):
            if to not in self.lost and sender not in self.lost:
                self.tasks[to].receive(sender, message)

        return send

    def add_node(self, name, incarnation=1, voters=("v2", "v1")):
        keeper = create_run_keeper(name, incarnation, is_loaded=False)
        task = NodeRunTask(
            keeper, lambda: voters, self.make_sender(name), self.recorder, lambda: None
        )
        self.tasks[name] = task
        self.nursery.start_soon(task.run)
        return task

    def add_inbox(self, name):
        inbox = self.tasks[name] = Inbox()
        return inbox

    def kinds(self):
        return [event.kind for event in self.recorder.events]


class TasksTest(unittest.TestCase):
    def run_with(self, check):
        async def main():
            with trio.fail_after(60):
                async with trio.open_nursery() as nursery:
                    await check(Network(nursery))
                    nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.01))

    def test_departure_is_confirmed_through_a_follower_and_known_to_the_next_process(self):
        async def check(network):
            node = network.add_node("n1")
            report_run(node.keeper, "u1", GONE)
            self.assertTrue(await node.wait_recorded("u1"))
            following = network.add_node("n1", incarnation=2)
            await following.wait_loaded()
            self.assertTrue(has_left(following.keeper, "u1"))
            self.assertIn(EventKind.RUNS_LOADED, network.kinds())

        self.run_with(check)

    def test_departure_is_not_confirmed_without_a_quorum_but_recorded_once_there_is_one(self):
        async def check(network):
            node = network.add_node("n1")
            network.log.has_quorum = False
            report_run(node.keeper, "u1", GONE)
            started_at = trio.current_time()
            self.assertFalse(await node.wait_recorded("u1"))
            self.assertAlmostEqual(trio.current_time() - started_at, RECORD_TIMEOUT, places=1)
            self.assertIn(EventKind.RUN_NOT_RECORDED, network.kinds())
            network.log.has_quorum = True
            await trio.sleep(1.0)
            self.assertTrue(await node.wait_recorded("u1"))

        self.run_with(check)

    def test_node_turns_to_the_next_voter_if_one_does_not_answer(self):
        async def check(network):
            network.lost.add("v2")
            node = network.add_node("n1")
            await node.wait_loaded()
            report_run(node.keeper, "u1", GONE)
            self.assertTrue(await node.wait_recorded("u1"))

        self.run_with(check)

    def test_reports_without_a_leader_are_recorded_after_an_election(self):
        async def check(network):
            network.log.leader = None
            node = network.add_node("n1")
            report_run(node.keeper, "u1", GONE)
            self.assertFalse(await node.wait_recorded("u1"))
            network.log.leader = "v2"
            await trio.sleep(1.0)
            self.assertTrue(await node.wait_recorded("u1"))

        self.run_with(check)

    def test_many_nodes_share_commands_and_quorum_rounds(self):
        async def check(network):
            nodes = [network.add_node(f"n{number}") for number in range(300)]
            for node in nodes:
                report_run(node.keeper, "u1", READY, "s", 0, 1)
                node.wake()
            for node in nodes:
                await node.wait_loaded()
                self.assertTrue(await node.wait_recorded("u1"))
            self.assertLess(len(network.log.commands), 10)
            self.assertLess(network.clients["v2"].barriers, 10)

        self.run_with(check)

    def test_node_reports_for_its_own_instance_only(self):
        async def check(network):
            node = network.add_node("n1")
            other = RunRecord("n2", "u2", "s", 0, 1, GONE)
            network.tasks["v1"].receive("n1", ReportRuns(7, (other,)))
            await node.wait_loaded()
            await trio.sleep(1.0)
            self.assertEqual(network.clients["v1"].state.runs.by_instance, {})

        self.run_with(check)

    def test_report_that_no_entry_can_hold_is_dropped_and_those_beside_it_are_recorded(self):
        async def check(network):
            for voter in ("v1", "v2"):
                inbox = network.add_inbox("n2")
                bad = RunRecord("n2", "u2", "s", 0, TOO_LARGE, READY)
                beside = RunRecord("n2", "u3", "s", 0, 1, READY)
                good = network.add_node("n1")
                report_run(good.keeper, "u1", GONE)
                network.tasks[voter].receive("n2", ReportRuns(7, (bad, beside)))
                self.assertTrue(await good.wait_recorded("u1"))
                await trio.sleep(1.0)
                self.assertEqual(inbox.messages, [RunsRecorded(7, ("u2",))])
                runs = network.clients["v1"].state.runs.by_instance
                names = {instance: list(kept) for instance, kept in runs.items()}
                self.assertEqual(names, {"n1": ["u1"], "n2": ["u3"]})
                self.assertIn(EventKind.COMMAND_REFUSED, network.kinds())

        self.run_with(check)

    def test_node_is_told_at_once_of_a_report_that_no_entry_can_hold_and_sends_it_no_more(self):
        async def check(network):
            node = network.add_node("n1")
            await node.wait_loaded()
            report_run(node.keeper, "u1", READY, "s", 0, TOO_LARGE)
            started_at = trio.current_time()
            self.assertFalse(await node.wait_recorded("u1"))
            self.assertLess(trio.current_time() - started_at, RECORD_TIMEOUT / 2)
            await trio.sleep(2.0)
            self.assertEqual(network.kinds().count(EventKind.COMMAND_REFUSED), 1)
            # A later announcement with a number in the range is recorded again.
            report_run(node.keeper, "u1", READY, "s", 0, 2)
            self.assertTrue(await node.wait_recorded("u1"))

        self.run_with(check)

    def test_node_forgets_what_a_voter_says_no_entry_can_hold(self):
        async def check(network):
            node = network.add_node("n1")
            await node.wait_loaded()
            network.log.leader = None
            report_run(node.keeper, "u1", GONE, "s", 0, 9)
            node.wake()
            await trio.sleep(0.1)
            number = node.keeper.unrecorded["u1"]
            node.receive("v1", RunsRecorded(number, ("u1",)))
            self.assertFalse(await node.wait_recorded("u1"))
            self.assertFalse(has_left(node.keeper, "u1"))
            self.assertEqual(node.keeper.unrecorded, {})

        self.run_with(check)

    def test_leader_drops_what_another_voter_forwards_and_no_entry_can_hold(self):
        async def check(network):
            good = RunRecord("n1", "u1", "s", 0, 1, READY)
            bad = RunRecord("n1", "u2", "s", TOO_LARGE, 1, READY)
            network.tasks["v1"].receive("v2", ForwardRuns(1, (bad, good)))
            await trio.sleep(1.0)
            runs = network.clients["v1"].state.runs.by_instance
            self.assertEqual(list(runs["n1"]), ["u1"])

        self.run_with(check)

    def test_reports_too_large_for_one_command_share_several(self):
        async def check(network):
            service = "s" * (MAX_RECORD_BYTES - 100)
            names = [f"u{number}" for number in range(MAX_RUNS_PER_INSTANCE)]
            nodes = [network.add_node(f"n{number}") for number in range(8)]
            for node in nodes:
                for name in names:
                    report_run(node.keeper, name, READY, service, 0, 1)
                node.wake()
            for node in nodes:
                for name in names:
                    self.assertTrue(await node.wait_recorded(name))
            largest = max(len(command) for command in network.log.commands)
            self.assertLessEqual(largest, MAX_COMMAND_BYTES)
            self.assertGreater(len(network.log.commands), 1)

        self.run_with(check)

    def test_reports_beside_one_that_meets_a_fault_are_recorded(self):
        async def check(network):
            client = network.clients["v1"]
            propose = client.propose

            async def propose_or_fail(command):
                if b"broken" in command:
                    raise RuntimeError("broken")
                return await propose(command)

            client.propose = propose_or_fail
            bad, good = (RunRecord(n, "u", "s", 0, 1, READY) for n in ("broken", "n1"))
            node = network.add_node("n1")
            network.add_inbox("broken")
            network.tasks["v1"].receive("broken", ReportRuns(1, (bad,)))
            network.tasks["v1"].receive("n1", ReportRuns(2, (good,)))
            await node.wait_loaded()
            await trio.sleep(1.0)
            self.assertEqual(list(client.state.runs.by_instance), ["n1"])
            self.assertIn(EventKind.TASK_FAILED, network.kinds())

        self.run_with(check)


if __name__ == "__main__":
    unittest.main()
