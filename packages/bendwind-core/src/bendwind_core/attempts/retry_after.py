"""Estimate when a caller whose request did not run should retry."""

import msgspec

from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.core import MAX_AMOUNT, Milliseconds
from bendwind_core.world import LoadSample

MIN_RETRY_AFTER_MS: Milliseconds = 50.0
MAX_RETRY_AFTER_MS: Milliseconds = 5000.0
# Drains, lease expiry and configuration pushes usually complete within this time.
DEFAULT_RETRY_AFTER_MS: Milliseconds = 1000.0

_LOAD_REASONS = frozenset(
    {
        NotRunReason.SHED,
        NotRunReason.QUEUE_FULL,
        NotRunReason.OVERLOADED,
        NotRunReason.DEPENDENCY_FULL,
        NotRunReason.LIMITED,
    }
)


class NoCapacity(msgspec.Struct, frozen=True):
    """Report that every upstream is cold or rate-limited and cannot serve a request in time.

    Units: `wait_ms` is the time until the first of them can, in milliseconds.
    """

    wait_ms: Milliseconds
    reason: NotRunReason = NotRunReason.QUEUE_FULL


def bound_retry_after_ms(wait_ms: Milliseconds) -> Milliseconds:
    """Return the time clamped to a range that is neither too short nor too long for a retry."""
    return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))


def bound_wait_ms(wait_ms: Milliseconds | None) -> Milliseconds | None:
    """Return a wait that may be infinite as one with which times stay finite."""
    return None if wait_ms is None else min(wait_ms, MAX_AMOUNT)


def estimate_retry_after_ms(reason: NotRunReason, load: LoadSample | None) -> Milliseconds:
    """Return the time after which a slot should be free, by the last load sample."""
    if reason is NotRunReason.BUSY and load is not None:
        return bound_retry_after_ms(load.wait_ms)
    if reason not in _LOAD_REASONS:
        return DEFAULT_RETRY_AFTER_MS
    if load is None or load.slots <= 0:
        return MIN_RETRY_AFTER_MS
    backlog = (load.in_flight + load.queued) / load.slots
    return bound_retry_after_ms(max(backlog * load.latency_ms, load.room_wait_ms))
