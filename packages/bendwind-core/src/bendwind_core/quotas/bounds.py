"""Split what a customer may have over what its quota states among buckets, age and reserve.

In any window W all nodes together may let (rate x W + burst) x (1 + overage) + slack requests run.
What that is above rate x W is spent so:

- the buckets of all voters hold burst x (1 + overage) + slack together
- tokens may be `age` old when they are used, which costs rate x age = rate x W x overage / 2
- the reserve may hold the rest, rate x W x overage / 2

A bucket that cannot hold one token would have to gather the parts of each from other voters, so
that the buckets take from the reserve what they lack to one token each.
"""

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.membership.settings import CLOCK_RATE_BOUND
from bendwind_core.world import Customer

# Customers plan by the second; ten of them even out what one upstream's pause makes of a steady
# stream, and are short beside the minutes for which an overload is a matter for operators.
DEFAULT_WINDOW: Seconds = 10.0
# A tenth above its rate is within what any service that is sized for a customer bears.
DEFAULT_OVERAGE = 0.1
# In requests: two tokens for each of five voters, so that a customer of few requests finds one at
# any.
DEFAULT_SLACK = 10.0
# Tokens age at nodes and, where one voter lent them to another, at voters: each may use half.
_NODE_SHARE = 0.5


class QuotaBounds(msgspec.Struct, frozen=True):
    """Hold how much more than its quota a customer may send.

    Units: `slack` in requests; `overage` is a share of what the quota permits in a window.
    """

    window: Seconds = DEFAULT_WINDOW
    overage: float = DEFAULT_OVERAGE
    slack: float = DEFAULT_SLACK

    @property
    def max_token_age(self) -> Seconds:
        """Return how old a token may be when it goes to a request that came after its ask."""
        return self.overage * self.window / 2 * (1 - CLOCK_RATE_BOUND)

    @property
    def node_validity(self) -> Seconds:
        """Return for how long a node may keep a token, from when it asked for it."""
        return self.max_token_age * _NODE_SHARE

    @property
    def loan_validity(self) -> Seconds:
        """Return for how long a voter may grant what another lent it, from when it asked."""
        return self.max_token_age * (1 - _NODE_SHARE)


class Share(msgspec.Struct, frozen=True):
    """Hold one voter's part of a customer's quota.

    The bucket fills at `rate` up to `cap`. `reserve` is how many tokens of this voter nodes may
    hold for when no voter answers; it is paid for out of the overage.
    Units: `rate` in tokens a second, `cap` and `reserve` in tokens.
    """

    rate: float
    cap: float
    reserve: float


def create_share(customer: Customer, bounds: QuotaBounds, voters: int) -> Share:
    """Return one voter's part of a customer's quota, where `voters` share it."""
    spare = customer.rate_per_s * bounds.window * bounds.overage / 2
    held = customer.burst * (1 + bounds.overage) + bounds.slack
    lacking = min(spare, max(0.0, voters - held))
    rate = customer.rate_per_s / voters * (1 - CLOCK_RATE_BOUND)
    return Share(rate, (held + lacking) / voters, (spare - lacking) / voters)


def find_max_requests(customer: Customer, bounds: QuotaBounds, window: Seconds) -> float:
    """Return how many requests of a customer may run in a window of this length."""
    due = customer.rate_per_s * window + customer.burst
    # The age of tokens is fixed by the settings: in a shorter window as many old ones may be used.
    allowed = customer.rate_per_s * max(window, bounds.window) + customer.burst
    return due + allowed * bounds.overage + bounds.slack
