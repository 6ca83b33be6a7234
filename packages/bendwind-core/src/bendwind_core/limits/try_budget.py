"""Bound how many tries may end at owners that are busy.

A try that may not wait finds a free upstream without a queue, but under lasting overload each of
them is a message for nothing. Tries that are taken earn further ones, those sent back pay.
"""

import msgspec

# Tries that each call earns. While nothing is free, calls go straight to a queue and only one in
# five tries, so that a node finds out within some calls that an upstream is free again.
EARNED_BY_CALL = 0.2
# Tries that a taken one earns, so that they go on while one in five is taken: a try costs a round
# trip, where a queue costs the caller the time of other requests.
EARNED_BY_TAKEN = 4.0
# Tries that may be saved up, those of five calls: of a sudden rush, no more are sent back.
TRY_TOKENS_CAP = 40.0
_ONE_TOKEN = 1.0 - 1e-9


class TryBudget(msgspec.Struct):
    """Hold the tries that one service's calls may still have sent back; it starts full."""

    tokens: float = TRY_TOKENS_CAP


def earn_by_call(budget: TryBudget) -> None:
    """Credit the budget for one call."""
    budget.tokens = min(TRY_TOKENS_CAP, budget.tokens + EARNED_BY_CALL)


def earn_by_try(budget: TryBudget) -> None:
    """Credit the budget for a try, which counts as taken until it is sent back."""
    budget.tokens = min(TRY_TOKENS_CAP, budget.tokens + EARNED_BY_TAKEN)


def pay_sent_back(budget: TryBudget, *, is_try: bool) -> None:
    """Charge the budget for what was sent back; a try gives back what it earned."""
    price = 1.0 + EARNED_BY_TAKEN if is_try else 1.0
    budget.tokens = max(0.0, budget.tokens - price)


def may_try(budget: TryBudget) -> bool:
    """Tell whether a call may try once more without waiting."""
    return budget.tokens >= _ONE_TOKEN
