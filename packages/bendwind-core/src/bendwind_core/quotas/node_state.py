"""Hold what a node knows of quotas: tokens, asks, and the requests that wait."""

import collections
import math

import msgspec
from expression import Result

from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.quotas.bounds import QuotaBounds
from bendwind_core.quotas.reserve import Reserved
from bendwind_core.quotas.voter_state import NUMBERS_PER_RUN


class Grant(msgspec.Struct, eq=False):
    """Hold a grant of a voter's run, and how many of its tokens are given back."""

    voter: str
    run: int
    number: int
    back: int = 0


class Batch(msgspec.Struct, eq=False):
    """Hold tokens of one grant that no request has taken."""

    grant: Grant
    left: int
    expires_at: Seconds


class Waiter(msgspec.Struct, eq=False):
    """Hold a request that waits for a token; `outcome` is set once, when it is settled."""

    customer: str
    arrived_at: Seconds
    until: Seconds
    outcome: "Result[Grant, QuotaRefusal] | None" = None


class QuotaRefusal(msgspec.Struct, frozen=True):
    """Say why a request gets no token, which voter said so, if any, and when to come back."""

    reason: NotRunReason
    retry_after_ms: Milliseconds
    voter: str = ""


class Ask(msgspec.Struct, eq=False):
    """Hold an ask that is not answered whole: the tokens still awaited of each customer.

    `kept` are the numbers of the reserve that it stated.
    """

    number: int
    voter: str
    sent_at: Seconds
    demands: dict[str, int]
    kept: dict[str, tuple[int, ...]]
    is_late: bool = False


class NodeAccount(msgspec.Struct, eq=False):
    """Hold what a node keeps of a customer that it served lately.

    `asked` are the tokens in asks that are not late. `reserve` is for when no voter answers, and is
    renewed at `reserve_at`. Units: `use` in requests a second.
    """

    batches: collections.deque[Batch] = msgspec.field(default_factory=collections.deque)
    waiting: collections.deque[Waiter] = msgspec.field(default_factory=collections.deque)
    asked: int = 0
    refused_until: Seconds = -math.inf
    refused_by: str = ""
    reserve: list[Reserved] = msgspec.field(default_factory=list)
    reserve_at: Seconds = -math.inf
    use: float = 0.0
    used_at: Seconds = 0.0


class NodeTotals(msgspec.Struct):
    """Count, since the start, what became of requests of customers with a quota."""

    taken: int = 0
    refused: int = 0
    unknown: int = 0
    returned: int = 0
    reserve: int = 0
    asks: int = 0


class NodeQuotas(msgspec.Struct, eq=False):
    """Hold a node's quotas.

    `wanting` names customers to ask for, `settled` the waiters whose outcome is new, `back` the
    grants of which tokens are to be given back.
    """

    bounds: QuotaBounds
    accounts: dict[str, NodeAccount] = msgspec.field(default_factory=dict)
    asks: dict[int, Ask] = msgspec.field(default_factory=dict)
    to_request: dict[str, None] = msgspec.field(default_factory=dict)
    settled: list[Waiter] = msgspec.field(default_factory=list)
    back: dict[tuple[str, int, int], Grant] = msgspec.field(default_factory=dict)
    silent: dict[str, Seconds] = msgspec.field(default_factory=dict)
    next_ask: int = 0
    next_request_at: Seconds = -math.inf
    back_at: Seconds = -math.inf
    forget_at: Seconds = -math.inf
    waiting: int = 0
    totals: NodeTotals = msgspec.field(default_factory=NodeTotals)


def create_node_quotas(bounds: QuotaBounds, run: int) -> NodeQuotas:
    """Create the quotas of a node that has just started; `run` grows with each start."""
    # What was asked in an earlier run must not be taken for an answer to this one.
    return NodeQuotas(bounds, next_ask=run * NUMBERS_PER_RUN)
