"""Answer the requests about what a voter holds of customers' quotas."""

import msgspec
import trio

from bendwind_core.core import Seconds
from bendwind_core.quotas import VoterQuotas
from bendwind_core.quotas.bucket import refill
from bendwind_core.quotas.voter_state import VoterAccount
from bendwind_node.operators.http import Response, json_response

# What an operator reads on one screen or looks for one name in; a voter may hold thousands.
MAX_SHOWN_QUOTAS = 200


class QuotaView(msgspec.Struct, frozen=True):
    """Show what a voter holds of one customer that was asked for lately.

    Units: `rate_per_s` and `burst` are the customer's; `level` and `cap` are of this voter's part,
    `granted` and `refused` since it was first asked for, all in tokens.
    """

    customer: str
    rate_per_s: float
    burst: float
    level: float
    cap: float
    granted: int
    refused: int


class QuotasView(msgspec.Struct, frozen=True):
    """Show the quotas of a voter, those of whom most was refused first.

    `granting` says that the voter grants tokens now; `limited` counts the customers with a limit,
    `active` those of them that were asked for lately.
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
    """List what a voter holds."""
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
