"""Decide what a node does about quotas: keep tokens briefly, request and return them.

Tokens expire by their age, counted from the quota request that obtained them, so that they cannot
accumulate. Only a request that arrived before that quota request was sent may take a token of any
age, because it has waited since then.
"""

import math

from expression import Error, Ok, Result

from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.quotas.demand_rate import find_demand_rate, record_demand
from bendwind_core.quotas.messages import (
    QuotaDemand,
    QuotaGrant,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    QuotaUnused,
)
from bendwind_core.quotas.node_state import (
    Batch,
    Grant,
    NodeAccount,
    NodeQuotas,
    PendingRequest,
    QuotaRefusal,
    Waiter,
)
from bendwind_core.quotas.reserve import (
    MAX_RESERVE_TOKENS,
    RENEWAL_INTERVAL,
    list_unexpired,
    merge_reserve_tokens,
)
from bendwind_core.quotas.voter import Effects, QuotaSend

# A reply takes a round trip and, if the voter has to borrow, up to two more. A request waits at
# most a quarter of a second for its token, so this leaves time to ask a second voter.
REPLY_TIMEOUT: Seconds = 0.1
# A voter that did not answer is passed over for this long. Each quota request to a lost voter would
# keep requests waiting for `REPLY_TIMEOUT`, and a voter that is back should soon be used again.
SILENT_VOTER_PAUSE: Seconds = 1.0
# Minimum time between quota requests; demand that arises meanwhile shares the next one. This is
# short compared with the wait for a reply, and limits a node to 200 messages a second to its voter.
MIN_REQUEST_INTERVAL: Seconds = 0.005
# Tokens are prefetched for the demand of this period, so that a busy customer's requests never
# wait. If tokens are valid for less, they are prefetched for most of their validity.
PREFETCH_PERIOD: Seconds = 0.25
PREFETCH_VALIDITY_SHARE = 0.8
# Tokens to return are collected for this long, so that one message returns those of many requests.
# Another caller of the customer can use them soon after.
RETURN_INTERVAL: Seconds = 0.05
# A customer's account is evicted after this time without a request: its demand rate has decayed to
# a thousandth by then. An account takes 2 kB.
EVICT_AFTER: Seconds = 10.0
# A quota request is remembered for this long, so that the tokens of a late reply can be returned.
# The tokens of an even later reply are lost, and the customer's bucket refills.
LATE_REPLY_PERIOD: Seconds = 2.0
# Pending quota requests: more than `MIN_REQUEST_INTERVAL` permits within `LATE_REPLY_PERIOD`, which
# bounds memory.
MAX_PENDING_REQUESTS = 1024
# Customers in one quota request. A voter answers this many within a millisecond, so that no node
# delays the others. Further customers are in the next quota request.
MAX_DEMANDS = 64
# Requests that wait for a token. Further requests are refused, which bounds memory.
MAX_WAITERS = 65_536
# Grants whose tokens are returned with the next messages. Tokens of further grants are lost, which
# lets nobody send more than permitted.
MAX_PENDING_RETURNS = 4096
# No voter answers while a leader is elected or all voters restart, which takes about a second. A
# caller that retries only once should do so afterwards.
UNKNOWN_RETRY_MS: Milliseconds = 1000.0


def request_token(
    quotas: NodeQuotas, customer: str, until: Seconds, now: Seconds
) -> Result[Grant, QuotaRefusal] | Waiter:
    """Grant a request a token, refuse it, or make it wait, at most until `until`."""
    account = quotas.accounts.get(customer)
    if account is None:
        account = quotas.accounts[customer] = NodeAccount(last_demand_at=now)
    record_demand(account, 1, now)
    grant = _pop_token(quotas, account, now)
    if grant is not None:
        quotas.totals.taken += 1
        if _count_prefetch(quotas, account, now) > 0:
            quotas.to_request[customer] = None
        return Ok(grant)
    if now < account.refused_until:
        return Error(_refuse_over_quota(quotas, account, now))
    if quotas.waiter_count >= MAX_WAITERS:
        return Error(_refuse_quota_unknown(quotas))
    waiter = Waiter(customer, now, until)
    account.waiters.append(waiter)
    quotas.waiter_count += 1
    quotas.to_request[customer] = None
    return waiter


def _pop_token(quotas: NodeQuotas, account: NodeAccount, now: Seconds) -> Grant | None:
    _return_expired_tokens(quotas, account, now)
    if not account.batches:
        return None
    batch = account.batches[0]
    batch.remaining -= 1
    if not batch.remaining:
        account.batches.popleft()
    return batch.grant


def _return_expired_tokens(quotas: NodeQuotas, account: NodeAccount, now: Seconds) -> None:
    """Return the tokens that are too old."""
    while account.batches and account.batches[0].expires_at <= now:
        batch = account.batches.popleft()
        _queue_return(quotas, batch.grant, batch.remaining)


def _queue_return(quotas: NodeQuotas, grant: Grant, tokens: int) -> None:
    if not tokens:
        return
    grant.returned += tokens
    quotas.totals.returned += tokens
    if len(quotas.to_return) < MAX_PENDING_RETURNS:
        quotas.to_return[grant.voter, grant.run, grant.number] = grant


def return_token(quotas: NodeQuotas, grant: Grant) -> None:
    """Return the token of a request that did not run."""
    _queue_return(quotas, grant, 1)


def cancel_wait(quotas: NodeQuotas, waiter: Waiter) -> None:
    """Remove a request that no longer waits; its token goes to another one."""
    account = quotas.accounts.get(waiter.customer)
    if waiter.outcome is None and account is not None and waiter in account.waiters:
        account.waiters.remove(waiter)
        quotas.waiter_count -= 1
    elif waiter.outcome is not None and waiter.outcome.is_ok():
        return_token(quotas, waiter.outcome.ok)


def _count_prefetch(quotas: NodeQuotas, account: NodeAccount, now: Seconds) -> int:
    """Return how many tokens to request in addition to those that requests wait for."""
    prefetch_period = min(PREFETCH_PERIOD, PREFETCH_VALIDITY_SHARE * quotas.bounds.node_validity)
    needed = int(find_demand_rate(account, now) * prefetch_period)
    expected = sum(batch.remaining for batch in account.batches) + account.requested
    # Tokens are requested only when half are gone, so that a busy customer costs a few quota
    # requests a second, not one for each request.
    return 0 if 2 * expected > needed else needed - expected


def _refuse_over_quota(quotas: NodeQuotas, account: NodeAccount, now: Seconds) -> QuotaRefusal:
    quotas.totals.refused += 1
    wait_ms = max(0.0, account.refused_until - now) * MILLISECONDS_PER_SECOND
    return QuotaRefusal(NotRunReason.OVER_QUOTA, wait_ms, account.refused_by)


def _refuse_quota_unknown(quotas: NodeQuotas) -> QuotaRefusal:
    quotas.totals.unknown += 1
    return QuotaRefusal(NotRunReason.QUOTA_UNKNOWN, UNKNOWN_RETRY_MS)


def flush_quota_requests(quotas: NodeQuotas, voters: tuple[str, ...], now: Seconds) -> Effects:
    """Request the tokens that customers need; `voters` are in this node's order of preference."""
    if not quotas.to_request or now < quotas.next_request_at or not voters:
        return []
    if len(quotas.pending_requests) >= MAX_PENDING_REQUESTS:
        return []
    voter = _choose_voter(quotas, voters, now)
    demands = []
    for customer in tuple(quotas.to_request)[:MAX_DEMANDS]:
        del quotas.to_request[customer]
        demand = _create_demand(quotas, customer, voter, now)
        if demand is not None:
            demands.append(demand)
    if not demands:
        return []
    quotas.next_request_at = now + MIN_REQUEST_INTERVAL
    number = quotas.next_request_number
    quotas.next_request_number += 1
    requested = {demand.customer: demand.waiting + demand.prefetch for demand in demands}
    held_numbers = {
        demand.customer: demand.held_numbers for demand in demands if demand.held_numbers
    }
    quotas.pending_requests[number] = PendingRequest(number, voter, now, requested, held_numbers)
    quotas.totals.asks += 1
    return [QuotaSend(voter, QuotaRequest(number, tuple(demands)))]


def _create_demand(
    quotas: NodeQuotas, customer: str, voter: str, now: Seconds
) -> QuotaDemand | None:
    account = quotas.accounts.get(customer)
    if account is None:
        return None
    waiting = max(0, len(account.waiters) - account.requested)
    prefetch = _count_prefetch(quotas, account, now)
    if not waiting and not prefetch:
        return None
    account.requested += waiting + prefetch
    if now < account.renew_reserve_at:
        return QuotaDemand(customer, waiting, prefetch)
    account.renew_reserve_at = now + RENEWAL_INTERVAL
    account.reserve = list_unexpired(account.reserve, now)
    wanted = max(0, min(MAX_RESERVE_TOKENS, round(account.demand_rate)) - len(account.reserve))
    held_numbers = tuple(token.number for token in account.reserve if token.voter == voter)
    return QuotaDemand(customer, waiting, prefetch, wanted, held_numbers)


def _choose_voter(quotas: NodeQuotas, voters: tuple[str, ...], now: Seconds) -> str:
    for voter in voters:
        if quotas.silent_until.get(voter, -math.inf) <= now:
            return voter
    return min(voters, key=lambda voter: quotas.silent_until[voter])


def handle_quota_reply(quotas: NodeQuotas, voter: str, reply: QuotaReply, now: Seconds) -> None:
    """Give the granted tokens to waiting requests, and refuse those without tokens."""
    pending = quotas.pending_requests.get(reply.number)
    if pending is None or pending.voter != voter:
        return
    quotas.silent_until.pop(voter, None)
    for granted in reply.grants:
        requested = pending.demands.pop(granted.customer, None)
        if requested is None:
            continue
        account = quotas.accounts.get(granted.customer)
        grant = Grant(voter, reply.run, granted.number)
        if account is None:
            _queue_return(quotas, grant, granted.tokens)
            continue
        if not pending.is_late:
            account.requested -= requested
        _apply_grant(quotas, account, grant, granted, pending, now)
    if not pending.demands:
        del quotas.pending_requests[reply.number]


def _apply_grant(
    quotas: NodeQuotas,
    account: NodeAccount,
    grant: Grant,
    granted: QuotaGrant,
    pending: PendingRequest,
    now: Seconds,
) -> None:
    if granted.reserve:
        held_numbers = pending.held_numbers.get(granted.customer, ())
        merge_reserve_tokens(
            account.reserve, grant.voter, held_numbers, granted.reserve, pending.sent_at
        )
    remaining = granted.tokens
    expires_at = pending.sent_at + quotas.bounds.node_validity
    while remaining and account.waiters:
        if account.waiters[0].arrived_at > pending.sent_at and now >= expires_at:
            break
        remaining -= 1
        quotas.totals.taken += 1
        _settle(quotas, account.waiters.popleft(), Ok(grant))
    if remaining and now < expires_at:
        account.batches.append(Batch(grant, remaining, expires_at))
    else:
        _queue_return(quotas, grant, remaining)
    if granted.wait_ms is not None:
        account.refused_until = now + granted.wait_ms / MILLISECONDS_PER_SECOND
        account.refused_by = grant.voter
        while account.waiters:
            _settle(
                quotas, account.waiters.popleft(), Error(_refuse_over_quota(quotas, account, now))
            )


def _settle(quotas: NodeQuotas, waiter: Waiter, outcome: Result[Grant, QuotaRefusal]) -> None:
    waiter.outcome = outcome
    quotas.waiter_count -= 1
    quotas.settled.append(waiter)


def tick_node(quotas: NodeQuotas, now: Seconds) -> Effects:
    """Skip silent voters, settle requests that waited too long, return expired tokens."""
    _expire_requests(quotas, now)
    for customer, account in quotas.accounts.items():
        _settle_expired_waiters(quotas, account, now)
        _return_expired_tokens(quotas, account, now)
        if len(account.waiters) > account.requested:
            quotas.to_request[customer] = None
    if now >= quotas.next_eviction_at:
        quotas.next_eviction_at = now + EVICT_AFTER / 2
        _evict_idle(quotas, now)
    return _flush_returns(quotas, now)


def _settle_expired_waiters(quotas: NodeQuotas, account: NodeAccount, now: Seconds) -> None:
    # The queue is not ordered by `until`: requests with short latency objectives may have arrived
    # after others that can wait longer.
    expired = [waiter for waiter in account.waiters if now >= waiter.until]
    for waiter in expired:
        account.waiters.remove(waiter)
        _settle(quotas, waiter, _use_reserve_token(quotas, account, now))


def _use_reserve_token(
    quotas: NodeQuotas, account: NodeAccount, now: Seconds
) -> Result[Grant, QuotaRefusal]:
    """Use a reserve token for a request that no voter answered in time, or refuse the request."""
    account.reserve = list_unexpired(account.reserve, now)
    if not account.reserve:
        return Error(_refuse_quota_unknown(quotas))
    quotas.totals.reserve += 1
    token = account.reserve.pop(0)
    # The token is never returned: its reservation stays taken for a window. The grant number 0
    # excludes it from returns.
    return Ok(Grant(token.voter, 0, 0))


def _expire_requests(quotas: NodeQuotas, now: Seconds) -> None:
    """Mark quota requests as late after `REPLY_TIMEOUT`, remove them after `LATE_REPLY_PERIOD`."""
    expired = []
    for pending in quotas.pending_requests.values():
        if not pending.is_late and now - pending.sent_at >= REPLY_TIMEOUT:
            pending.is_late = True
            quotas.silent_until[pending.voter] = now + SILENT_VOTER_PAUSE
            for customer, requested in pending.demands.items():
                if customer in quotas.accounts:
                    quotas.accounts[customer].requested -= requested
        elif pending.is_late and now - pending.sent_at >= LATE_REPLY_PERIOD:
            expired.append(pending.number)
    for number in expired:
        del quotas.pending_requests[number]


def _evict_idle(quotas: NodeQuotas, now: Seconds) -> None:
    idle = [
        customer
        for customer, account in quotas.accounts.items()
        if now - account.last_demand_at > EVICT_AFTER
        and not account.waiters
        and not account.batches
        and not account.requested
    ]
    for customer in idle:
        del quotas.accounts[customer]
    for voter in [voter for voter, until in quotas.silent_until.items() if until <= now]:
        del quotas.silent_until[voter]


def _flush_returns(quotas: NodeQuotas, now: Seconds) -> Effects:
    if not quotas.to_return or now < quotas.next_return_at:
        return []
    quotas.next_return_at = now + RETURN_INTERVAL
    unused: dict[tuple[str, int], list[QuotaUnused]] = {}
    for grant in quotas.to_return.values():
        if grant.number:
            row = QuotaUnused(grant.number, grant.returned)
            unused.setdefault((grant.voter, grant.run), []).append(row)
    quotas.to_return.clear()
    return [
        QuotaSend(voter, QuotaReturn(run, tuple(rows))) for (voter, run), rows in unused.items()
    ]


def has_work(quotas: NodeQuotas) -> bool:
    """Return whether a tick may soon have an effect.

    That is so if requests wait, or if quota requests, tokens or returns are pending.
    """
    return bool(
        quotas.pending_requests or quotas.to_request or quotas.to_return or quotas.waiter_count
    ) or any(account.batches for account in quotas.accounts.values())
