"""Check how plans are stored, confirmed and evicted."""

import unittest
from unittest import mock

from bendwind_core.plans import (
    Changes,
    Confirmed,
    ConfirmPlan,
    ControlState,
    CreatePlan,
    EvictedPlan,
    UnknownPlan,
    encode_command,
    plan_table,
)
from bendwind_core.world import Service

LONG_MS = 1_000_000
SHORT_MS = 1


def propose(state: ControlState, command) -> object:
    return state.apply(state.applied + 1, encode_command(command).ok)


def create(state: ControlState, now_ms: int, ttl_ms: int = LONG_MS) -> object:
    changes = Changes((Service("emisor", ("emisor-*",), longest_wait_ms=float(now_ms)),))
    version = state.configuration.version
    return propose(state, CreatePlan(f"r{now_ms}", b"", version, changes, now_ms, ttl_ms))


class EvictionTest(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(plan_table, "MAX_CLOSED_PLANS", 2)
        patch.start()
        self.addCleanup(patch.stop)
        self.state = ControlState()

    def test_outcome_of_an_old_plan_confirmed_late_is_kept(self):
        old = create(self.state, 0).plan
        for now_ms in range(1, 5):
            create(self.state, now_ms, SHORT_MS)
        outcome = propose(self.state, ConfirmPlan(old.index, 10))
        self.assertIsInstance(outcome, Confirmed)
        self.assertEqual(propose(self.state, ConfirmPlan(old.index, 11)), outcome)

    def test_evicted_plan_is_distinguished_from_unknown_plan(self):
        plans = [create(self.state, now_ms, SHORT_MS).plan for now_ms in range(5)]
        self.assertEqual(
            propose(self.state, ConfirmPlan(plans[0].index, 10)), EvictedPlan(plans[0].id)
        )
        self.assertEqual(propose(self.state, ConfirmPlan(99, 11)), UnknownPlan("p99"))


if __name__ == "__main__":
    unittest.main()
