"""Measure the cost of the decisions on a call for its entry node and its owner node."""

import itertools
from collections.abc import Callable

import msgspec

from bendwind_bench.capacity.fixture import INCARNATION, make_service, make_upstream
from bendwind_bench.capacity.pure.codec import make_hand_over
from bendwind_bench.capacity.slope import (
    REPEATS,
    Slope,
    decode,
    encode,
    fit,
    measure_allocation,
    time_median,
)
from bendwind_core.attempts import AttemptId, HandOver, entry, owner
from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.attempts.call import EntryCall, create_call
from bendwind_core.attempts.events import AttemptHead, Begin, SendHandOver
from bendwind_core.attempts.owner_events import (
    DispatchDone,
    DispatchHead,
    HandOverArrived,
    LinkOpened,
    UpstreamAnnounced,
)
from bendwind_core.limits import RetryBudget
from bendwind_core.world import UpstreamState, find_rule

CALLS_IN_FLIGHT = (100, 250, 500, 1000)
BATCHES = (200, 400, 800, 1600)
_ENTRY = "node-00001"


def _make_call(number: int, ids: AttemptIds, budget: RetryBudget) -> EntryCall:
    service = make_service(1)
    rule = find_rule(service, "GET", "/records/1")
    return create_call(f"{_ENTRY}-{number}", service, rule, 2.0, ids, budget)


def _run_entry(count: int) -> int:
    ids, budget = AttemptIds(_ENTRY, INCARNATION), RetryBudget(0.1)
    upstream = make_upstream(2, "service-001")
    for number in range(count):
        call = _make_call(number, ids, budget)
        for effect in entry.step(call, Begin(), 0.0, lambda _: upstream):
            if isinstance(effect, SendHandOver):
                head = AttemptHead(effect.attempt, 200, True)
                entry.step(call, head, 0.01, lambda _: upstream)
    return count


def _make_owner_state(slots: int) -> owner.OwnerState:
    owner_state = owner.create_owner_state("service-001-00001", INCARNATION, 16)
    owner.step(owner_state, UpstreamAnnounced(slots, slots, UpstreamState.READY), 0.0)
    owner.step(owner_state, LinkOpened(_ENTRY, INCARNATION, 1), 0.0)
    return owner_state


def _make_hand_over(sequence: int, body: int = 0) -> HandOver:
    attempt = AttemptId(_ENTRY, INCARNATION, sequence)
    return msgspec.structs.replace(make_hand_over(body), attempt=attempt)


def _run_owner(owner_state: owner.OwnerState, hand_overs: list[HandOver]) -> int:
    for hand_over in hand_overs:
        owner.step(owner_state, HandOverArrived(hand_over, 1), 0.0)
        owner.step(owner_state, DispatchHead(hand_over.attempt, 200, 11.0), 0.01)
        owner.step(owner_state, DispatchDone(hand_over.attempt), 0.01)
    return len(hand_overs)


def _prepare_owner(count: int) -> Callable[[], int]:
    sequences = itertools.count(1)
    batches = [[_make_hand_over(next(sequences)) for _ in range(count)] for _ in range(REPEATS)]
    remaining_batches = iter(batches)
    owner_state = _make_owner_state(12)
    return lambda: _run_owner(owner_state, next(remaining_batches))


def measure_calls() -> dict[str, Slope]:
    """Measure processor time for consecutive calls and memory for calls in flight.

    The line is fitted to the time of all calls, so its slope is the time of one call.
    """
    entry_us, owner_us = [], []
    for count in BATCHES:
        entry_us.append((count, count * time_median(lambda count=count: _run_entry(count))))
        owner_us.append((count, count * time_median(_prepare_owner(count))))
    return {
        "entry_decision_us": fit("Entry node's decisions on a call", "us", "call", entry_us),
        "owner_decision_us": fit("Owner node's decisions on a call", "us", "call", owner_us),
        **_measure_calls_in_flight(),
    }


def _measure_calls_in_flight() -> dict[str, Slope]:
    entry_memory, owner_memory = [], []
    for count in CALLS_IN_FLIGHT:
        entry_memory.append(
            (count, measure_allocation(lambda count=count: _make_entry_calls_in_flight(count))[1])
        )
        owner_memory.append(
            (
                count,
                measure_allocation(lambda count=count: _make_owner_with_calls_in_flight(count))[1],
            )
        )
    return {
        "entry_call_bytes": fit(
            "Memory of a call held by its entry node (decisions only)",
            "bytes",
            "call",
            entry_memory,
        ),
        "owner_call_bytes": fit(
            "Memory of a call held by its owner node, 1 KiB body", "bytes", "call", owner_memory
        ),
    }


def _make_entry_calls_in_flight(count: int) -> list[EntryCall]:
    ids, budget = AttemptIds(_ENTRY, INCARNATION), RetryBudget(0.1)
    upstream = make_upstream(2, "service-001")
    calls = [_make_call(number, ids, budget) for number in range(count)]
    for call in calls:
        entry.step(call, Begin(), 0.0, lambda _: upstream)
    return calls


def _make_owner_with_calls_in_flight(count: int) -> owner.OwnerState:
    owner_state = _make_owner_state(count)
    for sequence in range(1, count + 1):
        # The message is decoded, as from a link, so that each call holds its own strings and body.
        hand_over = decode(encode(_make_hand_over(sequence, 1024)))
        owner.step(owner_state, HandOverArrived(hand_over, 1), 0.0)
    return owner_state
