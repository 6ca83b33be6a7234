import unittest

from bendwind_core.claims import ClaimGroup
from bendwind_core.membership import ConfigurationAccepted, ConfigurationChanged
from bendwind_core.membership.tests.fakes import SERVICES, VOTERS, World

GROUP = ClaimGroup(SERVICES[0], 2, ("n1#1",))


class ClaimGroupConfirmationTest(unittest.TestCase):
    def test_groups_stay_unconfirmed_while_newer_push_is_lost(self):
        world = World(seed=6)
        world.start_node("n0", "dc0")
        world.advance(3)
        view = world.nodes["n0"].view
        groups_confirmed_at = view.groups_confirmed_at
        self.assertIsNotNone(groups_confirmed_at)
        send = world.send

        def lose_push(name, effect):
            if not isinstance(effect.message, ConfigurationChanged):
                send(name, effect)

        world.send = lose_push
        for voter in VOTERS:
            world.step(voter, ConfigurationAccepted(world.accepted[-1][1], (GROUP,)))
        world.advance(1)
        groups_confirmed_at = view.groups_confirmed_at
        confirmed = view.confirmed_at
        world.advance(5)
        self.assertEqual(view.groups_confirmed_at, groups_confirmed_at)
        self.assertGreater(view.confirmed_at, confirmed)
        world.send = send
        world.advance(3)
        self.assertEqual(view.claim_groups, {SERVICES[0]: GROUP})
        self.assertGreater(view.groups_confirmed_at, groups_confirmed_at)


if __name__ == "__main__":
    unittest.main()
