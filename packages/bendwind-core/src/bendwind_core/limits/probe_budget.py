"""Bound what probes of upstreams' load may cost, in any second, whatever the traffic is."""

import collections

import msgspec

from bendwind_core.core import Seconds

_WINDOW_LENGTH: Seconds = 1.0


class ProbeBudget(msgspec.Struct):
    """Hold the messages and bytes spent in the last second.

    The window is exact: a token bucket of this rate would let up to twice as much into a second.
    It holds at most `messages_per_s` entries.
    """

    messages_per_s: int
    bytes_per_s: int
    spent: collections.deque[tuple[Seconds, int, int]] = msgspec.field(
        default_factory=collections.deque
    )
    messages: int = 0
    bytes: int = 0


def spend_probe(budget: ProbeBudget, messages: int, size: int, now: Seconds) -> bool:
    """Pay for a probe with its answer; return False, and pay nothing, where that cannot be."""
    _remove_expired(budget, now)
    if budget.messages + messages > budget.messages_per_s:
        return False
    if budget.bytes + size > budget.bytes_per_s:
        return False
    budget.spent.append((now, messages, size))
    budget.messages += messages
    budget.bytes += size
    return True


def _remove_expired(budget: ProbeBudget, now: Seconds) -> None:
    while budget.spent and now - budget.spent[0][0] > _WINDOW_LENGTH:
        _, messages, size = budget.spent.popleft()
        budget.messages -= messages
        budget.bytes -= size
