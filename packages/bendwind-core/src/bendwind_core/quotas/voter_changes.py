"""Take over at a voter who votes, what a quorum confirmed and what the customers' limits are."""

import math

from bendwind_core.core import Seconds
from bendwind_core.quotas.bucket import set_share
from bendwind_core.quotas.reserve import Reserve, find_pause
from bendwind_core.quotas.voter_state import (
    VoterQuotas,
    add_account,
    find_account,
    find_share,
)
from bendwind_core.world import Configuration, Customer


def update_voters(
    quotas: VoterQuotas, voter_id: int | None, peers: tuple[str, ...], now: Seconds
) -> None:
    """Take over the voters: this one's id among them, None if it is none, and the others' names.

    A voter that was not one before begins with empty buckets, and only once its predecessor, which
    may be cut off, grants nothing more. One that was a voter when its process started has no other
    predecessor than its own last run.
    """
    quotas.peers = peers
    is_first = quotas.begun_at is None
    quotas.begun_at = now if is_first else quotas.begun_at
    if voter_id == quotas.voter_id:
        return
    delay = 0.0 if is_first else _find_delay(quotas, now)
    quotas.voter_id = voter_id
    quotas.accounts.clear()
    quotas.busy.clear()
    quotas.takings.clear()
    quotas.waiting = 0
    quotas.has_confirmed = False
    quotas.has_whole_history = False
    quotas.confirmed_at = None
    quotas.filling_from = None if voter_id is None else now + delay
    opens_at = math.inf if voter_id is None else now + delay + find_pause(quotas.bounds.window)
    quotas.reserve = Reserve(quotas.bounds.window, opens_at)


def _find_delay(quotas: VoterQuotas, now: Seconds) -> Seconds:
    """Return for how long a predecessor may still grant.

    A process that has just started hears its log anew, with how it once became a voter: it counts
    from its start, so that customers are served again sooner after a loss of power.
    """
    is_starting = now - quotas.begun_at < quotas.confirmed_for
    return (quotas.begun_at if is_starting else now) + quotas.confirmed_for - now


def record_confirmation(quotas: VoterQuotas, started_at: Seconds) -> None:
    """Hear that a quorum confirmed, since a time, that this is a voter and knows all limits."""
    if quotas.filling_from is None:
        return
    if not quotas.has_confirmed:
        # Where nothing was in force yet, no earlier run or predecessor can have granted anything.
        quotas.has_whole_history = not quotas.is_configured
    quotas.confirmed_at = started_at
    quotas.has_confirmed = True


def update_configuration(quotas: VoterQuotas, configuration: Configuration, now: Seconds) -> None:
    """Take over the customers' limits."""
    quotas.is_configured = quotas.is_configured or configuration.version > 0
    listed = configuration.customers or ()
    limited = {customer.name: customer for customer in listed if customer.is_limited}
    quotas.unlimited = frozenset(customer.name for customer in listed) - limited.keys()
    if limited == quotas.customers:
        return
    before = quotas.customers
    for name in before.keys() - limited.keys():
        # The account is kept, so that a customer that comes back has no more than it would have
        # had.
        find_account(quotas, name, now)
    quotas.customers = limited
    for name, customer in limited.items():
        old = before.get(name)
        if old is None:
            _begin_customer(quotas, customer, now)
        elif (old.rate_per_s, old.burst) != (customer.rate_per_s, customer.burst):
            _change_limit(quotas, old, customer, now)


def _begin_customer(quotas: VoterQuotas, customer: Customer, now: Seconds) -> None:
    share = find_share(quotas, customer)
    account = quotas.accounts.get(customer.name)
    if account is not None:
        set_share(account.bucket, share, quotas.next_number, now)
    elif quotas.has_whole_history:
        # Nobody can have granted its tokens. Otherwise an earlier run of this voter may have: the
        # bucket is opened when it is asked for, with what came since this run began.
        add_account(quotas, customer.name, share, share.cap, now)


def _change_limit(quotas: VoterQuotas, old: Customer, new: Customer, now: Seconds) -> None:
    account = quotas.accounts.get(old.name)
    if account is None:
        # It holds what the old limit permitted, and fills up to the new one from there.
        quotas.customers[old.name] = old
        account = find_account(quotas, old.name, now)
        quotas.customers[old.name] = new
    if account is not None:
        set_share(account.bucket, find_share(quotas, new), quotas.next_number, now)
