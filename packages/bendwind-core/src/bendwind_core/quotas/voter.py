"""Decide what a voter does about quotas: grant, lend, borrow, forget."""

import math

import msgspec
from msgspec.structs import replace

from bendwind_core.core import MILLISECONDS_PER_SECOND, Record, Seconds
from bendwind_core.quotas.bucket import ROUNDING, find_wait, put_back, refill, take
from bendwind_core.quotas.lenders import (
    choose_lender,
    forget_pulls,
    give_up_pull,
    note_lender,
    remember_pull,
)
from bendwind_core.quotas.messages import (
    QuotaDemand,
    QuotaGrant,
    QuotaLoan,
    QuotaLoanRequest,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    QuotaUnused,
)
from bendwind_core.quotas.reserve import forget_free, hand_out
from bendwind_core.quotas.takings import count_available, count_whole, remember, take_tokens
from bendwind_core.quotas.use import find_use, note_use
from bendwind_core.quotas.voter_state import (
    MAX_WAITING,
    UNDONE_FOR,
    Borrowed,
    Pulling,
    Taking,
    VoterAccount,
    VoterQuotas,
    Waiting,
    find_account,
    is_forgettable,
)

# A loan takes a round trip within a region. A lender that does not answer in this time is given up,
# which leaves time to ask a second one before the node turns to another voter.
LENDER_WAIT: Seconds = 0.04
# What a node asked for waits so long for loans: for two lenders. It is answered in time for the way
# back, before the node turns to another voter.
WANT_WAIT: Seconds = 0.08
# After a refusal a node asks nothing for the customer for at least this long, so that one far over
# its limit costs at most 20 refused asks a second and node.
SHORTEST_REFUSAL: Seconds = 0.05
# The more nodes are refused, the later each asks again, but never later than this: room that comes
# back, by what is given back or by a raised limit, is found within a second.
LONGEST_REFUSAL: Seconds = 1.0
# Full buckets and old takings are forgotten so often: nobody waits for it, it only costs memory.
_FORGET_EACH: Seconds = 0.5


class QuotaSend(msgspec.Struct, frozen=True):
    """Send a message to a node or voter; it may be lost."""

    to: str
    message: Record


Effects = list[QuotaSend]


def handle_quota_request(
    quotas: VoterQuotas, node: str, ask: QuotaRequest, now: Seconds
) -> Effects:
    """Answer a node, at once for all wants but those that wait for a loan."""
    effects: Effects = []
    if not quotas.may_grant(now):
        # Without an answer the node asks another voter.
        quotas.totals.unconfirmed += 1
        return effects
    grants = []
    for want in ask.demands:
        grant = _answer_want(quotas, node, ask.number, want, now, effects)
        if grant is not None:
            grants.append(grant)
    if grants:
        effects.append(QuotaSend(node, QuotaReply(ask.number, quotas.run, tuple(grants))))
    return effects


def _answer_want(
    quotas: VoterQuotas, node: str, number: int, want: QuotaDemand, now: Seconds, effects: Effects
) -> QuotaGrant | None:
    account = find_account(quotas, want.customer, now)
    if account is None:
        return _answer_without_account(quotas, want)
    note_use(account, want.waiting + want.ahead, now)
    reserve = _hand_out(quotas, node, want, account, now)
    if not account.waiting and count_whole(account, now) >= want.waiting:
        grant = _grant(quotas, want.customer, account, want.waiting, want.ahead, now)
        return replace(grant, reserve=reserve) if reserve else grant
    if quotas.waiting < MAX_WAITING:
        account.waiting.append(Waiting(node, number, want.waiting, now, now + WANT_WAIT, reserve))
        quotas.waiting += 1
        quotas.busy[want.customer] = None
        _seek_loan(quotas, want.customer, account, now, effects)
        if account.pulling is not None:
            return None
        _settle(quotas, want.customer, account, now, effects)
        return None
    return _grant(quotas, want.customer, account, want.waiting, 0, now)


def _answer_without_account(quotas: VoterQuotas, want: QuotaDemand) -> QuotaGrant:
    if want.customer in quotas.unlimited:
        # The node has not heard yet that the limit is gone.
        return QuotaGrant(want.customer, 0, want.waiting)
    if want.customer in quotas.customers:
        # The table of buckets is full.
        return QuotaGrant(want.customer, 0, 0, LONGEST_REFUSAL * MILLISECONDS_PER_SECOND)
    # One of the two has not heard yet; the node asks again while its requests can wait.
    return QuotaGrant(want.customer, 0, 0)


def _hand_out(
    quotas: VoterQuotas, node: str, want: QuotaDemand, account: VoterAccount, now: Seconds
) -> tuple[int, ...]:
    first = quotas.next_number
    quotas.next_number += want.reserve
    share = account.bucket.share
    return hand_out(quotas.reserve, want.customer, share, node, want.reserve, want.kept, first, now)


def _grant(
    quotas: VoterQuotas, name: str, account: VoterAccount, waiting: int, ahead: int, now: Seconds
) -> QuotaGrant:
    """Grant what is there: whole tokens to those who wait, and half of the rest ahead."""
    whole = count_whole(account, now)
    tokens = min(waiting, whole)
    refused = waiting - tokens
    if not refused:
        # Others may ask in the next moment.
        tokens += max(0, min(ahead, (whole - tokens) // 2))
    number = take_tokens(quotas, name, account, tokens, now) if tokens else 0
    account.granted += tokens
    account.refused += refused
    quotas.totals.granted += tokens
    quotas.totals.refused += refused
    wait_ms = _find_refusal_ms(account, now) if refused else None
    return QuotaGrant(name, number, tokens, wait_ms)


def _find_refusal_ms(account: VoterAccount, now: Seconds) -> float:
    """Return when the asker should come back: each later than the one before, by one token."""
    waits = [find_wait(account.bucket, 1.0, now)]
    waits += [lender.available_at - now for lender in account.lenders.values()]
    room_at = max(now + min(waits), account.room_at + 1.0 / account.bucket.share.rate)
    account.room_at = min(room_at, now + LONGEST_REFUSAL)
    wait = max(SHORTEST_REFUSAL, account.room_at - now)
    return wait * MILLISECONDS_PER_SECOND


def _seek_loan(
    quotas: VoterQuotas, name: str, account: VoterAccount, now: Seconds, effects: Effects
) -> None:
    """Ask the voter that had most by its last word, unless one is being asked."""
    if account.pulling is not None or not account.waiting:
        return
    lender = choose_lender(quotas, account, now)
    if lender is None:
        return
    wanted = sum(want.waiting for want in account.waiting) - count_available(account, now)
    if wanted <= ROUNDING:
        return
    # Whoever is short now will be so again before the next loan.
    ahead = find_use(account, now) * quotas.bounds.loan_validity / 2
    number = quotas.next_pull
    quotas.next_pull += 1
    account.pulling = Pulling(number, lender, now)
    remember_pull(quotas, account.pulling)
    effects.append(QuotaSend(lender, QuotaLoanRequest(number, name, wanted + int(ahead))))


def handle_quota_loan_request(
    quotas: VoterQuotas, voter: str, pull: QuotaLoanRequest, now: Seconds
) -> Effects:
    """Lend what is not needed here in the next moment."""
    if not quotas.may_grant(now):
        return []
    account = find_account(quotas, pull.customer, now)
    if account is None:
        return [QuotaSend(voter, QuotaLoan(pull.number, quotas.run, pull.customer, 0, 0.0, 0.0))]
    bucket = account.bucket
    refill(bucket, now)
    own_need = find_use(account, now) * LENDER_WAIT + sum(want.waiting for want in account.waiting)
    tokens = max(0.0, min(pull.tokens, bucket.level - own_need))
    number = 0
    if tokens > ROUNDING:
        number = quotas.next_number
        quotas.next_number += 1
        take(bucket, tokens, number, now)
        remember(quotas, number, Taking(pull.customer, tokens, now))
        quotas.totals.lent += tokens
    else:
        tokens = 0.0
    left = max(0.0, bucket.level - own_need)
    loan = QuotaLoan(pull.number, quotas.run, pull.customer, number, tokens, left)
    return [QuotaSend(voter, loan)]


def handle_quota_loan(quotas: VoterQuotas, voter: str, loan: QuotaLoan, now: Seconds) -> Effects:
    """Take over a loan, also a late one, and answer those who waited for it.

    Each question is answered once: a repeated loan finds it gone.
    """
    effects: Effects = []
    pulling = quotas.pulls.get(loan.pull)
    if pulling is None or pulling.lender != voter:
        return effects
    del quotas.pulls[loan.pull]
    account = quotas.accounts.get(loan.customer)
    if account is None:
        return _return_loan(voter, loan)
    if account.pulling is pulling:
        account.pulling = None
        note_lender(account, voter, loan, now)
    if loan.tokens > 0:
        _take_loan(quotas, account, pulling, loan, now, effects)
    _settle(quotas, loan.customer, account, now, effects)
    return effects


def _return_loan(voter: str, loan: QuotaLoan) -> Effects:
    if loan.tokens <= 0:
        return []
    unused = QuotaUnused(loan.number, loan.tokens)
    return [QuotaSend(voter, QuotaReturn(loan.run, (unused,)))]


def _take_loan(
    quotas: VoterQuotas,
    account: VoterAccount,
    pulling: Pulling,
    loan: QuotaLoan,
    now: Seconds,
    effects: Effects,
) -> None:
    part = Borrowed(pulling.lender, loan.run, loan.number, loan.tokens, math.inf)
    account.borrowed.append(part)
    quotas.totals.borrowed += loan.tokens
    quotas.busy[loan.customer] = None
    # Who waited before it was asked for takes of it at any age: it was lent after they came. What
    # is left ends by its age.
    _answer_ready(quotas, loan.customer, account, pulling.sent_at, now, effects)
    part.expires_at = pulling.sent_at + quotas.bounds.loan_validity


def _settle(
    quotas: VoterQuotas, name: str, account: VoterAccount, now: Seconds, effects: Effects
) -> None:
    """Answer in turn whoever can have all it waits for, and all once nobody can lend."""
    _answer_ready(quotas, name, account, now, now, effects)
    _seek_loan(quotas, name, account, now, effects)
    if account.pulling is None:
        while account.waiting:
            _answer_first(quotas, name, account, now, effects)


def _answer_ready(
    quotas: VoterQuotas,
    name: str,
    account: VoterAccount,
    since: Seconds,
    now: Seconds,
    effects: Effects,
) -> None:
    """Answer in turn whoever waits since a time or longer, as long as there is all it waits for."""
    while account.waiting and account.waiting[0].since <= since:
        if count_whole(account, now) < account.waiting[0].waiting:
            return
        _answer_first(quotas, name, account, now, effects)


def _answer_first(
    quotas: VoterQuotas, name: str, account: VoterAccount, now: Seconds, effects: Effects
) -> None:
    want = account.waiting.popleft()
    quotas.waiting -= 1
    grant = replace(_grant(quotas, name, account, want.waiting, 0, now), reserve=want.reserve)
    effects.append(QuotaSend(want.node, QuotaReply(want.number, quotas.run, (grant,))))


def handle_quota_return(quotas: VoterQuotas, back: QuotaReturn, now: Seconds) -> None:
    """Put back what was granted or lent and not used; a repeated message changes nothing."""
    if back.run != quotas.run:
        return
    for unused in back.unused:
        taking = quotas.takings.get(unused.number)
        if taking is None or now - taking.at > UNDONE_FOR:
            continue
        more = min(unused.tokens, taking.tokens) - taking.back
        account = quotas.accounts.get(taking.customer)
        if more <= 0 or account is None:
            continue
        taking.back += more
        put_back(account.bucket, more, unused.number, now)


def tick_voter(quotas: VoterQuotas, now: Seconds) -> Effects:
    """Answer who waited long enough, give loans back that are over, forget what is full."""
    effects: Effects = []
    for name in tuple(quotas.busy):
        account = quotas.accounts[name]
        if account.pulling is not None and now - account.pulling.sent_at >= LENDER_WAIT:
            give_up_pull(account, now)
            _settle(quotas, name, account, now, effects)
        while account.waiting and now >= account.waiting[0].until:
            _answer_first(quotas, name, account, now, effects)
        if account.borrowed:
            _give_back(account, now, effects)
        if not account.waiting and not account.borrowed and account.pulling is None:
            del quotas.busy[name]
    if now >= quotas.forget_at:
        quotas.forget_at = now + _FORGET_EACH
        _forget(quotas, now)
    return effects


def _give_back(account: VoterAccount, now: Seconds, effects: Effects) -> None:
    over = [part for part in account.borrowed if part.expires_at <= now]
    account.borrowed = [
        part for part in account.borrowed if part.expires_at > now and part.tokens > ROUNDING
    ]
    for part in over:
        if part.tokens > ROUNDING:
            unused = QuotaUnused(part.number, part.tokens)
            effects.append(QuotaSend(part.lender, QuotaReturn(part.run, (unused,))))


def _forget(quotas: VoterQuotas, now: Seconds) -> None:
    forget_free(quotas.reserve, now)
    full = [
        name for name, account in quotas.accounts.items() if is_forgettable(quotas, account, now)
    ]
    for name in full:
        del quotas.accounts[name]
    old = []
    for number, taking in quotas.takings.items():
        if now - taking.at <= UNDONE_FOR:
            break
        old.append(number)
    for number in old:
        del quotas.takings[number]
    forget_pulls(quotas, now)
