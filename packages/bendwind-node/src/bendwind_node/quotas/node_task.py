"""Take a token for each request of a customer with a quota."""

import math
from collections.abc import Callable

import msgspec
import trio
from expression import Result

from bendwind_core.attempts import NotRunReason
from bendwind_core.core import Record, Seconds
from bendwind_core.quotas import (
    Grant,
    NodeQuotas,
    QuotaBounds,
    QuotaRefusal,
    QuotaReply,
    QuotaSend,
    Waiter,
    cancel_wait,
    create_node_quotas,
    flush_quota_requests,
    handle_quota_reply,
    has_work,
    request_token,
    return_token,
    tick_node,
)
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Customer

Send = Callable[[str, Record], object]

# The longest wait for a token, which a caller without an objective bears: a voter that does not
# answer takes 100 ms of it, and a second one has the rest.
TOKEN_WAIT: Seconds = 0.25
# A request with an objective spares this share of what is left to it. At one second that leaves a
# second voter 25 ms, a few round trips; below 0.8 s the first voter alone is waited for.
OBJECTIVE_SHARE = 0.125
# A customer stays over its quota for seconds to minutes: that is worth a line of the time line so
# often, not one a request.
TELL_EACH: Seconds = 10.0
# A customer's count of refusals not told yet is kept for so long after its last line.
KEEP: Seconds = 60.0
# An unanswered ask is noticed this late at most, a fifth of the time that an answer may take.
_TICK: Seconds = 0.02
# While nothing can be asked, for want of a voter for example, it is tried anew so often.
_SHORTEST_TICK: Seconds = 0.001


class _Told(msgspec.Struct):
    """Hold when a customer's excess was last recorded and how much was refused since."""

    at: Seconds
    untold: int = 0


class NodeQuotaTask:
    """Own a node's quotas; `find_customer` tells what is known of a name."""

    __slots__ = (
        "_has_work",
        "_settled",
        "_told",
        "_wake_at",
        "find_customer",
        "list_voters",
        "quotas",
        "recorder",
        "send",
    )

    def __init__(
        self,
        quotas: NodeQuotas,
        list_voters: Callable[[], tuple[str, ...]],
        send: Send,
        recorder: Recorder,
        find_customer: Callable[[str], Customer | None] = lambda name: None,
    ):
        self.quotas = quotas
        self.list_voters = list_voters
        self.send = send
        self.recorder = recorder
        self.find_customer = find_customer
        self._settled: dict[Waiter, trio.Event] = {}
        self._told: dict[str, _Told] = {}
        self._has_work = trio.Event()
        self._wake_at = math.inf

    async def run(self) -> None:
        """Ask, turn from silent voters and give back, until cancelled."""
        while True:
            self._has_work = trio.Event()
            self._wake_at = self._find_wake(trio.current_time())
            is_due = True
            with trio.move_on_at(self._wake_at):
                await self._has_work.wait()
                is_due = False
            if is_due:
                self._tick(trio.current_time())

    def _find_wake(self, now: Seconds) -> Seconds:
        if not has_work(self.quotas):
            return math.inf
        due = max(now + _SHORTEST_TICK, self.quotas.next_request_at)
        return due if self.quotas.to_request else now + _TICK

    def _wake(self) -> None:
        """Have the task look anew if there is something to do before it would next wake."""
        due = self.quotas.next_request_at if self.quotas.to_request else trio.current_time() + _TICK
        if due < self._wake_at:
            self._has_work.set()

    def is_limited(self, customer: str) -> bool:
        """Tell whether a customer has a quota."""
        found = self.find_customer(customer) if customer else None
        return found is not None and found.is_limited

    async def take(
        self, customer: str, target_at: Seconds | None, deadline_at: Seconds
    ) -> Result[Grant, QuotaRefusal]:
        """Take a token, waiting shortly for one; `target_at` is when an answer is late.

        Errors: a refusal for want of tokens or of an answer.
        """
        now = trio.current_time()
        until = _find_limit(now, target_at, deadline_at)
        asked = request_token(self.quotas, customer, until, now)
        self._flush(now)
        self._wake()
        outcome = await self._wait(asked) if isinstance(asked, Waiter) else asked
        if outcome.is_error() and outcome.error.reason is NotRunReason.OVER_QUOTA:
            self._tell(customer, outcome.error.voter, now)
        return outcome

    def _tell(self, customer: str, voter: str, now: Seconds) -> None:
        """Record that a customer is over its quota, once in a while however much is refused."""
        told = self._told.get(customer)
        if told is not None and now - told.at < TELL_EACH:
            told.untold += 1
            return
        untold = 0 if told is None else told.untold
        self._told = {name: known for name, known in self._told.items() if now - known.at < KEEP}
        self._told[customer] = _Told(now)
        detail = f"{customer}, told by {voter}; {untold} more refused before"
        self.recorder.record(EventKind.QUOTA_EXCEEDED, detail=detail)

    async def _wait(self, waiter: Waiter) -> Result[Grant, QuotaRefusal]:
        settled = self._settled[waiter] = trio.Event()
        is_taken = False
        try:
            # A voter in this process may have answered already.
            self._hand_out()
            await settled.wait()
            is_taken = True
        finally:
            self._settled.pop(waiter, None)
            if not is_taken:
                cancel_wait(self.quotas, waiter)
        return waiter.outcome

    def give_back(self, grant: Grant) -> None:
        """Give back the token of a request that did not run."""
        return_token(self.quotas, grant)
        self._wake()

    def receive(self, sender: str, reply: QuotaReply) -> None:
        """Take over what a voter granted."""
        now = trio.current_time()
        handle_quota_reply(self.quotas, sender, reply, now)
        self._hand_out()
        self._flush(now)
        self._wake()

    def _tick(self, now: Seconds) -> None:
        for effect in tick_node(self.quotas, now):
            self._carry_out(effect)
        self._hand_out()
        self._flush(now)

    def _flush(self, now: Seconds) -> None:
        for effect in flush_quota_requests(self.quotas, self.list_voters(), now):
            self._carry_out(effect)

    def _carry_out(self, effect: QuotaSend) -> None:
        self.send(effect.to, effect.message)

    def _hand_out(self) -> None:
        settled = [waiter for waiter in self.quotas.settled if waiter in self._settled]
        self.quotas.settled = [
            waiter for waiter in self.quotas.settled if waiter not in self._settled
        ]
        for waiter in settled:
            self._settled[waiter].set()


def _find_limit(now: Seconds, target_at: Seconds | None, deadline_at: Seconds) -> Seconds:
    spare = math.inf if target_at is None else max(0.0, target_at - now) * OBJECTIVE_SHARE
    return min(deadline_at, now + min(TOKEN_WAIT, spare))


def create_node_quota_task(
    bounds: QuotaBounds,
    run: int,
    list_voters: Callable[[], tuple[str, ...]],
    send: Send,
    recorder: Recorder,
) -> NodeQuotaTask:
    """Create the task of a node that has just started; `run` is its incarnation."""
    return NodeQuotaTask(create_node_quotas(bounds, run), list_voters, send, recorder)
