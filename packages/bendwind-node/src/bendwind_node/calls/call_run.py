"""Hold the state of one call while its task, its attempts and its timers are active."""

import collections
from collections.abc import Callable

import msgspec
import trio

from bendwind_core.admission import CallerTime
from bendwind_core.attempts import AnswerHead, AttemptId, BodyPart, CutReason
from bendwind_core.attempts.call import EntryCall
from bendwind_core.attempts.events import (
    EntryEffect,
    EntryEvent,
    StartTimer,
    TimerKind,
)
from bendwind_core.claims import ClaimAnswer
from bendwind_core.core import Seconds
from bendwind_core.quotas import Grant
from bendwind_node.calls.body_flow import Outflow
from bendwind_node.membership import ConfigurationBasis


class CallRun(msgspec.Struct, eq=False):
    """Hold one call; `apply` applies an event and carries out the effects that need no waiting.

    `request_id` is the caller's own id of its request, `span` the time that the caller has, and
    `is_inner` is true once an owner has classified the request as a call made by an upstream.
    `basis` is the configuration by which the request was resolved.
    `quota_grant` states which voter granted the token of the customer's quota.
    """

    call: EntryCall
    apply: Callable[["CallRun", EntryEvent], None]
    method: str
    target: bytes
    headers: tuple
    body: bytes
    arrived_at: Seconds = 0.0
    request_id: str = ""
    is_inner: bool = False
    span: CallerTime | None = None
    basis: ConfigurationBasis = ConfigurationBasis()
    key: str = ""
    signature: bytes = b""
    fingerprint: bytes = b""
    heads: dict[AttemptId, AnswerHead] = msgspec.field(default_factory=dict)
    incoming: dict[tuple[AttemptId, int], BodyPart] = msgspec.field(default_factory=dict)
    pending_effects: collections.deque[EntryEffect] = msgspec.field(
        default_factory=collections.deque
    )
    timers: dict[TimerKind, Seconds] = msgspec.field(default_factory=dict)
    events: collections.deque[EntryEvent] = msgspec.field(default_factory=collections.deque)
    outflows: dict[AttemptId, Outflow] = msgspec.field(default_factory=dict)
    kept_parts: list[bytes] = msgspec.field(default_factory=list)
    replay: ClaimAnswer | CutReason | None = None
    quota_grant: Grant | None = None
    is_applying: bool = False
    wake: trio.Event = msgspec.field(default_factory=trio.Event)

    def feed(self, event: EntryEvent) -> None:
        """Apply an event; queue it while another event is being applied."""
        self.events.append(event)
        if self.is_applying:
            return
        self.is_applying = True
        try:
            while self.events:
                self.apply(self, self.events.popleft())
        finally:
            self.is_applying = False

    def enqueue_effect(self, effect: EntryEffect) -> None:
        """Queue an effect for the call's task and wake the task."""
        self.pending_effects.append(effect)
        self.wake.set()

    def start_timer(self, timer: StartTimer) -> None:
        """Start a timer or change its time."""
        self.timers[timer.kind] = timer.at
        self.wake.set()

    async def wait(self, until: Seconds) -> None:
        """Return when there is an effect to carry out, a timer is due, or `until` is reached."""
        if self.pending_effects:
            return
        self.wake = trio.Event()
        with trio.move_on_at(min((until, *self.timers.values()))):
            await self.wake.wait()

    def pop_due_timers(self, now: Seconds) -> list[TimerKind]:
        """Remove and return the timers that are due, earliest first."""
        due = sorted((at, kind.value) for kind, at in self.timers.items() if at <= now)
        kinds = [TimerKind(value) for _, value in due]
        for kind in kinds:
            del self.timers[kind]
        return kinds
