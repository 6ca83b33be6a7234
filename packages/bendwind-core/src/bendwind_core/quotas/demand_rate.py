"""Track the rate at which tokens of a customer are requested, averaged over about a second."""

import math
from typing import Protocol

from bendwind_core.core import Seconds

# The rate decays by half per second. If each token adds ln 2, a steady demand converges to its
# actual rate.
_RATE_PER_TOKEN = math.log(2.0)


class HasDemandRate(Protocol):
    """Hold the rate at which tokens are requested, as of `last_demand_at`.

    Units: `demand_rate` in tokens per second.
    """

    demand_rate: float
    last_demand_at: Seconds


def record_demand(account: HasDemandRate, tokens: float, now: Seconds) -> None:
    """Count requested tokens."""
    account.demand_rate = find_demand_rate(account, now) + tokens * _RATE_PER_TOKEN
    account.last_demand_at = max(account.last_demand_at, now)


def find_demand_rate(account: HasDemandRate, now: Seconds) -> float:
    """Return the rate at which tokens are requested."""
    return account.demand_rate * 0.5 ** max(0.0, now - account.last_demand_at)
