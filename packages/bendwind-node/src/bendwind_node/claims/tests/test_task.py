"""Test the claim tasks of three nodes over a simulated network without message loss."""

import contextlib
import unittest
import unittest.mock

import trio
import trio.testing

from bendwind_core.claims import (
    ClaimAnswer,
    ClaimGroup,
    ClaimRefused,
    ClaimState,
    Granted,
    KeyConflict,
    Recorded,
    RefusalReason,
    format_member,
)
from bendwind_core.messages import decode_message, encode_message
from bendwind_core.timeline import Recorder
from bendwind_core.world import Instance
from bendwind_node.claims import (
    LeaseProven,
    PeerClaimMessage,
    create_claim_task,
)

ANSWER = ClaimAnswer(201, ((b"content-type", b"text/plain"),), b"certificate 7")


class Network:
    def __init__(self, names: tuple[str, ...]):
        self.disconnected: set[str] = set()
        self.tasks = {name: self._create(name) for name in names}

    def _create(self, name: str):
        instance = Instance(name, f"dc-{name}", "127.0.0.1", 0, 1)

        def send(to, message):
            if to in self.tasks and not {name, to} & self.disconnected:
                copy = decode_message(encode_message(message)).ok
                self.tasks[to].inbox.send_nowait(PeerClaimMessage(name, copy))

        recorder = Recorder(name, lambda: 0, 100)
        return create_claim_task(instance, ("voter",), send, lambda service: None, recorder)

    def push(self, group: ClaimGroup) -> None:
        for task in self.tasks.values():
            task.inbox.send_nowait(LeaseProven(1e9))
            task.update_groups((group,))

    @contextlib.asynccontextmanager
    async def run(self):
        async with trio.open_nursery() as nursery:
            for task in self.tasks.values():
                nursery.start_soon(task.run)
            members = tuple(format_member(task.instance) for task in self.tasks.values())
            self.push(ClaimGroup("emisor", 1, members))
            await trio.sleep(0.01)
            yield
            nursery.cancel_scope.cancel()


def run(scenario):
    async def main():
        network = Network(("a", "b", "c"))
        async with network.run():
            await scenario(network)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def claim(network, node, call, fingerprint=b"f", wait=2.0):
    deadline = trio.current_time() + wait
    return await network.tasks[node].claim("emisor", "key", fingerprint, call, deadline)


class ClaimTaskTest(unittest.TestCase):
    def test_many_claims_at_a_primary_with_disconnected_members_are_refused(self):
        async def scenario(network):
            network.disconnected.update("abc")
            task = network.tasks["a"]
            refused = []

            async def request_claim(number):
                deadline = trio.current_time() + 2.0
                decision = await task.claim("emisor", f"k{number}", b"f", f"a/{number}", deadline)
                refused.append(isinstance(decision, ClaimRefused))

            async with trio.open_nursery() as nursery:
                for number in range(1000):
                    nursery.start_soon(request_claim, number)
            self.assertEqual(refused, [True] * 1000)

        run(scenario)

    def test_a_retry_through_another_node_gets_the_recorded_answer(self):
        async def scenario(network):
            self.assertEqual(await claim(network, "b", "b/1"), Granted())
            network.tasks["b"].report_outcome("emisor", "key", "b/1", ClaimState.ANSWERED, ANSWER)
            self.assertEqual(await claim(network, "c", "c/1"), Recorded(ANSWER))
            self.assertEqual(await claim(network, "c", "c/2", b"other"), KeyConflict())

        run(scenario)

    def test_a_released_key_is_granted_to_the_waiting_retry(self):
        async def scenario(network):
            await claim(network, "a", "a/1")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._release_soon, network)
                self.assertEqual(await claim(network, "c", "c/1"), Granted())

        run(scenario)

    async def _release_soon(self, network):
        await trio.sleep(0.5)
        network.tasks["a"].release("emisor", "key", "a/1")

    def test_an_unreachable_member_blocks_grants_until_the_group_changes(self):
        async def scenario(network):
            network.disconnected = {"b"}
            self.assertIsInstance(await claim(network, "c", "c/1"), ClaimRefused)
            network.push(ClaimGroup("emisor", 2, ("a#1", "c#1")))
            self.assertEqual(await claim(network, "c", "c/2"), Granted())

        run(scenario)

    def test_a_lost_group_refuses_immediately(self):
        async def scenario(network):
            network.push(ClaimGroup("emisor", 2, ("a#1", "b#1", "c#1"), lost=True))
            await trio.sleep(0.01)
            started = trio.current_time()
            self.assertEqual(await claim(network, "c", "c/1"), ClaimRefused(RefusalReason.LOST))
            self.assertEqual(trio.current_time(), started)

        run(scenario)

    def test_node_without_claims_runs_no_ticks(self):
        async def main():
            recorder = Recorder("a", lambda: 0, 100)
            instance = Instance("a", "dc", "127.0.0.1", 0, 1)
            task = create_claim_task(
                instance, ("voter",), lambda *sent: None, lambda *seen: None, recorder
            )
            with unittest.mock.patch("bendwind_node.claims.task.step_entry") as step_mock:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(task.run)
                    await trio.sleep(60)
                    nursery.cancel_scope.cancel()
            self.assertEqual(step_mock.call_count, 0)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


if __name__ == "__main__":
    unittest.main()
