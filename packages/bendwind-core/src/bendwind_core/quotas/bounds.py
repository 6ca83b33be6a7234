"""Split a customer's permitted excess over its quota among buckets, token age and reserve.

In any window of length W, all nodes together may run at most
(rate x W + burst) x (1 + overage) + slack requests of a customer. The excess over rate x W is
divided as follows:

- The buckets of all voters together hold burst x (1 + overage) + slack tokens.
- Tokens may be up to `max_token_age` old when they are used, which costs
  rate x age = rate x W x overage / 2.
- The reserve may hold the rest, rate x W x overage / 2.

A bucket whose capacity is below one token would have to borrow fractions from other voters for each
grant. Buckets therefore take from the reserve what each lacks to the capacity of one token.
"""

import msgspec

from bendwind_core.core import MAX_AMOUNT, MIN_RATE_PER_S, Seconds
from bendwind_core.membership.settings import CLOCK_RATE_BOUND
from bendwind_core.world import Customer

# Customers plan in requests per second. Ten seconds even out the effect of one upstream's pause on
# a steady stream, and are short compared with the minutes after which an overload is a matter for
# operators.
DEFAULT_WINDOW: Seconds = 10.0
# Any service that is sized for a customer tolerates a tenth above the customer's rate.
DEFAULT_OVERAGE = 0.1
# In requests: two tokens for each of five voters, so that a customer with few requests finds a
# token at any voter.
DEFAULT_SLACK = 10.0
# Tokens age at nodes and, if one voter lent them to another, also at voters. Each of the two may
# use half of the maximum age.
_NODE_AGE_SHARE = 0.5


class QuotaBounds(msgspec.Struct, frozen=True):
    """Hold how far a customer may exceed its quota.

    Units: `slack` in requests; `overage` is a share of what the quota permits in a window.
    """

    window: Seconds = DEFAULT_WINDOW
    overage: float = DEFAULT_OVERAGE
    slack: float = DEFAULT_SLACK

    @property
    def max_token_age(self) -> Seconds:
        """Return the maximum age of a token for a request that arrived after the quota request."""
        return self.overage * self.window / 2 * (1 - CLOCK_RATE_BOUND)

    @property
    def node_validity(self) -> Seconds:
        """Return for how long a node may keep a token, counted from the node's quota request."""
        return self.max_token_age * _NODE_AGE_SHARE

    @property
    def loan_validity(self) -> Seconds:
        """Return for how long a voter may grant borrowed tokens, counted from its loan request."""
        return self.max_token_age * (1 - _NODE_AGE_SHARE)


class Share(msgspec.Struct, frozen=True):
    """Hold one voter's share of a customer's quota.

    The bucket refills at `rate` up to `cap`. `reserve` is the number of this voter's tokens that
    nodes may hold for use while no voter answers; the overage pays for it.
    Units: `rate` in tokens per second, `cap` and `reserve` in tokens.
    """

    rate: float
    cap: float
    reserve: float


def create_share(customer: Customer, bounds: QuotaBounds, voters: int) -> Share:
    """Return one voter's share of a customer's quota, which is split among `voters` voters.

    Tokens are counted in whole numbers and waits are quotients by the rate, so both have to stay
    finite, whatever the quota is.
    """
    # The limit is the first operand, so that it replaces what is not a number.
    rate_per_s = max(MIN_RATE_PER_S, min(MAX_AMOUNT, customer.rate_per_s))
    burst = max(0.0, min(MAX_AMOUNT, customer.burst))
    max_reserve = rate_per_s * bounds.window * bounds.overage / 2
    total_cap = burst * (1 + bounds.overage) + bounds.slack
    shortfall = min(max_reserve, max(0.0, voters - total_cap))
    rate = rate_per_s / voters * (1 - CLOCK_RATE_BOUND)
    return Share(rate, (total_cap + shortfall) / voters, (max_reserve - shortfall) / voters)


def find_max_requests(customer: Customer, bounds: QuotaBounds, window: Seconds) -> float:
    """Return how many requests of a customer may run in a window of this length."""
    within_quota = customer.rate_per_s * window + customer.burst
    # The maximum age of tokens depends only on the settings, so a shorter window may use as many
    # old tokens as `bounds.window`.
    overage_base = customer.rate_per_s * max(window, bounds.window) + customer.burst
    return within_quota + overage_base * bounds.overage + bounds.slack
