"""Count and withdraw the tokens of one account of a voter."""

from bendwind_core.core import Seconds
from bendwind_core.quotas.bucket import ROUNDING_TOLERANCE, refill, withdraw
from bendwind_core.quotas.voter_state import (
    MAX_WITHDRAWALS,
    VoterAccount,
    VoterQuotas,
    Withdrawal,
)


def count_available(account: VoterAccount, now: Seconds) -> float:
    """Return how many tokens are available in the bucket and from unexpired loans.

    Units: tokens, including fractions of a token.
    """
    refill(account.bucket, now)
    borrowed = sum(part.tokens for part in account.borrowed if part.expires_at > now)
    return account.bucket.level + borrowed


def count_whole(account: VoterAccount, now: Seconds) -> int:
    """Return how many whole tokens are available, including borrowed tokens."""
    return int(count_available(account, now) + ROUNDING_TOLERANCE)


def withdraw_tokens(
    quotas: VoterQuotas, name: str, account: VoterAccount, tokens: float, now: Seconds
) -> int:
    """Withdraw tokens for a grant or loan, borrowed tokens first; return its number."""
    number = quotas.next_number
    quotas.next_number += 1
    own = tokens - _use_borrowed(account, tokens, now)
    if own > ROUNDING_TOLERANCE:
        withdraw(account.bucket, own, number, now)
        record_withdrawal(quotas, number, Withdrawal(name, own, now))
    return number


def _use_borrowed(account: VoterAccount, tokens: float, now: Seconds) -> float:
    used = 0.0
    for part in account.borrowed:
        if part.expires_at > now:
            share = min(part.tokens, tokens - used)
            part.tokens -= share
            used += share
    return used


def record_withdrawal(quotas: VoterQuotas, number: int, withdrawal: Withdrawal) -> None:
    """Record a withdrawal so that it can be refunded."""
    quotas.withdrawals[number] = withdrawal
    if len(quotas.withdrawals) > MAX_WITHDRAWALS:
        quotas.withdrawals.popitem(last=False)
