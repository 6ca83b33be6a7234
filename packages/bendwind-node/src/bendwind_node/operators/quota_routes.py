"""Answer requests about the state of customers' quotas at a voter."""

import msgspec
import trio

from bendwind_core.core import Seconds
from bendwind_core.quotas import VoterQuotas
from bendwind_core.quotas.bucket import refill
from bendwind_core.quotas.voter_state import VoterAccount
from bendwind_node.operators.http import Response, json_response

# An operator reads this many on one screen, or searches them for one name; a voter may hold
# thousands.
MAX_SHOWN_QUOTAS = 200


class QuotaView(msgspec.Struct, frozen=True):
    """Describe the quota of one customer for whom this voter received recent token requests.

    Units: `rate_per_s` and `burst` are the customer's; `level` and `cap` are of this voter's share;
    `granted` and `refused` count from the first request for the customer; all in tokens.
    """

    customer: str
    rate_per_s: float
    burst: float
    level: float
    cap: float
    granted: int
    refused: int


class QuotasView(msgspec.Struct, frozen=True):
    """List the quotas of a voter, the customers with the most refused tokens first.

    `granting` is true while the voter grants tokens; `limited` counts the customers with a limit,
    `active` those of them for whom it received recent token requests.
    """

    voter: str
    granting: bool
    limited: int
    active: int
    granted: int
    refused: int
    lent: float
    borrowed: float
    quotas: tuple[QuotaView, ...]


def make_quotas_response(quotas: VoterQuotas) -> Response:
    """Return a response that lists the quotas of a voter."""
    now = trio.current_time()
    accounts = [item for item in quotas.accounts.items() if item[0] in quotas.customers]
    accounts.sort(key=lambda item: (-item[1].refused, -item[1].granted, item[0]))
    views = tuple(
        _make_view(quotas, name, account, now) for name, account in accounts[:MAX_SHOWN_QUOTAS]
    )
    totals = quotas.totals
    view = QuotasView(
        quotas.name,
        quotas.may_grant(now),
        len(quotas.customers),
        len(accounts),
        totals.granted,
        totals.refused,
        round(totals.lent, 1),
        round(totals.borrowed, 1),
        views,
    )
    return json_response(200, view)


def _make_view(quotas: VoterQuotas, name: str, account: VoterAccount, now: Seconds) -> QuotaView:
    customer = quotas.customers[name]
    bucket = account.bucket
    refill(bucket, now)
    return QuotaView(
        name,
        customer.rate_per_s,
        customer.burst,
        round(bucket.level, 2),
        round(bucket.share.cap, 2),
        account.granted,
        account.refused,
    )
