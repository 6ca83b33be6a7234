"""Reserve a few tokens at nodes for the customers they serve, for use while no voter answers.

Each voter has numbered reservations for its share of a customer's reserve. A reservation is
assigned to one node, whose token for it is valid for `RESERVATION_LIFETIME`. It is not assigned
again until a whole window has passed after that. So in any window each reservation permits at most
one request to run, whichever messages or processes are lost.
"""

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.membership.settings import CLOCK_RATE_BOUND
from bendwind_core.quotas.bounds import Share

# A reserved token is valid for this long. This exceeds the duration of an election and of the
# switch to another voter, after which voters grant tokens again.
RESERVATION_LIFETIME: Seconds = 6.0
# A node renews its reserve at this interval, so that one lost message does not end the reserve.
RENEWAL_INTERVAL: Seconds = 2.0
# Maximum number of tokens that a node reserves for one customer; below it, a node reserves about as
# many as the customer's requests to it in a second.
MAX_RESERVE_TOKENS = 64
# Customers with reservations at a voter, which bounds memory. Further customers have no reserve.
MAX_CUSTOMERS = 4096


class Reservation(msgspec.Struct):
    """Hold a numbered reserved token of a voter and the node to which it is assigned.

    The node may use the token until `expires_at`; from `free_at` on, it can be assigned again.
    """

    number: int
    node: str
    expires_at: Seconds
    free_at: Seconds


class Reserve(msgspec.Struct):
    """Hold a voter's reservations by customer; none are assigned before `assignable_from`.

    Until then, tokens that an earlier run or a predecessor assigned may be in use.
    """

    window: Seconds
    assignable_from: Seconds
    reservations: dict[str, list[Reservation]] = msgspec.field(default_factory=dict)


class ReserveToken(msgspec.Struct):
    """Hold a token that a node keeps for use while no voter answers."""

    voter: str
    number: int
    expires_at: Seconds


def find_reuse_delay(window: Seconds) -> Seconds:
    """Return the time from an assignment or renewal until the next assignment is permitted."""
    return RESERVATION_LIFETIME + window * (1 + 2 * CLOCK_RATE_BOUND)


def assign_reservations(
    reserve: Reserve,
    customer: str,
    share: Share,
    node: str,
    wanted: int,
    held_numbers: tuple[int, ...],
    next_number: int,
    now: Seconds,
) -> tuple[int, ...]:
    """Renew the tokens that a node still holds and assign free ones; return their numbers.

    New tokens are numbered from `next_number` on. The caller increases its counter by `wanted`.
    """
    if now < reserve.assignable_from or (not wanted and not held_numbers):
        return ()
    reservations = reserve.reservations.get(customer, [])
    expires_at, free_at = now + RESERVATION_LIFETIME, now + find_reuse_delay(reserve.window)
    renewed = [
        reservation
        for reservation in reservations
        if reservation.number in held_numbers
        and reservation.node == node
        and now < reservation.expires_at
    ]
    for reservation in renewed:
        reservation.expires_at, reservation.free_at = expires_at, free_at
    taken = [reservation for reservation in reservations if now < reservation.free_at]
    free = max(0, min(wanted, int(share.reserve) - len(taken)))
    new = [Reservation(next_number + index, node, expires_at, free_at) for index in range(free)]
    if new and customer not in reserve.reservations and len(reserve.reservations) >= MAX_CUSTOMERS:
        return ()
    if taken or new:
        reserve.reservations[customer] = taken + new
    return tuple(reservation.number for reservation in (*renewed, *new))


def remove_free_reservations(reserve: Reserve, now: Seconds) -> None:
    """Remove customers all of whose reservations are free."""
    for customer in list(reserve.reservations):
        if all(now >= reservation.free_at for reservation in reserve.reservations[customer]):
            del reserve.reservations[customer]


def list_unexpired(held: list[ReserveToken], now: Seconds) -> list[ReserveToken]:
    """Return the tokens that a node may still use."""
    return [token for token in held if now < token.expires_at]


def merge_reserve_tokens(
    held: list[ReserveToken],
    voter: str,
    stated_numbers: tuple[int, ...],
    assigned: tuple[int, ...],
    requested_at: Seconds,
) -> None:
    """Renew and add the reserve tokens that a voter assigned.

    `stated_numbers` are the held tokens that the quota request stated. A stated token that the node
    no longer holds was used meanwhile and is not added again.
    """
    expires_at = requested_at + RESERVATION_LIFETIME * (1 - CLOCK_RATE_BOUND)
    by_number = {token.number: token for token in held if token.voter == voter}
    for number in assigned:
        known = by_number.get(number)
        if known is not None:
            known.expires_at = max(known.expires_at, expires_at)
        elif number not in stated_numbers and len(held) < MAX_RESERVE_TOKENS:
            held.append(ReserveToken(voter, number, expires_at))
