"""Count and take the tokens of one account of a voter."""

from bendwind_core.core import Seconds
from bendwind_core.quotas.bucket import ROUNDING, refill, take
from bendwind_core.quotas.voter_state import MAX_TAKINGS, Taking, VoterAccount, VoterQuotas


def count_available(account: VoterAccount, now: Seconds) -> float:
    """Return what a bucket holds and what was borrowed beside it.

    Units: tokens, whole or parts of one.
    """
    refill(account.bucket, now)
    account_borrowed = sum(part.tokens for part in account.borrowed if part.expires_at > now)
    return account.bucket.level + account_borrowed


def count_whole(account: VoterAccount, now: Seconds) -> int:
    """Return how many whole tokens there are, borrowed ones among them."""
    return int(count_available(account, now) + ROUNDING)


def take_tokens(
    quotas: VoterQuotas, name: str, account: VoterAccount, tokens: float, now: Seconds
) -> int:
    """Take tokens for a grant or loan, first what was borrowed; return the number of it."""
    number = quotas.next_number
    quotas.next_number += 1
    own = tokens - _use_borrowed(account, tokens, now)
    if own > ROUNDING:
        take(account.bucket, own, number, now)
        remember(quotas, number, Taking(name, own, now))
    return number


def _use_borrowed(account: VoterAccount, tokens: float, now: Seconds) -> float:
    used = 0.0
    for part in account.borrowed:
        if part.expires_at > now:
            share = min(part.tokens, tokens - used)
            part.tokens -= share
            used += share
    return used


def remember(quotas: VoterQuotas, number: int, taking: Taking) -> None:
    """Keep in mind what was taken, so that it can come back."""
    quotas.takings[number] = taking
    if len(quotas.takings) > MAX_TAKINGS:
        quotas.takings.popitem(last=False)
