"""Acquire a token for each request of a customer with a quota."""

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

# The longest wait for a token; it applies to a request without a latency objective. A voter that
# does not answer uses 100 ms of it, and a second voter has the rest.
MAX_TOKEN_WAIT: Seconds = 0.25
# A request with a latency objective may spend this share of its remaining time on the wait. With
# one second left, a second voter has 25 ms, a few round trips; with less than 0.8 s left, the
# request waits for the first voter only.
OBJECTIVE_WAIT_SHARE = 0.125
# The shortest interval between two timeline events for a customer's excess. A customer stays over
# its quota for seconds to minutes, so one event per request would be too many.
EXCESS_RECORD_INTERVAL: Seconds = 10.0
# A customer's count of unrecorded refusals is kept for this time after its last event.
EXCESS_RETENTION: Seconds = 60.0
# An unanswered quota request is detected with at most this delay, a fifth of the time that an
# answer may take.
_TICK: Seconds = 0.02
# The retry interval while no quota request can be sent, for example because no voter is known.
_MIN_TICK: Seconds = 0.001


class _ExcessRecord(msgspec.Struct):
    """Hold when a customer's excess was last recorded, and the number of refusals since then."""

    recorded_at: Seconds
    unrecorded: int = 0


class NodeQuotaTask:
    """Own a node's quotas; `find_customer` returns the known customer of a name."""

    __slots__ = (
        "_excess_records",
        "_has_work",
        "_settled_events",
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
        self._settled_events: dict[Waiter, trio.Event] = {}
        self._excess_records: dict[str, _ExcessRecord] = {}
        self._has_work = trio.Event()
        self._wake_at = math.inf

    async def run(self) -> None:
        """Request tokens, switch from unresponsive voters and return tokens, until cancelled."""
        while True:
            self._has_work = trio.Event()
            self._wake_at = self._find_wake_at(trio.current_time())
            is_due = True
            with trio.move_on_at(self._wake_at):
                await self._has_work.wait()
                is_due = False
            if is_due:
                self._tick(trio.current_time())

    def _find_wake_at(self, now: Seconds) -> Seconds:
        if not has_work(self.quotas):
            return math.inf
        due = max(now + _MIN_TICK, self.quotas.next_request_at)
        return due if self.quotas.to_request else now + _TICK

    def _wake(self) -> None:
        """Wake the task if something is due before its next wake-up time."""
        due = self.quotas.next_request_at if self.quotas.to_request else trio.current_time() + _TICK
        if due < self._wake_at:
            self._has_work.set()

    def is_limited(self, customer: str) -> bool:
        """Return whether a customer has a quota."""
        found = self.find_customer(customer) if customer else None
        return found is not None and found.is_limited

    async def acquire_token(
        self, customer: str, target_at: Seconds | None, deadline_at: Seconds
    ) -> Result[Grant, QuotaRefusal]:
        """Acquire a token, with a short wait; an answer after `target_at` misses the objective.

        Errors: a refusal because no token is left or no voter answered.
        """
        now = trio.current_time()
        until = _find_wait_end(now, target_at, deadline_at)
        result = request_token(self.quotas, customer, until, now)
        self._flush(now)
        self._wake()
        outcome = await self._wait(result) if isinstance(result, Waiter) else result
        if outcome.is_error() and outcome.error.reason is NotRunReason.OVER_QUOTA:
            self._record_excess(customer, outcome.error.voter, now)
        return outcome

    def _record_excess(self, customer: str, voter: str, now: Seconds) -> None:
        """Record a customer's excess at most once per interval, despite any number of refusals."""
        previous = self._excess_records.get(customer)
        if previous is not None and now - previous.recorded_at < EXCESS_RECORD_INTERVAL:
            previous.unrecorded += 1
            return
        unrecorded = 0 if previous is None else previous.unrecorded
        self._excess_records = {
            name: record
            for name, record in self._excess_records.items()
            if now - record.recorded_at < EXCESS_RETENTION
        }
        self._excess_records[customer] = _ExcessRecord(now)
        detail = f"{customer}, refused by {voter}; {unrecorded} more refused before"
        self.recorder.record(EventKind.QUOTA_EXCEEDED, detail=detail)

    async def _wait(self, waiter: Waiter) -> Result[Grant, QuotaRefusal]:
        settled = self._settled_events[waiter] = trio.Event()
        is_received = False
        try:
            # A voter in the same process may already have answered.
            self._notify_settled()
            await settled.wait()
            is_received = True
        finally:
            self._settled_events.pop(waiter, None)
            if not is_received:
                cancel_wait(self.quotas, waiter)
        return waiter.outcome

    def return_token(self, grant: Grant) -> None:
        """Return the token of a request that did not run."""
        return_token(self.quotas, grant)
        self._wake()

    def receive(self, sender: str, reply: QuotaReply) -> None:
        """Handle a voter's reply."""
        now = trio.current_time()
        handle_quota_reply(self.quotas, sender, reply, now)
        self._notify_settled()
        self._flush(now)
        self._wake()

    def _tick(self, now: Seconds) -> None:
        for effect in tick_node(self.quotas, now):
            self._send_effect(effect)
        self._notify_settled()
        self._flush(now)

    def _flush(self, now: Seconds) -> None:
        for effect in flush_quota_requests(self.quotas, self.list_voters(), now):
            self._send_effect(effect)

    def _send_effect(self, effect: QuotaSend) -> None:
        self.send(effect.to, effect.message)

    def _notify_settled(self) -> None:
        settled = [waiter for waiter in self.quotas.settled if waiter in self._settled_events]
        self.quotas.settled = [
            waiter for waiter in self.quotas.settled if waiter not in self._settled_events
        ]
        for waiter in settled:
            self._settled_events[waiter].set()


def _find_wait_end(now: Seconds, target_at: Seconds | None, deadline_at: Seconds) -> Seconds:
    max_wait = math.inf if target_at is None else max(0.0, target_at - now) * OBJECTIVE_WAIT_SHARE
    return min(deadline_at, now + min(MAX_TOKEN_WAIT, max_wait))


def create_node_quota_task(
    bounds: QuotaBounds,
    run: int,
    list_voters: Callable[[], tuple[str, ...]],
    send: Send,
    recorder: Recorder,
) -> NodeQuotaTask:
    """Create the task of a node that has just started; `run` is its incarnation."""
    return NodeQuotaTask(create_node_quotas(bounds, run), list_voters, send, recorder)
