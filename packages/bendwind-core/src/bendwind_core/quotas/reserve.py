"""Let nodes hold a few tokens of customers that they serve for when no voter answers.

Each voter has places for its part of a customer's reserve. A place is handed to one node, whose
token in it is good for `KEPT_FOR`, and not again before a whole window has passed since: so in any
window each place lets at most one request run, whoever lost what.
"""

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.membership.settings import CLOCK_RATE_BOUND
from bendwind_core.quotas.bounds import Share

# A reserved token is good for so long: longer than an election, or the move to another voter, after
# which tokens are granted again.
KEPT_FOR: Seconds = 6.0
# A node renews its reserve so often, so that one lost message does not end it.
RENEWED_EACH: Seconds = 2.0
# Tokens that a node reserves of a customer, about what the customer sends it in a second, at most.
MOST_HELD = 64
# Customers with places at a voter, a bound for memory; further ones have no reserve.
MAX_CUSTOMERS = 4096


class Place(msgspec.Struct):
    """Hold which node has a place, under which number, until when and when it is free again."""

    number: int
    node: str
    ends_at: Seconds
    free_at: Seconds


class Reserve(msgspec.Struct):
    """Hold a voter's places by customer; nothing is handed out before `opens_at`.

    Until then, what an earlier run or a predecessor handed out may be in use.
    """

    window: Seconds
    opens_at: Seconds
    places: dict[str, list[Place]] = msgspec.field(default_factory=dict)


class Reserved(msgspec.Struct):
    """Hold a token that a node keeps for when no voter answers."""

    voter: str
    number: int
    expires_at: Seconds


def find_pause(window: Seconds) -> Seconds:
    """Return for how long a place is not handed out anew, from when it was last."""
    return KEPT_FOR + window * (1 + 2 * CLOCK_RATE_BOUND)


def hand_out(
    reserve: Reserve,
    customer: str,
    share: Share,
    node: str,
    wished: int,
    kept: tuple[int, ...],
    next_number: int,
    now: Seconds,
) -> tuple[int, ...]:
    """Renew what a node still holds and hand it more where places are free; return their numbers.

    New ones are numbered from `next_number` on, which the caller counts on by `wished`.
    """
    if now < reserve.opens_at or (not wished and not kept):
        return ()
    places = reserve.places.get(customer, [])
    ends_at, free_at = now + KEPT_FOR, now + find_pause(reserve.window)
    renewed = [
        place
        for place in places
        if place.number in kept and place.node == node and now < place.ends_at
    ]
    for place in renewed:
        place.ends_at, place.free_at = ends_at, free_at
    taken = [place for place in places if now < place.free_at]
    free = max(0, min(wished, int(share.reserve) - len(taken)))
    new = [Place(next_number + index, node, ends_at, free_at) for index in range(free)]
    if new and customer not in reserve.places and len(reserve.places) >= MAX_CUSTOMERS:
        return ()
    if taken or new:
        reserve.places[customer] = taken + new
    return tuple(place.number for place in (*renewed, *new))


def forget_free(reserve: Reserve, now: Seconds) -> None:
    """Forget customers all of whose places are free."""
    for customer in list(reserve.places):
        if all(now >= place.free_at for place in reserve.places[customer]):
            del reserve.places[customer]


def drop_ended(held: list[Reserved], now: Seconds) -> list[Reserved]:
    """Return what a node may still use."""
    return [token for token in held if now < token.expires_at]


def take_over(
    held: list[Reserved],
    voter: str,
    asked_for: tuple[int, ...],
    handed: tuple[int, ...],
    asked_at: Seconds,
) -> None:
    """Keep what a voter handed out; what was used since it was asked for stays used."""
    expires_at = asked_at + KEPT_FOR * (1 - CLOCK_RATE_BOUND)
    by_number = {token.number: token for token in held if token.voter == voter}
    for number in handed:
        known = by_number.get(number)
        if known is not None:
            known.expires_at = max(known.expires_at, expires_at)
        elif number not in asked_for and len(held) < MOST_HELD:
            held.append(Reserved(voter, number, expires_at))
