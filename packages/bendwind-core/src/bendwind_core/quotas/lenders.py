"""Record which other voters can be asked for a loan, and which loan requests are pending."""

from bendwind_core.core import Seconds
from bendwind_core.quotas.bucket import ROUNDING_TOLERANCE
from bendwind_core.quotas.messages import QuotaLoan
from bendwind_core.quotas.voter_state import (
    MAX_PENDING_LOANS,
    RETURN_PERIOD,
    Lender,
    PendingLoan,
    VoterAccount,
    VoterQuotas,
)

# A lender that has no tokens left gets no further loan request until it has refilled by about one
# token. However fast it refills, the pause is at least this long, because it is short of tokens
# itself.
MIN_LENDER_PAUSE: Seconds = 0.1
# Tokens that become available at a lender through returns or a raised limit are found within this
# time.
MAX_LENDER_PAUSE: Seconds = 1.0


def choose_lender(quotas: VoterQuotas, account: VoterAccount, now: Seconds) -> str | None:
    """Return the voter that last reported most lendable tokens, None if all are paused."""
    available = [name for name in quotas.peers if _is_available(account, name, now)]
    # A voter that has not reported yet counts as if its bucket were full.
    unreported = account.bucket.share.cap
    return max(
        available,
        key=lambda name: account.lenders[name].lendable if name in account.lenders else unreported,
        default=None,
    )


def _is_available(account: VoterAccount, name: str, now: Seconds) -> bool:
    lender = account.lenders.get(name)
    return lender is None or now >= lender.available_at


def record_pending_loan(quotas: VoterQuotas, pending_loan: PendingLoan) -> None:
    """Record a loan request until it is answered, also if it is abandoned meanwhile."""
    quotas.pending_loans[pending_loan.number] = pending_loan
    if len(quotas.pending_loans) > MAX_PENDING_LOANS:
        quotas.pending_loans.popitem(last=False)


def record_lender(account: VoterAccount, voter: str, loan: QuotaLoan, now: Seconds) -> None:
    """Record how many tokens a voter reports that it could still lend."""
    available_at = now
    if loan.lendable <= ROUNDING_TOLERANCE:
        until_token = 1.0 / account.bucket.share.rate
        available_at = now + min(MAX_LENDER_PAUSE, max(MIN_LENDER_PAUSE, until_token))
    account.lenders[voter] = Lender(loan.lendable, available_at)


def abandon_pending_loan(account: VoterAccount, now: Seconds) -> None:
    """Stop waiting for a voter's answer; a late answer is still accepted."""
    # Without this pause, each request would wait for a voter that is lost or cut off.
    account.lenders[account.pending_loan.lender] = Lender(0.0, now + MAX_LENDER_PAUSE)
    account.pending_loan = None


def remove_expired_loans(quotas: VoterQuotas, now: Seconds) -> None:
    """Remove loan requests that are too old for an answer to matter."""
    # The lender could no longer refund tokens that it lent for these requests.
    while (
        quotas.pending_loans
        and now - next(iter(quotas.pending_loans.values())).sent_at > RETURN_PERIOD
    ):
        quotas.pending_loans.popitem(last=False)
