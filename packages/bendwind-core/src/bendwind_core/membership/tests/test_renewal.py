import unittest

from bendwind_core.membership import ServiceWatched
from bendwind_core.membership.attachment import order_voters
from bendwind_core.membership.renewal import MAX_WATCHED
from bendwind_core.membership.tests.fakes import PLACES, SERVICES, World
from bendwind_core.world import Service


class WatchTest(unittest.TestCase):
    def test_names_of_no_service_do_not_push_out_services_nor_grow(self):
        world = World(seed=7)
        world.accept((Service(SERVICES[0], ("*",)),))
        world.start_node("n0", "dc0")
        world.advance(2)
        for number in range(3 * MAX_WATCHED):
            world.step("n0", ServiceWatched(f"no-such-{number}"))
        world.advance(3)
        view = world.nodes["n0"].view
        self.assertEqual(len(view.holdings.watched), MAX_WATCHED)
        self.assertLessEqual(view.pending, view.holdings.watched.keys())
        self.assertIn(SERVICES[0], view.services)
        self.assertTrue(view.is_complete and world.is_fresh("n0"))


class OrderTest(unittest.TestCase):
    def test_own_data_centre_comes_first_and_the_rest_spreads(self):
        self.assertEqual(order_voters("n0", "n0", "dc1", PLACES)[0], "v1")
        self.assertEqual(order_voters("v2", "v2", "dc1", PLACES)[0], "v2")
        firsts = [order_voters(f"n{n}", f"n{n}", "elsewhere", PLACES)[0] for n in range(300)]
        for place in PLACES:
            self.assertGreater(firsts.count(place.name), 70)


if __name__ == "__main__":
    unittest.main()
