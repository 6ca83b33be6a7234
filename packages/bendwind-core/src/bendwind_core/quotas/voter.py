"""Decide what a voter does about quotas: grant, lend, borrow and evict."""

import math

import msgspec
from msgspec.structs import replace

from bendwind_core.core import MILLISECONDS_PER_SECOND, Record, Seconds
from bendwind_core.quotas.bucket import ROUNDING_TOLERANCE, find_wait, refill, refund, withdraw
from bendwind_core.quotas.demand_rate import find_demand_rate, record_demand
from bendwind_core.quotas.lenders import (
    abandon_pending_loan,
    choose_lender,
    record_lender,
    record_pending_loan,
    remove_expired_loans,
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
from bendwind_core.quotas.reserve import (
    MAX_RESERVE_TOKENS,
    assign_reservations,
    remove_free_reservations,
)
from bendwind_core.quotas.voter_state import (
    MAX_WAITING_DEMANDS,
    RETURN_PERIOD,
    Borrowed,
    PendingLoan,
    VoterAccount,
    VoterQuotas,
    WaitingDemand,
    Withdrawal,
    find_or_create_account,
    is_evictable,
)
from bendwind_core.quotas.withdrawals import (
    count_available,
    count_whole,
    record_withdrawal,
    withdraw_tokens,
)

# A loan takes a round trip within a region. A loan request that is not answered in this time is
# abandoned, which leaves time to ask a second lender before the node switches to another voter.
LOAN_TIMEOUT: Seconds = 0.04
# A node's demand waits this long for loans, which is enough for two lenders. The reply then still
# reaches the node before it switches to another voter.
DEMAND_TIMEOUT: Seconds = 0.08
# After a refusal a node requests no tokens for the customer for at least this long. A customer far
# over its limit therefore costs at most 20 refused quota requests a second and node.
MIN_REFUSAL_WAIT: Seconds = 0.05
# The more nodes are refused, the later each may request again, but never later than this. Tokens
# that become available through returns or a raised limit are thus found within a second.
MAX_REFUSAL_WAIT: Seconds = 1.0
# Full buckets and old withdrawals are removed at this interval. Nothing waits for the removal; a
# delay only costs memory.
_EVICTION_INTERVAL: Seconds = 0.5
# In tokens. No node has as many requests waiting, and messages hold numbers of any size.
_MAX_DEMANDED = 1_000_000


class QuotaSend(msgspec.Struct, frozen=True):
    """Send a message to a node or voter; it may be lost."""

    to: str
    message: Record


Effects = list[QuotaSend]


def handle_quota_request(
    quotas: VoterQuotas, node: str, request: QuotaRequest, now: Seconds
) -> Effects:
    """Answer a node's demands, immediately except for those that wait for a loan."""
    effects: Effects = []
    if not quotas.may_grant(now):
        # If it gets no reply, the node asks another voter.
        quotas.totals.unconfirmed += 1
        return effects
    grants = []
    for demand in map(_bound_demand, request.demands):
        grant = _answer_demand(quotas, node, request.number, demand, now, effects)
        if grant is not None:
            grants.append(grant)
    if grants:
        effects.append(QuotaSend(node, QuotaReply(request.number, quotas.run, tuple(grants))))
    return effects


def _bound_demand(demand: QuotaDemand) -> QuotaDemand:
    return replace(
        demand,
        waiting=max(0, min(demand.waiting, _MAX_DEMANDED)),
        prefetch=max(0, min(demand.prefetch, _MAX_DEMANDED)),
        reserve=max(0, min(demand.reserve, MAX_RESERVE_TOKENS)),
    )


def _answer_demand(
    quotas: VoterQuotas,
    node: str,
    number: int,
    demand: QuotaDemand,
    now: Seconds,
    effects: Effects,
) -> QuotaGrant | None:
    account = find_or_create_account(quotas, demand.customer, now)
    if account is None:
        return _answer_without_account(quotas, demand)
    record_demand(account, demand.waiting + demand.prefetch, now)
    reserve = _assign_reservations(quotas, node, demand, account, now)
    if not account.waiting and count_whole(account, now) >= demand.waiting:
        grant = _grant_tokens(
            quotas, demand.customer, account, demand.waiting, demand.prefetch, now
        )
        return replace(grant, reserve=reserve) if reserve else grant
    if quotas.waiting_count < MAX_WAITING_DEMANDS:
        account.waiting.append(
            WaitingDemand(node, number, demand.waiting, now, now + DEMAND_TIMEOUT, reserve)
        )
        quotas.waiting_count += 1
        quotas.busy[demand.customer] = None
        _request_loan(quotas, demand.customer, account, now, effects)
        if account.pending_loan is not None:
            return None
        _settle(quotas, demand.customer, account, now, effects)
        return None
    return _grant_tokens(quotas, demand.customer, account, demand.waiting, 0, now)


def _answer_without_account(quotas: VoterQuotas, demand: QuotaDemand) -> QuotaGrant:
    if demand.customer in quotas.unlimited:
        # The node has not yet received the configuration that removed the limit.
        return QuotaGrant(demand.customer, 0, demand.waiting)
    if demand.customer in quotas.customers:
        # The table of buckets is full.
        return QuotaGrant(demand.customer, 0, 0, MAX_REFUSAL_WAIT * MILLISECONDS_PER_SECOND)
    # Either the node or this voter has not yet received the newest configuration. The node sends
    # another quota request while its requests can wait.
    return QuotaGrant(demand.customer, 0, 0)


def _assign_reservations(
    quotas: VoterQuotas, node: str, demand: QuotaDemand, account: VoterAccount, now: Seconds
) -> tuple[int, ...]:
    first = quotas.next_number
    quotas.next_number += demand.reserve
    share = account.bucket.share
    return assign_reservations(
        quotas.reserve,
        demand.customer,
        share,
        node,
        demand.reserve,
        demand.held_numbers,
        first,
        now,
    )


def _grant_tokens(
    quotas: VoterQuotas, name: str, account: VoterAccount, waiting: int, prefetch: int, now: Seconds
) -> QuotaGrant:
    """Grant whole tokens for waiting requests, and up to half of the rest for prefetching."""
    whole = count_whole(account, now)
    tokens = min(waiting, whole)
    refused = waiting - tokens
    if not refused:
        # The other half remains for nodes that may request tokens shortly.
        tokens += max(0, min(prefetch, (whole - tokens) // 2))
    number = withdraw_tokens(quotas, name, account, tokens, now) if tokens else 0
    account.granted += tokens
    account.refused += refused
    quotas.totals.granted += tokens
    quotas.totals.refused += refused
    wait_ms = _find_retry_wait_ms(account, now) if refused else None
    return QuotaGrant(name, number, tokens, wait_ms)


def _find_retry_wait_ms(account: VoterAccount, now: Seconds) -> float:
    """Return the wait of a refused node: each may retry one token later than the one before."""
    waits = [find_wait(account.bucket, 1.0, now)]
    waits += [lender.available_at - now for lender in account.lenders.values()]
    retry_at = max(now + min(waits), account.retry_at + 1.0 / account.bucket.share.rate)
    account.retry_at = min(retry_at, now + MAX_REFUSAL_WAIT)
    wait = max(MIN_REFUSAL_WAIT, account.retry_at - now)
    return wait * MILLISECONDS_PER_SECOND


def _request_loan(
    quotas: VoterQuotas, name: str, account: VoterAccount, now: Seconds, effects: Effects
) -> None:
    """Request a loan from the voter that last reported most tokens, unless one is pending."""
    if account.pending_loan is not None or not account.waiting:
        return
    lender = choose_lender(quotas, account, now)
    if lender is None:
        return
    missing = sum(demand.tokens for demand in account.waiting) - count_available(account, now)
    if missing <= ROUNDING_TOLERANCE:
        return
    # An account that lacks tokens now will lack them again before the next loan.
    prefetch = find_demand_rate(account, now) * quotas.bounds.loan_validity / 2
    number = quotas.next_loan_request
    quotas.next_loan_request += 1
    account.pending_loan = PendingLoan(number, lender, now)
    record_pending_loan(quotas, account.pending_loan)
    effects.append(QuotaSend(lender, QuotaLoanRequest(number, name, missing + int(prefetch))))


def handle_quota_loan_request(
    quotas: VoterQuotas, voter: str, request: QuotaLoanRequest, now: Seconds
) -> Effects:
    """Lend tokens that are not needed at this voter within `LOAN_TIMEOUT`."""
    if not quotas.may_grant(now):
        return []
    account = find_or_create_account(quotas, request.customer, now)
    if account is None:
        return [
            QuotaSend(voter, QuotaLoan(request.number, quotas.run, request.customer, 0, 0.0, 0.0))
        ]
    bucket = account.bucket
    refill(bucket, now)
    own_need = find_demand_rate(account, now) * LOAN_TIMEOUT + sum(
        demand.tokens for demand in account.waiting
    )
    tokens = max(0.0, min(request.tokens, bucket.level - own_need))
    number = 0
    if tokens > ROUNDING_TOLERANCE:
        number = quotas.next_number
        quotas.next_number += 1
        withdraw(bucket, tokens, number, now)
        record_withdrawal(quotas, number, Withdrawal(request.customer, tokens, now))
        quotas.totals.lent += tokens
    else:
        tokens = 0.0
    lendable = max(0.0, bucket.level - own_need)
    loan = QuotaLoan(request.number, quotas.run, request.customer, number, tokens, lendable)
    return [QuotaSend(voter, loan)]


def handle_quota_loan(quotas: VoterQuotas, voter: str, loan: QuotaLoan, now: Seconds) -> Effects:
    """Accept a loan, also a late one, and answer the demands that waited for it.

    Each loan request is answered once: for a duplicate loan, it is no longer recorded.
    """
    effects: Effects = []
    pending_loan = quotas.pending_loans.get(loan.request_number)
    if pending_loan is None or pending_loan.lender != voter:
        return effects
    del quotas.pending_loans[loan.request_number]
    account = quotas.accounts.get(loan.customer)
    if account is None:
        return _return_loan(voter, loan)
    if account.pending_loan is pending_loan:
        account.pending_loan = None
        record_lender(account, voter, loan, now)
    if loan.tokens > 0:
        _accept_loan(quotas, account, pending_loan, loan, now, effects)
    _settle(quotas, loan.customer, account, now, effects)
    return effects


def _return_loan(voter: str, loan: QuotaLoan) -> Effects:
    if loan.tokens <= 0:
        return []
    unused = QuotaUnused(loan.number, loan.tokens)
    return [QuotaSend(voter, QuotaReturn(loan.run, (unused,)))]


def _accept_loan(
    quotas: VoterQuotas,
    account: VoterAccount,
    pending_loan: PendingLoan,
    loan: QuotaLoan,
    now: Seconds,
    effects: Effects,
) -> None:
    part = Borrowed(pending_loan.lender, loan.run, loan.number, loan.tokens, math.inf)
    account.borrowed.append(part)
    quotas.totals.borrowed += loan.tokens
    quotas.busy[loan.customer] = None
    # Demands that waited before the loan was requested may use its tokens at any age, because the
    # tokens were lent after those demands arrived. The rest expires by age.
    _answer_ready(quotas, loan.customer, account, pending_loan.sent_at, now, effects)
    part.expires_at = pending_loan.sent_at + quotas.bounds.loan_validity


def _settle(
    quotas: VoterQuotas, name: str, account: VoterAccount, now: Seconds, effects: Effects
) -> None:
    """Answer, in order, demands that can be met in full; answer all if no voter can lend."""
    _answer_ready(quotas, name, account, now, now, effects)
    _request_loan(quotas, name, account, now, effects)
    if account.pending_loan is None:
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
    """Answer, in order, demands that arrived by `since`, until one cannot be met in full."""
    while account.waiting and account.waiting[0].since <= since:
        if count_whole(account, now) < account.waiting[0].tokens:
            return
        _answer_first(quotas, name, account, now, effects)


def _answer_first(
    quotas: VoterQuotas, name: str, account: VoterAccount, now: Seconds, effects: Effects
) -> None:
    demand = account.waiting.popleft()
    quotas.waiting_count -= 1
    grant = replace(
        _grant_tokens(quotas, name, account, demand.tokens, 0, now), reserve=demand.reserve
    )
    effects.append(QuotaSend(demand.node, QuotaReply(demand.request_number, quotas.run, (grant,))))


def handle_quota_return(quotas: VoterQuotas, returned: QuotaReturn, now: Seconds) -> None:
    """Refund granted or lent tokens that were not used; a duplicate message changes nothing."""
    if returned.run != quotas.run:
        return
    for unused in returned.unused:
        withdrawal = quotas.withdrawals.get(unused.number)
        if withdrawal is None or now - withdrawal.at > RETURN_PERIOD:
            continue
        more = min(unused.tokens, withdrawal.tokens) - withdrawal.refunded
        account = quotas.accounts.get(withdrawal.customer)
        if more <= 0 or account is None:
            continue
        withdrawal.refunded += more
        refund(account.bucket, more, unused.number, now)


def tick_voter(quotas: VoterQuotas, now: Seconds) -> Effects:
    """Answer demands that waited long enough, return expired loans and evict full buckets."""
    effects: Effects = []
    for name in tuple(quotas.busy):
        account = quotas.accounts[name]
        if account.pending_loan is not None and now - account.pending_loan.sent_at >= LOAN_TIMEOUT:
            abandon_pending_loan(account, now)
            _settle(quotas, name, account, now, effects)
        while account.waiting and now >= account.waiting[0].until:
            _answer_first(quotas, name, account, now, effects)
        if account.borrowed:
            _return_expired_loans(account, now, effects)
        if not account.waiting and not account.borrowed and account.pending_loan is None:
            del quotas.busy[name]
    if now >= quotas.next_eviction_at:
        quotas.next_eviction_at = now + _EVICTION_INTERVAL
        _evict(quotas, now)
    return effects


def _return_expired_loans(account: VoterAccount, now: Seconds, effects: Effects) -> None:
    expired = [part for part in account.borrowed if part.expires_at <= now]
    account.borrowed = [
        part
        for part in account.borrowed
        if part.expires_at > now and part.tokens > ROUNDING_TOLERANCE
    ]
    for part in expired:
        if part.tokens > ROUNDING_TOLERANCE:
            unused = QuotaUnused(part.number, part.tokens)
            effects.append(QuotaSend(part.lender, QuotaReturn(part.run, (unused,))))


def _evict(quotas: VoterQuotas, now: Seconds) -> None:
    remove_free_reservations(quotas.reserve, now)
    full = [name for name, account in quotas.accounts.items() if is_evictable(quotas, account, now)]
    for name in full:
        del quotas.accounts[name]
    old = []
    for number, withdrawal in quotas.withdrawals.items():
        if now - withdrawal.at <= RETURN_PERIOD:
            break
        old.append(number)
    for number in old:
        del quotas.withdrawals[number]
    remove_expired_loans(quotas, now)
