"""Limit how many no-wait attempts may be refused by owners that are busy.

A no-wait attempt finds a free upstream without queueing, but under lasting overload each one is a
wasted message. Accepted no-wait attempts earn tokens for further ones; refused attempts cost
tokens.
"""

import msgspec

# Tokens that each call earns. While no upstream is free, calls go directly to a queue and only one
# call in five makes a no-wait attempt, so that a node detects within some calls that an upstream is
# free again.
TOKENS_PER_CALL = 0.2
# Tokens that an accepted no-wait attempt earns, so that such attempts continue while one in five is
# accepted. A no-wait attempt costs the caller a round trip, while a queue costs it the run time of
# other requests.
TOKENS_PER_ACCEPTED = 4.0
# Largest number of tokens, enough for the no-wait attempts of five calls. In a sudden burst of
# requests, no more attempts than this are refused.
MAX_NO_WAIT_TOKENS = 40.0
_ONE_TOKEN = 1.0 - 1e-9


class NoWaitBudget(msgspec.Struct):
    """Hold how many attempts of one service's calls may still be refused; it starts full."""

    tokens: float = MAX_NO_WAIT_TOKENS


def earn_by_call(budget: NoWaitBudget) -> None:
    """Credit the budget for one call."""
    budget.tokens = min(MAX_NO_WAIT_TOKENS, budget.tokens + TOKENS_PER_CALL)


def earn_by_no_wait_attempt(budget: NoWaitBudget) -> None:
    """Credit the budget for a no-wait attempt, which counts as accepted until it is refused."""
    budget.tokens = min(MAX_NO_WAIT_TOKENS, budget.tokens + TOKENS_PER_ACCEPTED)


def spend_on_refusal(budget: NoWaitBudget, *, is_no_wait: bool) -> None:
    """Charge the budget for a refused attempt; a no-wait attempt also returns what it earned."""
    cost = 1.0 + TOKENS_PER_ACCEPTED if is_no_wait else 1.0
    budget.tokens = max(0.0, budget.tokens - cost)


def may_send_no_wait(budget: NoWaitBudget) -> bool:
    """Return whether a call may make one more no-wait attempt."""
    return budget.tokens >= _ONE_TOKEN
