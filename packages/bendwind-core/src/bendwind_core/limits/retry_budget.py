"""Limit how many retries and hedges the calls of a service may add."""

import math

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.limits.no_wait_budget import NoWaitBudget

MAX_RETRY_TOKENS = 10.0
# Half-life of the saved tokens above one retry. When a fault affects all nodes, all of them spend
# their tokens at its start: ten tokens saved at each of 95 nodes are twice the retries that users
# allow in ten seconds, by the model in tests/test_retry_budget.py.
SAVED_TOKENS_HALF_LIFE: Seconds = 5.0
# The sum of ten times 0.1 is slightly less than 1 in floating point.
_ONE_TOKEN = 1.0 - 1e-9
# If a resend needed none, a fault that all of 300 nodes see would exceed the permitted retries.
_RESEND_TOKENS = 0.5 - 1e-9


class RetryBudget(msgspec.Struct):
    """Hold the retries earned by first attempts and not yet spent.

    The budget starts empty, so that the attempts of a service never exceed its first attempts
    times 1 + `ratio`, but for resends that were permitted at the same time. Saved tokens above one
    retry decay. `no_wait` limits refused attempts, which cost no upstream anything.
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
    """Return whether the budget allows one more attempt."""
    return budget.tokens >= _ONE_TOKEN


def may_resend(budget: RetryBudget) -> bool:
    """Return whether an owner may send a request again over another connection if its own breaks.

    Half of it may be charged to calls to come.
    """
    return budget.ratio > 0.0 and budget.tokens >= _RESEND_TOKENS


def charge_resend(budget: RetryBudget) -> None:
    """Charge a request that was sent again, also if the budget holds less."""
    budget.tokens = max(-budget.cap, budget.tokens - 1.0)


def spend_retry(budget: RetryBudget) -> bool:
    """Charge one more attempt; return False, and charge nothing, if the budget is too low."""
    if not may_retry(budget):
        return False
    budget.tokens = max(0.0, budget.tokens - 1.0)
    return True
