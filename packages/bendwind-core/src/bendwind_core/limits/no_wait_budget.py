"""Bound how many tries may end at owners that are busy.

A try that may not wait finds a free upstream without a queue, but under lasting overload each of
them is a message for nothing. Tries that are taken earn further ones, those sent back pay.
"""

import msgspec

# Tries that each call earns. While nothing is free, calls go straight to a queue and only one in
# five tries, so that a node finds out within some calls that an upstream is free again.
TOKENS_PER_CALL = 0.2
# Tries that a taken one earns, so that they go on while one in five is taken: a try costs a round
# trip, where a queue costs the caller the time of other requests.
TOKENS_PER_ACCEPTED = 4.0
# Tries that may be saved up, those of five calls: of a sudden rush, no more are sent back.
MAX_NO_WAIT_TOKENS = 40.0
_ONE_TOKEN = 1.0 - 1e-9


class NoWaitBudget(msgspec.Struct):
    """Hold the tries that one service's calls may still have sent back; it starts full."""

    tokens: float = MAX_NO_WAIT_TOKENS


def earn_by_call(budget: NoWaitBudget) -> None:
    """Credit the budget for one call."""
    budget.tokens = min(MAX_NO_WAIT_TOKENS, budget.tokens + TOKENS_PER_CALL)


def earn_by_no_wait_attempt(budget: NoWaitBudget) -> None:
    """Credit the budget for a try, which counts as taken until it is sent back."""
    budget.tokens = min(MAX_NO_WAIT_TOKENS, budget.tokens + TOKENS_PER_ACCEPTED)


def spend_on_refusal(budget: NoWaitBudget, *, is_no_wait: bool) -> None:
    """Charge the budget for what was sent back; a try gives back what it earned."""
    cost = 1.0 + TOKENS_PER_ACCEPTED if is_no_wait else 1.0
    budget.tokens = max(0.0, budget.tokens - cost)


def may_send_no_wait(budget: NoWaitBudget) -> bool:
    """Tell whether a call may try once more without waiting."""
    return budget.tokens >= _ONE_TOKEN
