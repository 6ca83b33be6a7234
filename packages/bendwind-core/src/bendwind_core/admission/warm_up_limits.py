"""Find how many requests a cold upstream may be sent in any second."""

import math

from bendwind_core.admission.send_window import SPACING_WINDOW
from bendwind_core.core import MAX_AMOUNT, Record, Seconds
from bendwind_core.world import WarmUpRule


class WarmUpLimits(Record, frozen=True, array_like=True):
    """Hold by how much the warm-up rate of a service may be exceeded in any second.

    Units: `overage` is a factor of the rate, `slack` a number of requests added to it.
    """

    overage: float = 1.0
    slack: float = 1.0


def find_spacing(rule: WarmUpRule | None, limits: WarmUpLimits) -> Seconds:
    """Return the time between two requests that keeps any second within the limit."""
    return SPACING_WINDOW / find_limit(rule, limits)


def find_limit(rule: WarmUpRule | None, limits: WarmUpLimits) -> int:
    """Return how many requests a cold upstream may be sent in any second.

    Only the slack is certain without a rule.
    """
    rate = 0.0 if rule is None else rule.per_second * limits.overage
    # The bounds are the first operands, so that they replace what is not a number.
    return math.floor(max(1.0, min(MAX_AMOUNT, rate + limits.slack)))
