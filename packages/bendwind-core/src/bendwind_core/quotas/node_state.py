"""Hold the state of quotas at a node: tokens, pending quota requests and waiting requests."""

import collections
import math

import msgspec
from expression import Result

from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.quotas.bounds import QuotaBounds
from bendwind_core.quotas.reserve import ReserveToken
from bendwind_core.quotas.voter_state import NUMBERS_PER_RUN


class Grant(msgspec.Struct, eq=False):
    """Identify a grant of a voter's run; `returned` is how many of its tokens are returned."""

    voter: str
    run: int
    number: int
    returned: int = 0


class Batch(msgspec.Struct, eq=False):
    """Hold the remaining tokens of one grant, which no request has taken."""

    grant: Grant
    remaining: int
    expires_at: Seconds


class Waiter(msgspec.Struct, eq=False):
    """Hold a request that waits for a token; `outcome` is set once, when it is settled."""

    customer: str
    arrived_at: Seconds
    until: Seconds
    outcome: "Result[Grant, QuotaRefusal] | None" = None


class QuotaRefusal(msgspec.Struct, frozen=True):
    """State why a request gets no token, which voter refused it, if any, and when to retry."""

    reason: NotRunReason
    retry_after_ms: Milliseconds
    voter: str = ""


class PendingRequest(msgspec.Struct, eq=False):
    """Hold a quota request that is not completely answered.

    `demands` are the tokens still awaited of each customer, `held_numbers` the numbers of the
    reserve tokens that the request stated.
    """

    number: int
    voter: str
    sent_at: Seconds
    demands: dict[str, int]
    held_numbers: dict[str, tuple[int, ...]]
    is_late: bool = False


class NodeAccount(msgspec.Struct, eq=False):
    """Hold a node's state of a customer that it served recently.

    `requested` are the tokens in pending quota requests that are not late. `reserve` holds tokens
    for use while no voter answers, and is renewed at `renew_reserve_at`.
    Units: `demand_rate` in requests per second, as of `last_demand_at`.
    """

    batches: collections.deque[Batch] = msgspec.field(default_factory=collections.deque)
    waiters: collections.deque[Waiter] = msgspec.field(default_factory=collections.deque)
    requested: int = 0
    refused_until: Seconds = -math.inf
    refused_by: str = ""
    reserve: list[ReserveToken] = msgspec.field(default_factory=list)
    renew_reserve_at: Seconds = -math.inf
    demand_rate: float = 0.0
    last_demand_at: Seconds = 0.0


class NodeTotals(msgspec.Struct):
    """Count, since the start, the outcomes of requests of customers with a quota.

    `taken` were given a token that a voter granted, `reserve` a reserve token; `refused` were over
    the quota; for `unknown` no voter answered, or too many requests waited. `returned` counts
    tokens that were returned, `asks` quota requests that were sent.
    """

    taken: int = 0
    refused: int = 0
    unknown: int = 0
    returned: int = 0
    reserve: int = 0
    asks: int = 0


class NodeQuotas(msgspec.Struct, eq=False):
    """Hold a node's quotas.

    `to_request` names customers for whom to send a quota request, `settled` the waiters whose
    outcome is new, `to_return` the grants some of whose tokens are to be returned.
    `silent_until` is, for each voter that did not answer, the time until which it is passed over.
    """

    bounds: QuotaBounds
    accounts: dict[str, NodeAccount] = msgspec.field(default_factory=dict)
    pending_requests: dict[int, PendingRequest] = msgspec.field(default_factory=dict)
    to_request: dict[str, None] = msgspec.field(default_factory=dict)
    settled: list[Waiter] = msgspec.field(default_factory=list)
    to_return: dict[tuple[str, int, int], Grant] = msgspec.field(default_factory=dict)
    silent_until: dict[str, Seconds] = msgspec.field(default_factory=dict)
    next_request_number: int = 0
    next_request_at: Seconds = -math.inf
    next_return_at: Seconds = -math.inf
    next_eviction_at: Seconds = -math.inf
    waiter_count: int = 0
    totals: NodeTotals = msgspec.field(default_factory=NodeTotals)


def create_node_quotas(bounds: QuotaBounds, run: int) -> NodeQuotas:
    """Create the quotas of a node that has just started; `run` grows with each start."""
    # A reply to a quota request of an earlier run must not match a request of this run.
    return NodeQuotas(bounds, next_request_number=run * NUMBERS_PER_RUN)
