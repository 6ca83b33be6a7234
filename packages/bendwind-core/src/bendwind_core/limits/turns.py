"""Have customers take turns by the work that was lately done for each.

A customer's use fades, so that what it asked for some seconds ago is not held against it. Of those
that wait, the one for which least was done goes first; each further request of the same customer
counts the ones before it.
"""

import collections

import msgspec

from bendwind_core.core import Milliseconds, Seconds

# The use of a customer fades by half in so long: about the length of a few requests, so that who
# was served just now lets others go first, and a burst is forgotten soon after its end.
USE_HALF_TIME: Seconds = 1.0
# Customers whose use is known; of more, those served longest ago are forgotten, for whom next to
# nothing was done lately.
MAX_CUSTOMERS = 256


class Use(msgspec.Struct):
    """Hold the work done for one customer as of a time."""

    work_ms: Milliseconds
    at: Seconds


class Turns(msgspec.Struct):
    """Hold the work done for each customer, the one served longest ago first."""

    uses: collections.OrderedDict[str, Use] = msgspec.field(default_factory=collections.OrderedDict)


def note_work(turns: Turns, customer: str, work_ms: Milliseconds, now: Seconds) -> None:
    """Count work for a customer; requests of nobody known are those of one more, unnamed."""
    done_ms = find_use_ms(turns, customer, now) + work_ms
    turns.uses[customer] = Use(done_ms, now)
    turns.uses.move_to_end(customer)
    if len(turns.uses) > MAX_CUSTOMERS:
        turns.uses.popitem(last=False)


def find_use_ms(turns: Turns, customer: str, now: Seconds) -> Milliseconds:
    """Return how much was lately done for a customer."""
    use = turns.uses.get(customer)
    if use is None:
        return 0.0
    return use.work_ms * 0.5 ** ((now - use.at) / USE_HALF_TIME)
