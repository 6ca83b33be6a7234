"""Check how late a node applies a change while some voters, or their links, carry nothing."""

import unittest
import unittest.mock

from bendwind_core.membership import ConfigurationFetched, renewal, step_view
from bendwind_core.membership.tests import fakes
from bendwind_core.membership.tests.fakes import SERVICES, TIMES, World
from bendwind_core.world import Service

SEEDS = 20
STEP = 0.05


def start_world(seed):
    world = World(seed)
    world.start_node("n0", "dc0")
    world.accept((Service(SERVICES[0], ("*",)),))
    world.advance(2 + 0.1 * seed)
    return world


def silence(world, *voters):
    world.cut |= {frozenset(("n0", voter)) for voter in voters}


def find_lag(world, number):
    """Return how long after its acceptance the node applies a change."""
    world.accept((Service(SERVICES[0], (str(number),)),))
    accepted_at, version = world.now, world.accepted[-1][1].version
    while world.nodes["n0"].view.version < version:
        world.advance(STEP)
        assert world.now < accepted_at + 60, "never applied"
    return world.now - accepted_at


def make_recorder(effects):
    def step(*arguments):
        stepped = step_view(*arguments)
        effects.extend(stepped)
        return stepped

    return step


class SilentVotersTest(unittest.TestCase):
    # Failure: a node heard of changes from the voter that it was attached to, and from no other.
    # While it went from one silent voter to the next, a second for each, it served by old routes.
    def test_change_is_applied_within_the_lease_while_two_of_three_voters_are_silent(self):
        lags = []
        for seed in range(SEEDS):
            world = start_world(seed)
            order = world.nodes["n0"].view.attachment.order
            silence(world, *order[:2])
            lags.append(find_lag(world, 2))
        self.assertLess(max(lags), TIMES.provable_lease)

    def test_change_from_another_voter_is_reported_with_its_name(self):
        world = start_world(0)
        view = world.nodes["n0"].view
        former, effects = view.voter, []
        silence(world, former)
        with unittest.mock.patch.object(fakes, "step_view", make_recorder(effects)):
            find_lag(world, 2)
        [fetched] = [one for one in effects if isinstance(one, ConfigurationFetched)]
        self.assertEqual(fetched.version, view.version)
        self.assertNotEqual(fetched.voter, former)

    # Failure: a node that returned to its preferred voter ended what the former one sent before the
    # preferred one had sent anything.
    def test_return_to_a_silent_preferred_voter_delays_no_change(self):
        lags = []
        for seed in range(SEEDS):
            world = start_world(seed)
            preferred = world.nodes["n0"].view.attachment.order[0]
            silence(world, preferred)
            world.advance(3 * TIMES.lease)
            with unittest.mock.patch.object(renewal, "_REPLIES_PER_RETURN", 1):
                world.advance(2 * TIMES.heartbeat)
                lags.append(find_lag(world, 2))
        self.assertLess(max(lags), TIMES.provable_lease)

    # Failure: a node whose voter was cut off from the others, and did not know it yet, moved only
    # half a lease after a peer had stated a newer version.
    def test_change_that_a_peer_states_is_fetched_from_another_voter(self):
        lags = []
        for seed in range(SEEDS):
            world = start_world(seed)
            world.start_node("n1", "dc1")
            world.advance(2)
            voter = world.nodes["n0"].view.voter
            world.cut |= {frozenset((voter, other)) for other in world.voters if other != voter}
            world.advance(0.1)
            world.accept((Service(SERVICES[0], ("2",)),))
            accepted_at, version = world.now, world.accepted[-1][1].version
            while world.nodes["n0"].view.version < version:
                world.advance(STEP)
                world.exchange_hello("n0", "n1")
            lags.append(world.now - accepted_at)
        self.assertLess(max(lags), TIMES.confirmation_limit)


if __name__ == "__main__":
    unittest.main()
