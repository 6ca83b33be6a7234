import unittest

from bendwind_core.attempts import AttemptId, HandOver, owner
from bendwind_core.attempts import owner_events as ov
from bendwind_core.world import Repeat, UpstreamState


class LinkEpochTest(unittest.TestCase):
    """Test an owner whose upstream has one slot."""

    def setUp(self):
        self.owner_state = owner.create_owner_state("u", 1, 16)
        owner.step(self.owner_state, ov.UpstreamAnnounced(1, 1, UpstreamState.READY), 0.0)

    def hand_over(self, sequence, epoch):
        attempt = AttemptId("e", 1, sequence)
        message = HandOver(attempt, 1, "s", "u", "GET", b"/", (), 1000.0, Repeat.IDEMPOTENT, 1)
        return owner.step(self.owner_state, ov.HandOverArrived(message, epoch), 0.0)

    def test_hand_over_on_later_link_drops_attempts_of_earlier_link(self):
        # The attempt of the earlier link kept waiting if the hand-over arrived before LinkOpened.
        self.hand_over(1, 1)
        self.hand_over(2, 1)
        effects = self.hand_over(3, 2)
        self.assertEqual([queued.epoch for queued in self.owner_state.waiting.values()], [2])
        self.assertIsInstance(effects[0], ov.CancelDispatch)
        self.assertEqual(owner.step(self.owner_state, ov.LinkOpened("e", 1, 2), 0.0), [])

    def test_hand_over_on_earlier_link_is_ignored(self):
        self.hand_over(1, 2)
        self.assertEqual(self.hand_over(2, 1), [])
        self.assertFalse(self.owner_state.waiting)


if __name__ == "__main__":
    unittest.main()
