import types
import unittest

import msgspec

from bendwind_core.attempts import AttemptId, HandOver, NotRunReason, owner
from bendwind_core.attempts import owner_events as ov
from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.attempts.call import Attempt, AttemptState, create_call
from bendwind_core.limits import RetryBudget
from bendwind_core.world import Instance, Repeat, Rule, Service, Upstream, UpstreamState
from bendwind_node.calls.call_facts import (
    make_call_facts,
    make_dispatch_facts,
    make_refusal_facts,
)
from bendwind_node.membership import ConfigurationBasis

UPSTREAM = Upstream("u", "s", Instance("o", "north", "", 0, 1), 3, 30)


def make_hand_over(sequence, **more):
    fields = {"remaining_ms": 400.0, "repeat": Repeat.NEVER, "version": 1, "route": "r", **more}
    attempt = AttemptId("e", 1, sequence)
    return HandOver(attempt, 1, "s", "u", "GET", b"/", (), **fields)


class OwnerFactsTest(unittest.TestCase):
    def setUp(self):
        self.owner_state = owner.create_owner_state("u", 1, 16, slot_share=0.8)
        self.feed(ov.UpstreamAnnounced(3, 30, UpstreamState.READY), 0.0)

    def feed(self, event, now):
        return owner.step(self.owner_state, event, now)

    def receive_hand_over(self, message, now=0.0):
        return self.feed(ov.HandOverArrived(message, 1), now)

    def test_refusal_from_the_queue_states_its_waiting_time(self):
        for sequence in (1, 2, 3):
            self.receive_hand_over(make_hand_over(sequence), 0.1)
        (refused,) = self.feed(ov.Tick(), 0.5)
        facts = make_refusal_facts(
            self.owner_state, refused.hand_over, refused.reason, 0.5, refused.queue_time
        )
        self.assertEqual((refused.reason, facts.waited_ms), (NotRunReason.DEADLINE, 400.0))

    def test_refusal_on_arrival_has_no_waiting_time(self):
        (refused,) = self.receive_hand_over(make_hand_over(1, remaining_ms=0.0))
        self.assertIsNone(refused.queue_time)
        facts = make_refusal_facts(self.owner_state, refused.hand_over, refused.reason, 0.0)
        self.assertNotIn(b"waited_ms", msgspec.json.encode(facts))

    def test_facts_include_rank_customer_and_slot_limit(self):
        message = make_hand_over(1, rank=2, customer="mill")
        refusal = make_refusal_facts(self.owner_state, message, NotRunReason.BUSY, 0.0)
        dispatch = make_dispatch_facts(self.owner_state, message, 0.4, 9, 0.0)
        for facts in (refusal, dispatch):
            self.assertEqual((facts.rank, facts.customer), (2, "mill"))
            self.assertEqual((facts.limit, facts.slots), (2, 3))
        self.assertEqual((dispatch.version, dispatch.entry_version), (9, 1))

    def test_default_values_are_omitted(self):
        self.owner_state.slot_share = 1.0
        dispatch = msgspec.json.encode(
            make_dispatch_facts(self.owner_state, make_hand_over(1, version=9), 0.4, 9, 0.0)
        )
        for name in (b"rank", b"customer", b"limit", b"entry_version"):
            self.assertNotIn(name, dispatch)


class CallFactsTest(unittest.TestCase):
    def test_facts_include_rank_customer_and_the_wait_reported_by_an_owner(self):
        service, rule = Service("s", ("*",)), Rule("*", name="r", priority=1)
        ids, budget = AttemptIds("e", 1), RetryBudget(0.1)
        call = create_call("c", service, rule, 2.0, ids, budget, rank=3, customer="mill")
        busy = Attempt(
            AttemptId("e", 1, 1),
            UPSTREAM,
            AttemptState.NOT_RUN,
            NotRunReason.BUSY,
            wait_ms=41.26,
            sent_at=0.1,
            ended_at=0.15,
        )
        call.attempts += [busy, Attempt(AttemptId("e", 1, 2), UPSTREAM, sent_at=0.15)]
        basis = ConfigurationBasis(7, 1900.04, 9)
        run = types.SimpleNamespace(
            call=call, arrived_at=0.0, heads={}, quota_grant=None, basis=basis
        )
        facts = make_call_facts(run, 503, 0.2)
        self.assertEqual((facts.version, facts.age_ms, facts.newest), (7, 1900.0, 9))
        self.assertEqual((facts.rank, facts.customer), (3, "mill"))
        self.assertEqual([attempt.wait_ms for attempt in facts.attempts], [41.3, None])
        self.assertEqual(msgspec.json.encode(facts).count(b"wait_ms"), 1)


if __name__ == "__main__":
    unittest.main()
