"""Create a voter of quotas and let nodes request tokens of it."""

from bendwind_core.quotas import (
    QuotaBounds,
    QuotaDemand,
    QuotaReply,
    QuotaRequest,
    create_voter_quotas,
    handle_quota_request,
    record_confirmation,
    update_configuration,
    update_voters,
)
from bendwind_core.world import Configuration, Customer

BOUNDS = QuotaBounds(10.0, 0.1, 0.0)
CONFIRMED_FOR = 1.0
RUN = 7


def create_voter(rate=10.0, burst=10.0, voters=1, now=0.0, run=RUN):
    """Create an established voter and a new customer."""
    quotas = create_voter_quotas("v1", run, BOUNDS, voters, CONFIRMED_FOR)
    peers = tuple(f"v{number}" for number in range(2, voters + 1))
    update_voters(quotas, 1, peers, now)
    record_confirmation(quotas, now)
    set_limit(quotas, rate, burst, now)
    return quotas


def set_limit(quotas, rate, burst, now):
    listed = () if rate is None else (Customer("maria", rate_per_s=rate, burst=burst),)
    update_configuration(quotas, Configuration(1, customers=listed), now)


def request_tokens(quotas, waiting, now, prefetch=0, number=1):
    effects = handle_quota_request(
        quotas, "n", QuotaRequest(number, (QuotaDemand("maria", waiting, prefetch),)), now
    )
    return effects


def grant(quotas, waiting, now, prefetch=0, number=1):
    """Request tokens, and return the grant that is sent immediately."""
    replies = [
        effect.message
        for effect in request_tokens(quotas, waiting, now, prefetch, number)
        if isinstance(effect.message, QuotaReply)
    ]
    return replies[-1].grants[0]
