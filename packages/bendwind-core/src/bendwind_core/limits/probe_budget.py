"""Limit the messages and bytes of load probes in any second, independently of the traffic."""

import collections

import msgspec

from bendwind_core.core import Seconds

_WINDOW_LENGTH: Seconds = 1.0


class ProbeBudget(msgspec.Struct):
    """Hold the messages and bytes of probes in the last second.

    The sliding window is exact: a token bucket of this rate would allow up to twice as much in one
    second. `spent` holds at most `messages_per_s` entries.
    """

    messages_per_s: int
    bytes_per_s: int
    spent: collections.deque[tuple[Seconds, int, int]] = msgspec.field(
        default_factory=collections.deque
    )
    messages: int = 0
    bytes: int = 0


def spend_probe(budget: ProbeBudget, messages: int, size: int, now: Seconds) -> bool:
    """Charge a probe and its answer; return False, and charge nothing, if the budget is too low."""
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
