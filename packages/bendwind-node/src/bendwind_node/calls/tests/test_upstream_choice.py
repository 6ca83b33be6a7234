import random
import types
import unittest

from bendwind_core.attempts import NotRunReason
from bendwind_core.routing import record_load, set_upstreams
from bendwind_core.world import Instance, LoadSample, Service, Upstream
from bendwind_node.calls.upstream_choice import (
    RETRY_AFTER_SPREAD,
    choose_next_upstream,
    create_service_state,
)

OWN = Instance("n", "a", "127.0.0.1", 1, incarnation=1)


class UpstreamChoiceTest(unittest.TestCase):
    def choose(self, **load_fields):
        service = Service("s", ("*",))
        service_state = create_service_state(service)
        set_upstreams(service_state.table, [Upstream("u", "s", OWN, 6, 6)], 100.0)
        record_load(
            service_state.table, "u", LoadSample(0, 0, 6, room_wait_ms=1000.0, **load_fields), 100.0
        )
        run = types.SimpleNamespace(call=types.SimpleNamespace(service=service, target_at=100.2))
        rng = random.Random(1)
        return [
            choose_next_upstream(service_state, run, frozenset(), OWN, 100.0, rng, stays_near=False)
            for _ in "abc"
        ]

    def test_callers_refused_by_a_rate_limit_get_different_retry_times(self):
        for limit in (0.0, 6.2):
            refusals = self.choose(limit_per_s=limit)
            self.assertEqual({refusal.reason for refusal in refusals}, {NotRunReason.LIMITED})
            waits = {refusal.wait_ms for refusal in refusals}
            self.assertEqual(len(waits), 3)
            self.assertTrue(all(1000.0 <= wait <= 1000.0 * RETRY_AFTER_SPREAD for wait in waits))

    def test_cold_upstream_without_a_limit_refuses_as_queue_full(self):
        refusals = self.choose()
        self.assertEqual({refusal.reason for refusal in refusals}, {NotRunReason.QUEUE_FULL})


if __name__ == "__main__":
    unittest.main()
