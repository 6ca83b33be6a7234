"""Keep in mind which other voters may be asked for a loan, and what they were asked."""

from bendwind_core.core import Seconds
from bendwind_core.quotas.bucket import ROUNDING
from bendwind_core.quotas.messages import QuotaLoan
from bendwind_core.quotas.voter_state import (
    MAX_PULLS,
    UNDONE_FOR,
    Lender,
    Pulling,
    VoterAccount,
    VoterQuotas,
)

# A lender that has nothing left is not asked again until it has filled by about a token. However
# fast it fills, it is left alone for at least this long: it is short itself.
SHORTEST_PAUSE: Seconds = 0.1
# Room that comes back at a lender, by what is given back or by a raised limit, is found within
# this.
LONGEST_PAUSE: Seconds = 1.0


def choose_lender(quotas: VoterQuotas, account: VoterAccount, now: Seconds) -> str | None:
    """Return the voter that had most by its last word, None if all are left alone."""
    free = [name for name in quotas.peers if _may_ask(account, name, now)]
    unheard = account.bucket.share.cap
    return max(
        free,
        key=lambda name: account.lenders[name].left if name in account.lenders else unheard,
        default=None,
    )


def _may_ask(account: VoterAccount, name: str, now: Seconds) -> bool:
    lender = account.lenders.get(name)
    return lender is None or now >= lender.available_at


def remember_pull(quotas: VoterQuotas, pulling: Pulling) -> None:
    """Keep a question in mind until it is answered, be it after it was given up."""
    quotas.pulls[pulling.number] = pulling
    if len(quotas.pulls) > MAX_PULLS:
        quotas.pulls.popitem(last=False)


def note_lender(account: VoterAccount, voter: str, loan: QuotaLoan, now: Seconds) -> None:
    """Take over a voter's word about what it could still lend."""
    available_at = now
    if loan.left <= ROUNDING:
        until_token = 1.0 / account.bucket.share.rate
        available_at = now + min(LONGEST_PAUSE, max(SHORTEST_PAUSE, until_token))
    account.lenders[voter] = Lender(loan.left, available_at)


def give_up_pull(account: VoterAccount, now: Seconds) -> None:
    """Wait no longer for a voter's answer; one that comes late is still heard."""
    # A voter that is lost or cut off should not be waited for by every request.
    account.lenders[account.pulling.lender] = Lender(0.0, now + LONGEST_PAUSE)
    account.pulling = None


def forget_pulls(quotas: VoterQuotas, now: Seconds) -> None:
    """Forget the questions that nobody needs to answer any more."""
    # The lender could not put back any more what it lent for these.
    while quotas.pulls and now - next(iter(quotas.pulls.values())).sent_at > UNDONE_FOR:
        quotas.pulls.popitem(last=False)
