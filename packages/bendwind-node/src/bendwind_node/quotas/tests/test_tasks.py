"""Test the tasks of quotas in virtual time, one failure each."""

import math
import unittest

import trio
import trio.testing

from bendwind_core.attempts import NotRunReason
from bendwind_core.quotas import QuotaAsk, QuotaBounds
from bendwind_core.timeline import EventKind
from bendwind_core.world import Configuration
from bendwind_node.quotas.tests.fakes import QuotaTestCluster, make_customer

QUOTA_EXCEEDED = EventKind.QUOTA_EXCEEDED


def run(play, *arguments):
    async def main():
        async with trio.open_nursery() as nursery:
            await play(nursery, *arguments)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))


async def acquire_token(node, customer="maria", target_at=None):
    return await node.acquire_token(customer, target_at, math.inf)


async def count_taken(node, number, customer="maria"):
    """Take tokens one after the other; return how many there were and the last refusal."""
    taken, refusal = 0, None
    for _ in range(number):
        outcome = await acquire_token(node, customer)
        if outcome.is_ok():
            taken += 1
        else:
            refusal = outcome.error
    return taken, refusal


class TestTasks(unittest.TestCase):
    def test_only_customers_with_a_limit_need_tokens(self):
        async def play(nursery):
            free = make_customer(rate=0.0, name="free")
            cluster = QuotaTestCluster(nursery, [make_customer(), free])
            node = cluster.add_node("n")
            self.assertTrue(node.is_limited("maria"))
            self.assertFalse(node.is_limited("free"))
            self.assertFalse(node.is_limited("nobody"))
            self.assertFalse(node.is_limited(""))

        run(play)

    def test_the_burst_is_had_at_one_node_and_what_is_beyond_is_refused_with_a_time(self):
        async def play(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer(10.0, 30.0)])
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            taken, refusal = await count_taken(node, 80)
            self.assertGreaterEqual(taken, 30)
            self.assertLessEqual(taken, 30 * 1.1 + 10 + 10)
            self.assertEqual(refusal.reason, NotRunReason.OVER_QUOTA)
            self.assertGreater(refusal.retry_after_ms, 0)
            asks = sum(isinstance(message, QuotaAsk) for _, _, message in cluster.sent)
            await count_taken(node, 80)
            again = sum(isinstance(message, QuotaAsk) for _, _, message in cluster.sent)
            self.assertEqual(asks, again)

        run(play)

    def test_an_excess_is_recorded_once_in_a_while_however_much_is_refused(self):
        async def play(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer(10.0, 10.0)])
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            await count_taken(node, 500)
            told = [event for event in cluster.recorder.events if event.kind is QUOTA_EXCEEDED]
            self.assertEqual(len(told), 1)
            self.assertIn("maria", told[0].detail)
            await trio.sleep(11.0)
            await count_taken(node, 500)
            told = [event for event in cluster.recorder.events if event.kind is QUOTA_EXCEEDED]
            self.assertEqual(len(told), 2)
            self.assertRegex(told[1].detail, r"; [1-9]\d* more refused before")

        run(play)

    def test_requests_that_come_just_after_an_ask_share_the_next_one_soon(self):
        async def play(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer()])
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            began = trio.current_time()
            nursery.start_soon(acquire_token, node)
            await trio.sleep(0.0005)
            async with trio.open_nursery() as others:
                for _ in range(3):
                    others.start_soon(acquire_token, node)
            self.assertLess(trio.current_time() - began, 0.01)
            asks = [message for _, _, message in cluster.sent if isinstance(message, QuotaAsk)]
            self.assertEqual([ask.wants[0].waiting for ask in asks], [1, 3])

        run(play)

    def test_after_the_time_told_there_is_room(self):
        async def play(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer(10.0, 10.0)])
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            _, refusal = await count_taken(node, 60)
            await trio.sleep(refusal.retry_after_ms / 1000 + 0.001)
            self.assertTrue((await acquire_token(node)).is_ok())

        run(play)

    def test_a_voter_that_is_lost_is_passed_over(self):
        async def play(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer()])
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            cluster.lost.add("v0")
            began = trio.current_time()
            self.assertTrue((await acquire_token(node)).is_ok())
            self.assertLess(trio.current_time() - began, 0.2)
            began = trio.current_time()
            self.assertTrue((await acquire_token(node)).is_ok())
            self.assertLess(trio.current_time() - began, 0.1)

        run(play)

    def test_a_voter_cut_off_from_the_quorum_grants_nothing(self):
        async def play(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer()], voters=1)
            node = cluster.add_node("n")
            self.assertTrue((await acquire_token(node)).is_ok())
            await trio.sleep(1.1)
            self.assertEqual((await acquire_token(node)).error.reason, NotRunReason.QUOTA_UNKNOWN)

        run(play)

    def test_a_voter_that_restarts_begins_empty(self):
        async def play(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer(10.0, 100.0)], voters=1)
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            taken, _ = await count_taken(node, 200)
            self.assertGreaterEqual(taken, 100)
            cluster.start_voter("v0", 0, cluster.configuration)
            cluster.confirm()
            await trio.sleep(1.0)
            taken, _ = await count_taken(node, 200)
            self.assertGreaterEqual(taken, 9)
            self.assertLessEqual(taken, 11)

        run(play)

    def test_a_customer_put_back_after_its_voter_restarted_begins_empty(self):
        async def play(nursery):
            customer = make_customer(10.0, 100.0)
            cluster = QuotaTestCluster(nursery, [customer], voters=1)
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            taken, _ = await count_taken(node, 200)
            self.assertGreaterEqual(taken, 100)
            voter = cluster.start_voter("v0", 0, Configuration(2))
            cluster.confirm()
            await trio.sleep(1.0)
            voter.control.configuration = Configuration(3, customers=(customer,))
            voter.take_state()
            taken, _ = await count_taken(node, 200)
            self.assertGreaterEqual(taken, 9)
            self.assertLessEqual(taken, 11)

        run(play)

    def test_without_any_voter_a_request_is_refused_as_not_known_in_time(self):
        async def play(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer()])
            node = cluster.add_node("n")
            cluster.lost.update(cluster.names)
            for target_at, limit in ((None, 0.25), (0.8, 0.1)):
                began = trio.current_time()
                outcome = await acquire_token(node, target_at=target_at and began + target_at)
                self.assertEqual(outcome.error.reason, NotRunReason.QUOTA_UNKNOWN)
                self.assertLessEqual(outcome.error.retry_after_ms, 1000)
                self.assertLess(trio.current_time() - began, limit + 0.03)

        run(play)

    def test_tokens_kept_ahead_end_with_a_suspension(self):
        async def play(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer(200.0, 200.0)], voters=1)
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            for _ in range(200):
                await acquire_token(node)
                await trio.sleep(0.01)
            stock = node.quotas.stocks["maria"]
            self.assertTrue(stock.batches)
            cluster.lost.add("v0")
            # The clock counts the time for which the machine stood still.
            await trio.sleep(QuotaBounds().age)
            self.assertEqual((await acquire_token(node)).error.reason, NotRunReason.QUOTA_UNKNOWN)

        run(play)

    def test_a_token_that_comes_back_serves_another_request(self):
        async def play(nursery):
            bounds = QuotaBounds(10.0, 0.1, 0.0)
            cluster = QuotaTestCluster(nursery, [make_customer(0.1, 10.0)], voters=1, bounds=bounds)
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            for _ in range(50):
                taken = await acquire_token(node)
                self.assertTrue(taken.is_ok())
                node.return_token(taken.ok)
                await trio.sleep(0.1)

        run(play)

    def test_a_request_whose_caller_left_leaves_its_token(self):
        async def play(nursery):
            bounds = QuotaBounds(10.0, 0.1, 0.0)
            cluster = QuotaTestCluster(nursery, [make_customer(0.1, 1.0)], voters=1, bounds=bounds)
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            with trio.move_on_after(0.0005):
                await acquire_token(node)
            await trio.sleep(0.3)
            self.assertTrue((await acquire_token(node)).is_ok())

        run(play)


if __name__ == "__main__":
    unittest.main()
