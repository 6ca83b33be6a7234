import random
import unittest

from bendwind_core.membership import LinkLost, ServiceWatched, create_node_view, step_view
from bendwind_core.membership.attachment import order_voters
from bendwind_core.membership.registration import MAX_WATCHED
from bendwind_core.membership.tests.fakes import PLACES, SERVICES, TIMES, World
from bendwind_core.world import Instance, Service


class WatchTest(unittest.TestCase):
    def test_unknown_service_names_evict_no_service_and_are_bounded(self):
        world = World(seed=7)
        world.accept((Service(SERVICES[0], ("*",)),))
        world.start_node("n0", "dc0")
        world.advance(2)
        for number in range(3 * MAX_WATCHED):
            world.step("n0", ServiceWatched(f"no-such-{number}"))
        world.advance(3)
        view = world.nodes["n0"].view
        self.assertEqual(len(view.cache.watched), MAX_WATCHED)
        self.assertLessEqual(view.pending, view.cache.watched.keys())
        self.assertIn(SERVICES[0], view.services)
        self.assertTrue(view.is_complete and world.is_fresh("n0"))


class FirstContactTest(unittest.TestCase):
    """Lose the link to the voter, as happens with each in turn after all processes restarted."""

    def find_longest_wait(self, has_received_reply):
        longest = 0.0
        for seed in range(20):
            rng = random.Random(seed)
            instance = Instance("n0", "dc0", "127.0.0.1", 1, 1)
            view = create_node_view(instance, PLACES, TIMES, 0.0, rng)
            view.attachment.has_received_reply = has_received_reply
            step_view(view, LinkLost(view.voter), 1.0, rng)
            longest = max(longest, view.attachment.next_heartbeat_at - 1.0)
        return longest

    def test_node_without_any_reply_retries_soon(self):
        # Failure: half of the nodes attached to a voter only half a second after it listened.
        self.assertLess(self.find_longest_wait(has_received_reply=False), 0.15)

    def test_heartbeats_spread_over_one_interval_after_link_loss(self):
        self.assertGreater(self.find_longest_wait(has_received_reply=True), 0.5 * TIMES.heartbeat)


class OrderTest(unittest.TestCase):
    def test_own_data_centre_is_preferred_and_other_nodes_are_spread(self):
        self.assertEqual(order_voters("n0", "n0", "dc1", PLACES)[0], "v1")
        self.assertEqual(order_voters("v2", "v2", "dc1", PLACES)[0], "v2")
        firsts = [order_voters(f"n{n}", f"n{n}", "elsewhere", PLACES)[0] for n in range(300)]
        for place in PLACES:
            self.assertGreater(firsts.count(place.name), 70)


if __name__ == "__main__":
    unittest.main()
