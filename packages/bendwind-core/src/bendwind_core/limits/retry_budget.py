"""Bound how many retries and hedges a service's calls may add."""

import math

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.limits.no_wait_budget import NoWaitBudget

MAX_RETRY_TOKENS = 10.0
# Of what is saved above one retry half is gone after this time. All nodes spend together at the
# first moment of a fault that all see: ten saved at each of 95 nodes were twice what users allow
# in ten seconds, by the model in tests/test_retry_budget.py.
SAVED_TOKENS_HALF_LIFE: Seconds = 5.0
# Ten times 0.1 is a little under 1 in floating point.
_ONE_TOKEN = 1.0 - 1e-9


class RetryBudget(msgspec.Struct):
    """Hold the retries earned by first attempts and not yet spent.

    The budget starts empty, so that the attempts of a service never exceed its first attempts
    times 1 + `ratio`; what is saved above one retry fades. `tries` bounds what costs no upstream
    anything.
    """

    ratio: float
    cap: float = MAX_RETRY_TOKENS
    tokens: float = 0.0
    credited_at: Seconds = -math.inf
    no_wait: NoWaitBudget = msgspec.field(default_factory=NoWaitBudget)


def earn_retry(budget: RetryBudget, now: Seconds) -> None:
    """Credit the budget for one first attempt."""
    kept = min(budget.tokens, _ONE_TOKEN)
    saved = (budget.tokens - kept) * 0.5 ** ((now - budget.credited_at) / SAVED_TOKENS_HALF_LIFE)
    budget.tokens = min(budget.cap, kept + saved + budget.ratio)
    budget.credited_at = now


def may_retry(budget: RetryBudget) -> bool:
    """Tell whether one more attempt can be paid for."""
    return budget.tokens >= _ONE_TOKEN


def spend_retry(budget: RetryBudget) -> bool:
    """Pay for one more attempt; return False, and pay nothing, where that cannot be."""
    if not may_retry(budget):
        return False
    budget.tokens = max(0.0, budget.tokens - 1.0)
    return True
