"""Read entries that an earlier release acknowledged; its ranges were wider than those of today."""

import sys
import unittest

from bendwind_core.membership import ConfigurationChanged
from bendwind_core.membership.routing_changes import RoutingChange
from bendwind_core.messages import decode_message, encode_message
from bendwind_core.plans import (
    ControlState,
    PutRevision,
    RecordRuns,
    decode_command,
    encode_command,
)
from bendwind_core.runs import RunRecord
from bendwind_core.world import (
    CallerLimits,
    Customer,
    Repeat,
    Routing,
    SplitPart,
    StaleAction,
    WarmUpRule,
    create_route,
    create_routed_service,
)

WHOLE = (-(2**63), -5, 0, 2**63, 2**64 - 1)
REAL = (-sys.float_info.max, -5.0, 0.0, 5e-324, 1e308, sys.float_info.max)


def make_revision(whole, real):
    route = create_route(
        "r",
        "h",
        "/",
        (SplitPart("s", whole),),
        repeat=Repeat.NEVER,
        timeout_ms=real,
        target_latency_ms=real,
        attempts=whole,
        priority=whole,
    )
    service = create_routed_service(
        "s", "/", StaleAction.SERVE, near_first=True, warm_up=WarmUpRule(real, real)
    )
    limits = CallerLimits(whole, whole, real, real)
    customer = Customer("c", (b"k",), whole, real, real)
    return PutRevision((service,), Routing(7, (route,), limits), b"{}", (customer,))


class KeptNumbersTest(unittest.TestCase):
    def test_entry_with_any_number_that_the_log_holds_is_applied_and_sent_to_nodes(self):
        for whole in WHOLE:
            for real in REAL:
                revision = make_revision(whole, real)
                entry = encode_command(revision).ok
                self.assertEqual(decode_command(entry), revision)
                state = ControlState()
                state.apply(1, entry)
                kept = ControlState()
                kept.restore(state.snapshot())
                routing = kept.configuration.routing
                change = RoutingChange(routing.revision, routing.limits, routing.routes)
                message = ConfigurationChanged(1, kept.configuration.services, routing=change)
                self.assertEqual(decode_message(encode_message(message)).ok, message)

    def test_run_with_any_number_that_the_log_holds_is_applied(self):
        for whole in WHOLE:
            entry = encode_command(RecordRuns(5, (RunRecord("n", "u", "s", whole, whole),))).ok
            state = ControlState()
            state.apply(1, entry)
            kept = ControlState()
            kept.restore(state.snapshot())


if __name__ == "__main__":
    unittest.main()
