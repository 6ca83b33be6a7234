"""Follow how many tokens of a customer are asked for, over about a second."""

import math
from typing import Protocol

from bendwind_core.core import Seconds

# Use fades by half in a second: a steady rate adds up to its figure if each token adds ln 2.
_PER_TOKEN = math.log(2.0)


class HasUse(Protocol):
    """Hold a rate of use, in tokens a second, as of a time."""

    use: float
    used_at: Seconds


def note_use(held: HasUse, tokens: float, now: Seconds) -> None:
    """Count tokens that are asked for."""
    held.use = find_use(held, now) + tokens * _PER_TOKEN
    held.used_at = max(held.used_at, now)


def find_use(held: HasUse, now: Seconds) -> float:
    """Return the rate at which tokens are asked for."""
    return held.use * 0.5 ** max(0.0, now - held.used_at)
