"""Hold what a voter knows of quotas: buckets, loans and the wants that wait for one."""

import collections
import math

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.quotas.bounds import QuotaBounds, Share, create_share
from bendwind_core.quotas.bucket import Bucket, refill
from bendwind_core.quotas.reserve import Reserve
from bendwind_core.world import Customer

# Buckets kept at once. A full one is forgotten, so that those remain that were asked for lately; at
# 2.4 kB each, all stay under 80 MB. A customer beyond them is refused.
MAX_BUCKETS = 32_768
# What was taken can be put back for so long: longer than most requests wait for an upstream. One
# that waits longer and then does not run has cost its customer a token.
UNDONE_FOR: Seconds = 5.0
# Takings that can be put back: those of `UNDONE_FOR` at 13,000 grants and loans a second, which
# bounds memory. Of more, the oldest cannot be put back: that costs customers, and lets nobody send
# more.
MAX_TAKINGS = 65_536
# Questions to lenders that are remembered until they are answered, so that what is lent late can be
# used or given back: those of `UNDONE_FOR` at 1,600 a second, which bounds memory. What is lent on
# more is lost, which lets nobody send more.
MAX_PULLS = 8192
# Wants that wait for a loan, mostly for milliseconds. Further ones get what the bucket has, and are
# refused the rest.
MAX_WAITING = 4096
# The run of a process is numbered by the millisecond at which it starts. Its questions count on
# from there by so many a millisecond, more than any process sends, so that two runs never share a
# number.
NUMBERS_PER_RUN = 1 << 20


class Taking(msgspec.Struct):
    """Hold what was taken from a bucket for one grant or loan, and how much of it came back."""

    customer: str
    tokens: float
    at: Seconds
    back: float = 0.0


class Borrowed(msgspec.Struct):
    """Hold what another voter lent: its run's number of the loan, and what is left of it."""

    lender: str
    run: int
    number: int
    tokens: float
    expires_at: Seconds


class Waiting(msgspec.Struct):
    """Hold a node's want for which the bucket had too little, and since when it waits."""

    node: str
    number: int
    waiting: int
    since: Seconds
    until: Seconds
    reserve: tuple[int, ...] = ()


class Pulling(msgspec.Struct):
    """Hold a question to another voter that is not answered, be it that it was given up."""

    number: int
    lender: str
    sent_at: Seconds


class Lender(msgspec.Struct):
    """Hold the last word of another voter about a customer; before `ask_from` it is left alone."""

    left: float
    available_at: Seconds


class VoterAccount(msgspec.Struct):
    """Hold what a voter keeps of a customer that was asked for lately.

    Units: `use` in tokens a second, as of `used_at`; `granted` and `refused` in tokens.
    `room_at` is when the last node that was refused should ask again.
    """

    bucket: Bucket
    borrowed: list[Borrowed] = msgspec.field(default_factory=list)
    waiting: collections.deque[Waiting] = msgspec.field(default_factory=collections.deque)
    pulling: Pulling | None = None
    lenders: dict[str, Lender] = msgspec.field(default_factory=dict)
    use: float = 0.0
    used_at: Seconds = 0.0
    granted: int = 0
    refused: int = 0
    room_at: Seconds = 0.0


class QuotaTotals(msgspec.Struct):
    """Count, since the start, what a voter granted, refused, lent and got lent."""

    granted: int = 0
    refused: int = 0
    lent: float = 0.0
    borrowed: float = 0.0
    unconfirmed: int = 0


class VoterQuotas(msgspec.Struct):
    """Hold a voter's quotas.

    `run` is that of its process, `kept_voters` the number that the deployment keeps. Grants need a
    confirmation, by a quorum, that is younger than `confirmed_for`. Buckets fill since
    `filling_from`, None while this is no voter. `begun_at` is when the voters were first told of,
    shortly after the process started. `is_configured` says that a configuration was ever in force,
    and `has_whole_history` that none was when this was first confirmed (`has_confirmed`), so that a
    customer which is new here is new everywhere. `customers` are those with a limit, `unlimited`
    names the others. `busy` names the accounts with wants, loans or questions under way. `pulls`
    are the questions that are not answered, also those given up.
    """

    name: str
    run: int
    bounds: QuotaBounds
    kept_voters: int
    confirmed_for: Seconds
    reserve: Reserve
    peers: tuple[str, ...] = ()
    filling_from: Seconds | None = None
    begun_at: Seconds | None = None
    has_confirmed: bool = False
    is_configured: bool = False
    has_whole_history: bool = False
    confirmed_at: Seconds | None = None
    voter_id: int | None = None
    customers: dict[str, Customer] = msgspec.field(default_factory=dict)
    unlimited: frozenset[str] = frozenset()
    accounts: dict[str, VoterAccount] = msgspec.field(default_factory=dict)
    busy: dict[str, None] = msgspec.field(default_factory=dict)
    takings: collections.OrderedDict[int, Taking] = msgspec.field(
        default_factory=collections.OrderedDict
    )
    pulls: collections.OrderedDict[int, Pulling] = msgspec.field(
        default_factory=collections.OrderedDict
    )
    next_number: int = 1
    next_pull: int = 0
    waiting: int = 0
    forget_at: Seconds = 0.0
    totals: QuotaTotals = msgspec.field(default_factory=QuotaTotals)

    def may_grant(self, now: Seconds) -> bool:
        """Tell whether no successor can have begun to fill this voter's buckets."""
        is_filling = self.filling_from is not None and now >= self.filling_from
        confirmed_at = self.confirmed_at
        if not is_filling or confirmed_at is None:
            return False
        return now - confirmed_at < self.confirmed_for


def create_voter_quotas(
    name: str, run: int, bounds: QuotaBounds, kept_voters: int, confirmed_for: Seconds
) -> VoterQuotas:
    """Create the quotas of a voter that has just started; `run` grows with each start."""
    # What was asked in an earlier run must not be taken for an answer to this one.
    next_pull = run * NUMBERS_PER_RUN
    reserve = Reserve(bounds.window, math.inf)
    return VoterQuotas(name, run, bounds, kept_voters, confirmed_for, reserve, next_pull=next_pull)


def find_share(quotas: VoterQuotas, customer: Customer) -> Share:
    """Return this voter's part of a customer's quota."""
    return create_share(customer, quotas.bounds, quotas.kept_voters)


def find_account(quotas: VoterQuotas, name: str, now: Seconds) -> VoterAccount | None:
    """Return the account of a limited customer, made if there is none; None if it has no limit."""
    customer = quotas.customers.get(name)
    if customer is None:
        return None
    account = quotas.accounts.get(name)
    if account is not None:
        return account
    if len(quotas.accounts) >= MAX_BUCKETS:
        return None
    share = find_share(quotas, customer)
    return add_account(quotas, name, share, _find_first_level(quotas, share, now), now)


def add_account(
    quotas: VoterQuotas, name: str, share: Share, level: float, now: Seconds
) -> VoterAccount:
    """Open an account whose bucket holds so much."""
    # A voter that took another's place fills nothing while its predecessor may still grant.
    filled_at = now if quotas.filling_from is None else max(now, quotas.filling_from)
    bucket = Bucket(share, level, filled_at, quotas.next_number)
    account = VoterAccount(bucket, used_at=now)
    quotas.accounts[name] = account
    return account


def _find_first_level(quotas: VoterQuotas, share: Share, now: Seconds) -> float:
    """Return what a bucket holds that was left alone ever since it began to fill."""
    if quotas.filling_from is None:
        return 0.0
    return min(share.cap, share.rate * max(0.0, now - quotas.filling_from))


def is_forgettable(quotas: VoterQuotas, account: VoterAccount, now: Seconds) -> bool:
    """Tell whether an account opened anew would hold the same."""
    if account.waiting or account.borrowed or account.pulling is not None:
        return False
    bucket = account.bucket
    refill(bucket, now)
    is_full = bucket.level >= bucket.share.cap
    return is_full and _find_first_level(quotas, bucket.share, now) >= bucket.share.cap
