"""Apply changes of the voters, the quorum's confirmations and the customers' limits to a voter."""

import math

from bendwind_core.core import Seconds
from bendwind_core.quotas.bucket import set_share
from bendwind_core.quotas.reserve import Reserve, find_reuse_delay
from bendwind_core.quotas.voter_state import (
    VoterQuotas,
    add_account,
    find_or_create_account,
    find_share,
)
from bendwind_core.world import Configuration, Customer


def update_voters(
    quotas: VoterQuotas, voter_id: int | None, peers: tuple[str, ...], now: Seconds
) -> None:
    """Update this voter's id, None if this process is not a voter, and the other voters' names.

    A process that becomes a voter starts with empty buckets. It starts only when its predecessor,
    which may be cut off from the quorum, can no longer grant anything. If the process was already a
    voter when it started, its only predecessor is its own last run.
    """
    quotas.peers = peers
    is_first = quotas.first_voters_at is None
    quotas.first_voters_at = now if is_first else quotas.first_voters_at
    if voter_id == quotas.voter_id:
        return
    delay = 0.0 if is_first else _find_start_delay(quotas, now)
    quotas.voter_id = voter_id
    quotas.accounts.clear()
    quotas.busy.clear()
    quotas.withdrawals.clear()
    quotas.waiting_count = 0
    quotas.has_confirmed = False
    quotas.has_complete_history = False
    quotas.confirmed_at = None
    quotas.filling_from = None if voter_id is None else now + delay
    assignable_from = (
        math.inf if voter_id is None else now + delay + find_reuse_delay(quotas.bounds.window)
    )
    quotas.reserve = Reserve(quotas.bounds.window, assignable_from)


def _find_start_delay(quotas: VoterQuotas, now: Seconds) -> Seconds:
    """Return for how long a predecessor may still grant.

    A process that has just started replays its log, which contains the entry that made it a voter.
    The delay then counts from the start of the process, so that customers are served again sooner
    after a power loss.
    """
    is_starting = now - quotas.first_voters_at < quotas.confirmed_for
    return (quotas.first_voters_at if is_starting else now) + quotas.confirmed_for - now


def record_confirmation(quotas: VoterQuotas, started_at: Seconds) -> None:
    """Record that a quorum confirmed, since `started_at`, that this voter knows all limits.

    The quorum also confirmed that this process is a voter.
    """
    if quotas.filling_from is None:
        return
    if not quotas.has_confirmed:
        # If no configuration was in force yet, no earlier run or predecessor can have granted
        # anything.
        quotas.has_complete_history = not quotas.is_configured
    quotas.confirmed_at = started_at
    quotas.has_confirmed = True


def update_configuration(quotas: VoterQuotas, configuration: Configuration, now: Seconds) -> None:
    """Apply the customers' limits."""
    quotas.is_configured = quotas.is_configured or configuration.version > 0
    listed = configuration.customers or ()
    limited = {customer.name: customer for customer in listed if customer.is_limited}
    quotas.unlimited = frozenset(customer.name for customer in listed) - limited.keys()
    if limited == quotas.customers:
        return
    before = quotas.customers
    for name in before.keys() - limited.keys():
        # The account is kept, so that a customer that is removed and added again has no more tokens
        # than without the removal.
        find_or_create_account(quotas, name, now)
    quotas.customers = limited
    for name, customer in limited.items():
        old = before.get(name)
        if old is None:
            _add_customer(quotas, customer, now)
        elif (old.rate_per_s, old.burst) != (customer.rate_per_s, customer.burst):
            _change_limit(quotas, old, customer, now)


def _add_customer(quotas: VoterQuotas, customer: Customer, now: Seconds) -> None:
    share = find_share(quotas, customer)
    account = quotas.accounts.get(customer.name)
    if account is not None:
        set_share(account.bucket, share, quotas.next_number, now)
    elif quotas.has_complete_history:
        # Nobody can have granted the customer's tokens, so the bucket starts full. Otherwise an
        # earlier run of this voter may have granted them: the first quota request then creates the
        # bucket, with the tokens that accrued since this run began.
        add_account(quotas, customer.name, share, share.cap, now)


def _change_limit(quotas: VoterQuotas, old: Customer, new: Customer, now: Seconds) -> None:
    account = quotas.accounts.get(old.name)
    if account is None:
        # The bucket holds what the old limit permitted, and refills up to the new one from there.
        quotas.customers[old.name] = old
        account = find_or_create_account(quotas, old.name, now)
        quotas.customers[old.name] = new
    if account is not None:
        set_share(account.bucket, find_share(quotas, new), quotas.next_number, now)
