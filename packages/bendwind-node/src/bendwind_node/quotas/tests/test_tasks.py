"""Test the quota tasks in virtual time; each test covers one failure."""

import math
import unittest

import trio
import trio.testing

from bendwind_core.attempts import NotRunReason
from bendwind_core.quotas import QuotaBounds, QuotaRequest
from bendwind_core.timeline import EventKind
from bendwind_core.world import Configuration
from bendwind_node.quotas.tests.fakes import QuotaTestCluster, make_customer

QUOTA_EXCEEDED = EventKind.QUOTA_EXCEEDED


def run(scenario, *arguments):
    async def main():
        async with trio.open_nursery() as nursery:
            await scenario(nursery, *arguments)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))


async def acquire_token(node, customer="maria", target_at=None):
    return await node.acquire_token(customer, target_at, math.inf)


async def count_acquired(node, number, customer="maria"):
    """Acquire tokens one after the other; return their number and the last refusal."""
    acquired, refusal = 0, None
    for _ in range(number):
        outcome = await acquire_token(node, customer)
        if outcome.is_ok():
            acquired += 1
        else:
            refusal = outcome.error
    return acquired, refusal


class TestTasks(unittest.TestCase):
    def test_only_customers_with_a_limit_need_tokens(self):
        async def scenario(nursery):
            unlimited = make_customer(rate=0.0, name="free")
            cluster = QuotaTestCluster(nursery, [make_customer(), unlimited])
            node = cluster.add_node("n")
            self.assertTrue(node.is_limited("maria"))
            self.assertFalse(node.is_limited("free"))
            self.assertFalse(node.is_limited("nobody"))
            self.assertFalse(node.is_limited(""))

        run(scenario)

    def test_one_node_gets_the_burst_and_refusals_have_a_retry_time(self):
        async def scenario(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer(10.0, 30.0)])
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            acquired, refusal = await count_acquired(node, 80)
            self.assertGreaterEqual(acquired, 30)
            self.assertLessEqual(acquired, 30 * 1.1 + 10 + 10)
            self.assertEqual(refusal.reason, NotRunReason.OVER_QUOTA)
            self.assertGreater(refusal.retry_after_ms, 0)
            quota_requests = sum(
                isinstance(message, QuotaRequest) for _, _, message in cluster.sent
            )
            await count_acquired(node, 80)
            again = sum(isinstance(message, QuotaRequest) for _, _, message in cluster.sent)
            self.assertEqual(quota_requests, again)

        run(scenario)

    def test_an_excess_is_recorded_at_most_once_per_interval(self):
        async def scenario(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer(10.0, 10.0)])
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            await count_acquired(node, 500)
            records = [event for event in cluster.recorder.events if event.kind is QUOTA_EXCEEDED]
            self.assertEqual(len(records), 1)
            self.assertIn("maria", records[0].detail)
            await trio.sleep(11.0)
            await count_acquired(node, 500)
            records = [event for event in cluster.recorder.events if event.kind is QUOTA_EXCEEDED]
            self.assertEqual(len(records), 2)
            self.assertRegex(records[1].detail, r"; [1-9]\d* more refused before")

        run(scenario)

    def test_requests_just_after_a_quota_request_soon_share_the_next_one(self):
        async def scenario(nursery):
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
            quota_requests = [
                message for _, _, message in cluster.sent if isinstance(message, QuotaRequest)
            ]
            self.assertEqual([request.demands[0].waiting for request in quota_requests], [1, 3])

        run(scenario)

    def test_a_request_after_the_retry_time_gets_a_token(self):
        async def scenario(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer(10.0, 10.0)])
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            _, refusal = await count_acquired(node, 60)
            await trio.sleep(refusal.retry_after_ms / 1000 + 0.001)
            self.assertTrue((await acquire_token(node)).is_ok())

        run(scenario)

    def test_an_unreachable_voter_is_skipped(self):
        async def scenario(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer()])
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            cluster.unreachable.add("v0")
            began = trio.current_time()
            self.assertTrue((await acquire_token(node)).is_ok())
            self.assertLess(trio.current_time() - began, 0.2)
            began = trio.current_time()
            self.assertTrue((await acquire_token(node)).is_ok())
            self.assertLess(trio.current_time() - began, 0.1)

        run(scenario)

    def test_a_voter_cut_off_from_the_quorum_grants_nothing(self):
        async def scenario(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer()], voters=1)
            node = cluster.add_node("n")
            self.assertTrue((await acquire_token(node)).is_ok())
            await trio.sleep(1.1)
            self.assertEqual((await acquire_token(node)).error.reason, NotRunReason.QUOTA_UNKNOWN)

        run(scenario)

    def test_a_restarted_voter_starts_with_an_empty_bucket(self):
        async def scenario(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer(10.0, 100.0)], voters=1)
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            acquired, _ = await count_acquired(node, 200)
            self.assertGreaterEqual(acquired, 100)
            cluster.start_voter("v0", 0, cluster.configuration)
            cluster.confirm()
            await trio.sleep(1.0)
            acquired, _ = await count_acquired(node, 200)
            self.assertGreaterEqual(acquired, 9)
            self.assertLessEqual(acquired, 11)

        run(scenario)

    def test_a_customer_added_again_after_a_voter_restart_has_an_empty_bucket(self):
        async def scenario(nursery):
            customer = make_customer(10.0, 100.0)
            cluster = QuotaTestCluster(nursery, [customer], voters=1)
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            acquired, _ = await count_acquired(node, 200)
            self.assertGreaterEqual(acquired, 100)
            voter = cluster.start_voter("v0", 0, Configuration(2))
            cluster.confirm()
            await trio.sleep(1.0)
            voter.control.configuration = Configuration(3, customers=(customer,))
            voter.refresh_state()
            acquired, _ = await count_acquired(node, 200)
            self.assertGreaterEqual(acquired, 9)
            self.assertLessEqual(acquired, 11)

        run(scenario)

    def test_without_voters_a_request_is_refused_in_time_as_quota_unknown(self):
        async def scenario(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer()])
            node = cluster.add_node("n")
            cluster.unreachable.update(cluster.names)
            for target_at, limit in ((None, 0.25), (0.8, 0.1)):
                began = trio.current_time()
                outcome = await acquire_token(node, target_at=target_at and began + target_at)
                self.assertEqual(outcome.error.reason, NotRunReason.QUOTA_UNKNOWN)
                self.assertLessEqual(outcome.error.retry_after_ms, 1000)
                self.assertLess(trio.current_time() - began, limit + 0.03)

        run(scenario)

    def test_prefetched_tokens_expire_during_a_suspension(self):
        async def scenario(nursery):
            cluster = QuotaTestCluster(nursery, [make_customer(200.0, 200.0)], voters=1)
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            for _ in range(200):
                await acquire_token(node)
                await trio.sleep(0.01)
            account = node.quotas.accounts["maria"]
            self.assertTrue(account.batches)
            cluster.unreachable.add("v0")
            # The clock also counts the time for which the machine was suspended.
            await trio.sleep(QuotaBounds().max_token_age)
            self.assertEqual((await acquire_token(node)).error.reason, NotRunReason.QUOTA_UNKNOWN)

        run(scenario)

    def test_a_returned_token_serves_another_request(self):
        async def scenario(nursery):
            bounds = QuotaBounds(10.0, 0.1, 0.0)
            cluster = QuotaTestCluster(nursery, [make_customer(0.1, 10.0)], voters=1, bounds=bounds)
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            for _ in range(50):
                acquired = await acquire_token(node)
                self.assertTrue(acquired.is_ok())
                node.return_token(acquired.ok)
                await trio.sleep(0.1)

        run(scenario)

    def test_the_token_of_a_cancelled_request_is_returned(self):
        async def scenario(nursery):
            bounds = QuotaBounds(10.0, 0.1, 0.0)
            cluster = QuotaTestCluster(nursery, [make_customer(0.1, 1.0)], voters=1, bounds=bounds)
            nursery.start_soon(cluster.keep_confirming)
            node = cluster.add_node("n")
            with trio.move_on_after(0.0005):
                await acquire_token(node)
            await trio.sleep(0.3)
            self.assertTrue((await acquire_token(node)).is_ok())

        run(scenario)


if __name__ == "__main__":
    unittest.main()
