"""Hold the state of quotas at a voter: buckets, loans and the demands that wait for a loan."""

import collections
import math

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.quotas.bounds import QuotaBounds, Share, create_share
from bendwind_core.quotas.bucket import Bucket, refill
from bendwind_core.quotas.reserve import Reserve
from bendwind_core.world import Customer

# Maximum number of buckets. A full bucket is evicted, so that those of recently requested customers
# remain; at 2.4 kB each, all stay under 80 MB. Requests of customers without a bucket are refused.
MAX_BUCKETS = 32_768
# A withdrawal can be refunded for this long, which is longer than most requests wait for an
# upstream. A request that waits longer and then does not run costs its customer a token.
RETURN_PERIOD: Seconds = 5.0
# Withdrawals that can be refunded: those of `RETURN_PERIOD` at 13,000 grants and loans a second,
# which bounds memory. Beyond this number the oldest cannot be refunded, which costs customers
# tokens, but lets nobody send more than permitted.
MAX_WITHDRAWALS = 65_536
# Loan requests that are recorded until they are answered, so that tokens lent late can be used or
# returned: those of `RETURN_PERIOD` at 1,600 a second, which bounds memory. Tokens lent for any
# others are lost, which lets nobody send more than permitted.
MAX_PENDING_LOANS = 8192
# Demands that wait for a loan, usually for milliseconds. Further demands get what the bucket holds
# and are refused the rest.
MAX_WAITING_DEMANDS = 4096
# The run of a process is numbered by the millisecond at which the process starts. Its request
# numbers begin at this many times the run. No process sends that many requests in a millisecond,
# so two runs never use the same number.
NUMBERS_PER_RUN = 1 << 20


class Withdrawal(msgspec.Struct):
    """Hold the tokens withdrawn from a bucket for one grant or loan, and how many are refunded."""

    customer: str
    tokens: float
    at: Seconds
    refunded: float = 0.0


class Borrowed(msgspec.Struct):
    """Hold the remaining tokens of a loan; `run` is the lender's, `number` that of the loan."""

    lender: str
    run: int
    number: int
    tokens: float
    expires_at: Seconds


class WaitingDemand(msgspec.Struct):
    """Hold a node's demand for which the bucket had too few tokens, and since when it waits."""

    node: str
    request_number: int
    tokens: int
    since: Seconds
    until: Seconds
    reserve: tuple[int, ...] = ()


class PendingLoan(msgspec.Struct):
    """Hold a loan request to another voter that is not answered, whether or not abandoned."""

    number: int
    lender: str
    sent_at: Seconds


class Lender(msgspec.Struct):
    """Hold another voter's last report about a customer.

    No loan is requested from it before `available_at`.
    """

    lendable: float
    available_at: Seconds


class VoterAccount(msgspec.Struct):
    """Hold a voter's state of a customer that nodes requested tokens for recently.

    Units: `demand_rate` in tokens per second, as of `last_demand_at`; `granted` and `refused` in
    tokens. `retry_at` is when the last node that was refused should send its next quota request.
    """

    bucket: Bucket
    borrowed: list[Borrowed] = msgspec.field(default_factory=list)
    waiting: collections.deque[WaitingDemand] = msgspec.field(default_factory=collections.deque)
    pending_loan: PendingLoan | None = None
    lenders: dict[str, Lender] = msgspec.field(default_factory=dict)
    demand_rate: float = 0.0
    last_demand_at: Seconds = 0.0
    granted: int = 0
    refused: int = 0
    retry_at: Seconds = 0.0


class QuotaTotals(msgspec.Struct):
    """Count, since the start, the tokens that a voter granted, refused, lent and borrowed.

    `unconfirmed` counts quota requests left unanswered because the voter could not grant.
    """

    granted: int = 0
    refused: int = 0
    lent: float = 0.0
    borrowed: float = 0.0
    unconfirmed: int = 0


class VoterQuotas(msgspec.Struct):
    """Hold a voter's quotas.

    - `run` is that of the voter's process, `kept_voters` the number of voters that the deployment
      maintains.
    - Grants need a confirmation by a quorum that is younger than `confirmed_for`.
    - Buckets refill since `filling_from`, which is None while this process is not a voter.
    - `first_voters_at` is when the voters were first reported, shortly after the process started.
    - `is_configured` states that a configuration was ever in force, and `has_complete_history` that
      none was when this voter was first confirmed (`has_confirmed`), so that a customer which is
      new here is new at all voters.
    - `customers` are those with a limit, `unlimited` the names of the others.
    - `busy` names the accounts with waiting demands, loans or pending loan requests.
    - `pending_loans` are the loan requests that are not answered, including abandoned ones.
    """

    name: str
    run: int
    bounds: QuotaBounds
    kept_voters: int
    confirmed_for: Seconds
    reserve: Reserve
    peers: tuple[str, ...] = ()
    filling_from: Seconds | None = None
    first_voters_at: Seconds | None = None
    has_confirmed: bool = False
    is_configured: bool = False
    has_complete_history: bool = False
    confirmed_at: Seconds | None = None
    voter_id: int | None = None
    customers: dict[str, Customer] = msgspec.field(default_factory=dict)
    unlimited: frozenset[str] = frozenset()
    accounts: dict[str, VoterAccount] = msgspec.field(default_factory=dict)
    busy: dict[str, None] = msgspec.field(default_factory=dict)
    withdrawals: collections.OrderedDict[int, Withdrawal] = msgspec.field(
        default_factory=collections.OrderedDict
    )
    pending_loans: collections.OrderedDict[int, PendingLoan] = msgspec.field(
        default_factory=collections.OrderedDict
    )
    next_number: int = 1
    next_loan_request: int = 0
    waiting_count: int = 0
    next_eviction_at: Seconds = 0.0
    totals: QuotaTotals = msgspec.field(default_factory=QuotaTotals)

    def may_grant(self, now: Seconds) -> bool:
        """Return whether no successor can have started to fill this voter's buckets."""
        is_filling = self.filling_from is not None and now >= self.filling_from
        confirmed_at = self.confirmed_at
        if not is_filling or confirmed_at is None:
            return False
        return now - confirmed_at < self.confirmed_for


def create_voter_quotas(
    name: str, run: int, bounds: QuotaBounds, kept_voters: int, confirmed_for: Seconds
) -> VoterQuotas:
    """Create the quotas of a voter that has just started; `run` grows with each start."""
    # An answer to a loan request of an earlier run must not match a request of this run.
    next_loan_request = run * NUMBERS_PER_RUN
    reserve = Reserve(bounds.window, math.inf)
    return VoterQuotas(
        name, run, bounds, kept_voters, confirmed_for, reserve, next_loan_request=next_loan_request
    )


def find_share(quotas: VoterQuotas, customer: Customer) -> Share:
    """Return this voter's share of a customer's quota."""
    return create_share(customer, quotas.bounds, quotas.kept_voters)


def find_or_create_account(quotas: VoterQuotas, name: str, now: Seconds) -> VoterAccount | None:
    """Return the account of a limited customer, created if needed.

    Return None if the customer has no limit, or if the table of buckets is full.
    """
    customer = quotas.customers.get(name)
    if customer is None:
        return None
    account = quotas.accounts.get(name)
    if account is not None:
        return account
    if len(quotas.accounts) >= MAX_BUCKETS:
        return None
    share = find_share(quotas, customer)
    return add_account(quotas, name, share, _find_initial_level(quotas, share, now), now)


def add_account(
    quotas: VoterQuotas, name: str, share: Share, level: float, now: Seconds
) -> VoterAccount:
    """Add an account whose bucket holds `level` tokens."""
    # While its predecessor may still grant, a replacement voter must not refill its buckets.
    refilled_at = now if quotas.filling_from is None else max(now, quotas.filling_from)
    bucket = Bucket(share, level, refilled_at, quotas.next_number)
    account = VoterAccount(bucket, last_demand_at=now)
    quotas.accounts[name] = account
    return account


def _find_initial_level(quotas: VoterQuotas, share: Share, now: Seconds) -> float:
    """Return the level of a bucket without any withdrawal since buckets began to refill."""
    if quotas.filling_from is None:
        return 0.0
    return min(share.cap, share.rate * max(0.0, now - quotas.filling_from))


def is_evictable(quotas: VoterQuotas, account: VoterAccount, now: Seconds) -> bool:
    """Return whether an account that is created later would hold the same."""
    if account.waiting or account.borrowed or account.pending_loan is not None:
        return False
    bucket = account.bucket
    refill(bucket, now)
    is_full = bucket.level >= bucket.share.cap
    return is_full and _find_initial_level(quotas, bucket.share, now) >= bucket.share.cap
