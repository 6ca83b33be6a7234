"""Show the state of customers' quotas at a control voter."""

from collections.abc import Iterator

from expression import Result

from bendwind_cli.client import Client
from bendwind_cli.outcome import Failure
from bendwind_cli.replies import QuotasReply


def show(client: Client) -> Result[str, Failure]:
    """List the customers whose quotas were requested from the voter recently.

    Errors: no answer.
    """
    return client.request_control("GET", "/v1/quotas", QuotasReply).map(
        lambda reply: "\n".join(_list_lines(reply))
    )


def _list_lines(reply: QuotasReply) -> Iterator[str]:
    state = "grants" if reply.granting else "grants nothing now"
    yield (
        f"{reply.voter} {state}: {reply.granted} granted, {reply.refused} refused, "
        f"{reply.lent:g} lent, {reply.borrowed:g} borrowed; "
        f"{reply.active} of {reply.limited} limited customers active"
    )
    for quota in reply.quotas:
        yield (
            f"{quota.customer} {quota.rate_per_s:g}/s burst {quota.burst:g}: "
            f"{quota.level:g} of {quota.cap:g} here, {quota.granted} granted, "
            f"{quota.refused} refused"
        )
