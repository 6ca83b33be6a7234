"""Decide what a node does about quotas: keep tokens shortly, ask for them, give them back.

Tokens end by their age, counted from the ask that brought them, so that they cannot gather. Only a
request that came before that ask was sent takes one of any age: it waited all the while.
"""

import math

from expression import Error, Ok, Result

from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.quotas.messages import (
    QuotaDemand,
    QuotaGrant,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    QuotaUnused,
)
from bendwind_core.quotas.node_state import (
    Ask,
    Batch,
    Grant,
    NodeAccount,
    NodeQuotas,
    QuotaRefusal,
    Waiter,
)
from bendwind_core.quotas.reserve import (
    MOST_HELD,
    RENEWED_EACH,
    drop_ended,
    take_over,
)
from bendwind_core.quotas.use import find_use, note_use
from bendwind_core.quotas.voter import Effects, QuotaSend

# An answer takes a round trip and, where the voter has to borrow, up to two more. A request waits
# at most a quarter of a second for its token, so that a second voter can be asked in that time.
ANSWER_WAIT: Seconds = 0.1
# A voter that did not answer is passed over for so long: each ask to a lost one would keep requests
# waiting for `ANSWER_WAIT`, and one that is back should soon be used again.
SILENT_FOR: Seconds = 1.0
# Asks are at least so far apart, and what is wanted meanwhile shares the next one. That is little
# beside the wait for an answer, and bounds what one node asks of its voter to 200 messages a
# second.
ASK_GAP: Seconds = 0.005
# Tokens are kept for what is needed in this time, so that a busy customer's requests never wait;
# where they are valid for less, for most of what they are.
AHEAD_FOR: Seconds = 0.25
AHEAD_SHARE = 0.8
# Tokens to give back are gathered for so long, so that one message returns those of many requests;
# another caller of the customer can use them soon after.
GIVE_BACK_EACH: Seconds = 0.05
# What a node knows of a customer is forgotten after so long without a request: its use has faded to
# a thousandth by then, and what is kept of one takes 2 kB.
FORGET_AFTER: Seconds = 10.0
# An ask is remembered for so long, so that the tokens of a late answer can be given back. Those of
# a later one are lost, and the customer's bucket fills again.
LATE_FOR: Seconds = 2.0
# Asks under way: more than `ASK_GAP` lets be sent within `LATE_FOR`, which bounds memory.
MAX_ASKS = 1024
# Customers in one ask: a voter answers so many within a millisecond, so that no node holds up the
# others. Further customers are in the next ask.
MAX_WANTS = 64
# Requests that wait for a token; a further one is refused, so that memory stays bounded.
MAX_WAITING = 65_536
# Grants of which tokens are to be given back with the next messages; of further ones they are lost,
# which lets nobody send more.
MAX_BACK = 4096
# No voter answers while a leader is elected or all voters restart, which is over in about a second;
# a caller that retries once had better do so afterwards.
UNKNOWN_RETRY_MS: Milliseconds = 1000.0


def request_token(
    quotas: NodeQuotas, customer: str, until: Seconds, now: Seconds
) -> Result[Grant, QuotaRefusal] | Waiter:
    """Take a token for a request, refuse it, or have it wait, at most until a time."""
    stock = quotas.accounts.get(customer)
    if stock is None:
        stock = quotas.accounts[customer] = NodeAccount(used_at=now)
    note_use(stock, 1, now)
    grant = _take_from_stock(quotas, stock, now)
    if grant is not None:
        quotas.totals.taken += 1
        if _count_ahead(quotas, stock, now) > 0:
            quotas.to_request[customer] = None
        return Ok(grant)
    if now < stock.refused_until:
        return Error(_refuse_over(quotas, stock, now))
    if quotas.waiting >= MAX_WAITING:
        return Error(_refuse_unknown(quotas))
    waiter = Waiter(customer, now, until)
    stock.waiting.append(waiter)
    quotas.waiting += 1
    quotas.to_request[customer] = None
    return waiter


def _take_from_stock(quotas: NodeQuotas, stock: NodeAccount, now: Seconds) -> Grant | None:
    _drop_old(quotas, stock, now)
    if not stock.batches:
        return None
    batch = stock.batches[0]
    batch.left -= 1
    if not batch.left:
        stock.batches.popleft()
    return batch.grant


def _drop_old(quotas: NodeQuotas, stock: NodeAccount, now: Seconds) -> None:
    """Give back the tokens that are too old."""
    while stock.batches and stock.batches[0].expires_at <= now:
        batch = stock.batches.popleft()
        _put_back(quotas, batch.grant, batch.left)


def _put_back(quotas: NodeQuotas, grant: Grant, tokens: int) -> None:
    if not tokens:
        return
    grant.back += tokens
    quotas.totals.returned += tokens
    if len(quotas.back) < MAX_BACK:
        quotas.back[grant.voter, grant.run, grant.number] = grant


def return_token(quotas: NodeQuotas, grant: Grant) -> None:
    """Give back the token of a request that did not run."""
    _put_back(quotas, grant, 1)


def cancel_wait(quotas: NodeQuotas, waiter: Waiter) -> None:
    """Forget a request that waits no longer; its token goes to another one."""
    stock = quotas.accounts.get(waiter.customer)
    if waiter.outcome is None and stock is not None and waiter in stock.waiting:
        stock.waiting.remove(waiter)
        quotas.waiting -= 1
    elif waiter.outcome is not None and waiter.outcome.is_ok():
        return_token(quotas, waiter.outcome.ok)


def _count_ahead(quotas: NodeQuotas, stock: NodeAccount, now: Seconds) -> int:
    """Return how many tokens to ask for beside those that are waited for."""
    ahead_for = min(AHEAD_FOR, AHEAD_SHARE * quotas.bounds.node_validity)
    needed = int(find_use(stock, now) * ahead_for)
    has = sum(batch.left for batch in stock.batches) + stock.asked
    # Asked for only when half is gone, so that a busy customer costs some asks a second, not one a
    # request.
    return 0 if 2 * has > needed else needed - has


def _refuse_over(quotas: NodeQuotas, stock: NodeAccount, now: Seconds) -> QuotaRefusal:
    quotas.totals.refused += 1
    wait_ms = max(0.0, stock.refused_until - now) * MILLISECONDS_PER_SECOND
    return QuotaRefusal(NotRunReason.OVER_QUOTA, wait_ms, stock.refused_by)


def _refuse_unknown(quotas: NodeQuotas) -> QuotaRefusal:
    quotas.totals.unknown += 1
    return QuotaRefusal(NotRunReason.QUOTA_UNKNOWN, UNKNOWN_RETRY_MS)


def flush_quota_requests(quotas: NodeQuotas, voters: tuple[str, ...], now: Seconds) -> Effects:
    """Ask for all that is wanted; `voters` are in the order in which this node uses them."""
    if not quotas.to_request or now < quotas.next_request_at or not voters:
        return []
    if len(quotas.asks) >= MAX_ASKS:
        return []
    voter = _choose_voter(quotas, voters, now)
    demands = []
    for customer in tuple(quotas.to_request)[:MAX_WANTS]:
        del quotas.to_request[customer]
        want = _make_want(quotas, customer, voter, now)
        if want is not None:
            demands.append(want)
    if not demands:
        return []
    quotas.next_request_at = now + ASK_GAP
    number = quotas.next_ask
    quotas.next_ask += 1
    asked = {want.customer: want.waiting + want.ahead for want in demands}
    kept = {want.customer: want.kept for want in demands if want.kept}
    quotas.asks[number] = Ask(number, voter, now, asked, kept)
    quotas.totals.asks += 1
    return [QuotaSend(voter, QuotaRequest(number, tuple(demands)))]


def _make_want(quotas: NodeQuotas, customer: str, voter: str, now: Seconds) -> QuotaDemand | None:
    stock = quotas.accounts.get(customer)
    if stock is None:
        return None
    waiting = max(0, len(stock.waiting) - stock.asked)
    ahead = _count_ahead(quotas, stock, now)
    if not waiting and not ahead:
        return None
    stock.asked += waiting + ahead
    if now < stock.reserve_at:
        return QuotaDemand(customer, waiting, ahead)
    stock.reserve_at = now + RENEWED_EACH
    stock.reserve = drop_ended(stock.reserve, now)
    wished = max(0, min(MOST_HELD, round(stock.use)) - len(stock.reserve))
    kept = tuple(token.number for token in stock.reserve if token.voter == voter)
    return QuotaDemand(customer, waiting, ahead, wished, kept)


def _choose_voter(quotas: NodeQuotas, voters: tuple[str, ...], now: Seconds) -> str:
    for voter in voters:
        if quotas.silent.get(voter, -math.inf) <= now:
            return voter
    return min(voters, key=lambda voter: quotas.silent[voter])


def handle_quota_reply(quotas: NodeQuotas, voter: str, reply: QuotaReply, now: Seconds) -> None:
    """Give the granted tokens to those who wait, and refuse those for whom there are none."""
    ask = quotas.asks.get(reply.number)
    if ask is None or ask.voter != voter:
        return
    quotas.silent.pop(voter, None)
    for grant in reply.grants:
        asked = ask.demands.pop(grant.customer, None)
        if asked is None:
            continue
        stock = quotas.accounts.get(grant.customer)
        granted = Grant(voter, reply.run, grant.number)
        if stock is None:
            _put_back(quotas, granted, grant.tokens)
            continue
        if not ask.is_late:
            stock.asked -= asked
        _take_over(quotas, stock, granted, grant, ask, now)
    if not ask.demands:
        del quotas.asks[reply.number]


def _take_over(
    quotas: NodeQuotas, stock: NodeAccount, grant: Grant, told: QuotaGrant, ask: Ask, now: Seconds
) -> None:
    if told.reserve:
        kept = ask.kept.get(told.customer, ())
        take_over(stock.reserve, grant.voter, kept, told.reserve, ask.sent_at)
    left = told.tokens
    expires_at = ask.sent_at + quotas.bounds.node_validity
    while left and stock.waiting:
        if stock.waiting[0].arrived_at > ask.sent_at and now >= expires_at:
            break
        left -= 1
        quotas.totals.taken += 1
        _settle(quotas, stock.waiting.popleft(), Ok(grant))
    if left and now < expires_at:
        stock.batches.append(Batch(grant, left, expires_at))
    else:
        _put_back(quotas, grant, left)
    if told.wait_ms is not None:
        stock.refused_until = now + told.wait_ms / MILLISECONDS_PER_SECOND
        stock.refused_by = grant.voter
        while stock.waiting:
            _settle(quotas, stock.waiting.popleft(), Error(_refuse_over(quotas, stock, now)))


def _settle(quotas: NodeQuotas, waiter: Waiter, outcome: Result[Grant, QuotaRefusal]) -> None:
    waiter.outcome = outcome
    quotas.waiting -= 1
    quotas.settled.append(waiter)


def tick_node(quotas: NodeQuotas, now: Seconds) -> Effects:
    """Turn from a voter that is silent, refuse who waited too long, give back what is too old."""
    _drop_late(quotas, now)
    for customer, stock in quotas.accounts.items():
        _refuse_waiting_long(quotas, stock, now)
        _drop_old(quotas, stock, now)
        if len(stock.waiting) > stock.asked:
            quotas.to_request[customer] = None
    if now >= quotas.forget_at:
        quotas.forget_at = now + FORGET_AFTER / 2
        _forget(quotas, now)
    return _flush_back(quotas, now)


def _refuse_waiting_long(quotas: NodeQuotas, stock: NodeAccount, now: Seconds) -> None:
    # Requests with short objectives may have come after others that can wait longer.
    over = [waiter for waiter in stock.waiting if now >= waiter.until]
    for waiter in over:
        stock.waiting.remove(waiter)
        _settle(quotas, waiter, _take_reserve(quotas, stock, now))


def _take_reserve(
    quotas: NodeQuotas, stock: NodeAccount, now: Seconds
) -> Result[Grant, QuotaRefusal]:
    """Take a token for a request that no voter answered in time, else refuse it."""
    stock.reserve = drop_ended(stock.reserve, now)
    if not stock.reserve:
        return Error(_refuse_unknown(quotas))
    quotas.totals.reserve += 1
    token = stock.reserve.pop(0)
    # It is not given back: its place stays taken for a window.
    return Ok(Grant(token.voter, 0, 0))


def _drop_late(quotas: NodeQuotas, now: Seconds) -> None:
    over = []
    for ask in quotas.asks.values():
        if not ask.is_late and now - ask.sent_at >= ANSWER_WAIT:
            ask.is_late = True
            quotas.silent[ask.voter] = now + SILENT_FOR
            for customer, asked in ask.demands.items():
                if customer in quotas.accounts:
                    quotas.accounts[customer].asked -= asked
        elif ask.is_late and now - ask.sent_at >= LATE_FOR:
            over.append(ask.number)
    for number in over:
        del quotas.asks[number]


def _forget(quotas: NodeQuotas, now: Seconds) -> None:
    idle = [
        customer
        for customer, stock in quotas.accounts.items()
        if now - stock.used_at > FORGET_AFTER
        and not stock.waiting
        and not stock.batches
        and not stock.asked
    ]
    for customer in idle:
        del quotas.accounts[customer]
    for voter in [voter for voter, until in quotas.silent.items() if until <= now]:
        del quotas.silent[voter]


def _flush_back(quotas: NodeQuotas, now: Seconds) -> Effects:
    if not quotas.back or now < quotas.back_at:
        return []
    quotas.back_at = now + GIVE_BACK_EACH
    unused: dict[tuple[str, int], list[QuotaUnused]] = {}
    for grant in quotas.back.values():
        if grant.number:
            row = QuotaUnused(grant.number, grant.back)
            unused.setdefault((grant.voter, grant.run), []).append(row)
    quotas.back.clear()
    return [
        QuotaSend(voter, QuotaReturn(run, tuple(rows))) for (voter, run), rows in unused.items()
    ]


def has_work(quotas: NodeQuotas) -> bool:
    """Tell whether time changes anything soon: someone waits, or there is something to give."""
    return bool(quotas.asks or quotas.to_request or quotas.back or quotas.waiting) or any(
        stock.batches for stock in quotas.accounts.values()
    )
