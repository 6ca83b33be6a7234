"""Bound how many retries and hedges a service's calls may add."""

import msgspec

RETRY_TOKENS_CAP = 10.0
# Ten times 0.1 is a little under 1 in floating point.
_ONE_TOKEN = 1.0 - 1e-9


class RetryBudget(msgspec.Struct):
    """Hold the retries earned by first attempts and not yet spent.

    The budget starts empty, so that the attempts of a service never exceed its first attempts
    times 1 + `ratio`.
    """

    ratio: float
    cap: float = RETRY_TOKENS_CAP
    tokens: float = 0.0


def earn_retry(budget: RetryBudget) -> None:
    """Credit the budget for one first attempt."""
    budget.tokens = min(budget.cap, budget.tokens + budget.ratio)


def may_retry(budget: RetryBudget) -> bool:
    """Tell whether one more attempt can be paid for."""
    return budget.tokens >= _ONE_TOKEN


def spend_retry(budget: RetryBudget) -> bool:
    """Pay for one more attempt; return False, and pay nothing, where that cannot be."""
    if not may_retry(budget):
        return False
    budget.tokens = max(0.0, budget.tokens - 1.0)
    return True
