"""Carry out the effects of one call that wait: claiming, answering, finishing."""

import contextlib
import math
from collections.abc import Iterator

import trio

from bendwind_core.admission import Request, note_refused
from bendwind_core.attempts import AnswerHead, AttemptId, BodyCredit, CutReason, NotRunReason
from bendwind_core.attempts import events as ev
from bendwind_core.claims import (
    AnswerNotKept,
    ClaimDecision,
    Granted,
    KeyConflict,
    OutcomeUnknown,
    Recorded,
    StillPending,
)
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.timeline import EventKind
from bendwind_node.calls import headers as names
from bendwind_node.calls import outcomes
from bendwind_node.calls.call_facts import make_call_facts
from bendwind_node.calls.call_run import CallRun
from bendwind_node.calls.caller_exchange import CallerExchange, CallerGoneError
from bendwind_node.calls.entry_node import EntryNode

# A caller that goes away is noticed after this; most calls end sooner and are spared the watcher.
GONE_WATCH_AFTER: Seconds = 0.025


class Delivery:
    """Deliver one call's outcome to its caller."""

    __slots__ = ("entry", "exchange", "is_gone", "is_started", "run")

    def __init__(self, entry: EntryNode, exchange: CallerExchange, run: CallRun):
        self.entry = entry
        self.exchange = exchange
        self.run = run
        self.is_started = False
        self.is_gone = False

    async def finish(self) -> None:
        """Go on until the final outcome is delivered."""
        if await self._go_on(is_watched=False):
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_gone)
            await self._go_on(is_watched=True)
            nursery.cancel_scope.cancel()

    async def _watch_gone(self) -> None:
        await self.exchange.wait_gone()
        self._note_gone()

    def _note_gone(self) -> None:
        if not self.is_gone:
            self.is_gone = True
            self.run.feed(ev.CallerGone())

    @contextlib.contextmanager
    def _noticing_gone(self) -> Iterator[None]:
        """Take a failed sending as the caller's end; what follows is not sent either."""
        try:
            yield
        except CallerGoneError:
            self._note_gone()

    async def _go_on(self, *, is_watched: bool) -> bool:
        """Carry out effects; False if the call lasts and its caller is to be watched."""
        run = self.run
        until = math.inf if is_watched else trio.current_time() + GONE_WATCH_AFTER
        while is_watched or not self.is_started:
            await run.wait(until)
            while run.todo:
                effect = run.todo.popleft()
                await self._carry_out(effect)
                if isinstance(effect, ev.FINAL_EFFECTS):
                    return True
            now = trio.current_time()
            for kind in run.take_due_timers(now):
                run.feed(ev.TimerFired(kind))
            if now >= until:
                return False
        return False

    async def _carry_out(self, effect: ev.EntryEffect) -> None:
        run = self.run
        call_id = run.call.call_id
        match effect:
            case ev.RequestClaim():
                await self._claim()
            case ev.DeliverHead(attempt=attempt):
                await self._send_head(run.heads[attempt])
            case ev.DeliverPart(attempt=attempt):
                await self._send_part(attempt)
            case ev.DeliverRecorded():
                await self._send_recorded()
            case ev.FinishDelivered():
                self._record_end("answered", self._find_delivered_status())
            case ev.FinishNotRun(reason=reason, retry_after_ms=retry_after_ms):
                status = outcomes.find_not_run_status(reason, self.entry.dialect)
                self._remember_refused()
                if run.is_inner and reason is not NotRunReason.QUARANTINED:
                    # A poison request says nothing of the room at the service that it calls.
                    self.entry.owner.record_inner_call_refused()
                await self._send_outcome(status, outcomes.NOT_RUN, reason, retry_after_ms)
            case ev.FinishUnknown(reason=reason, retry_after_ms=retry_after_ms):
                if isinstance(run.replay, str):
                    reason = run.replay
                status = outcomes.find_unknown_status(reason)
                await self._send_outcome(status, outcomes.UNKNOWN, reason, retry_after_ms)
            case ev.FinishRefused(reason=reason):
                await self._send_outcome(422, outcomes.REFUSED, reason, None)
            case ev.FinishGone():
                self._record_end("caller gone")
            case ev.Cut(reason=reason):
                self._record_end(f"cut: {reason}")
                self.exchange.abort()
            case _:
                raise AssertionError(f"{call_id}: no task effect: {effect!r}")

    async def _claim(self) -> None:
        run = self.run
        call = run.call
        decision = await self.entry.claims.claim(
            call.service.name, run.key, run.fingerprint, call.call_id, call.deadline_at
        )
        if isinstance(decision, Recorded):
            run.replay = decision.answer
        if isinstance(decision, AnswerNotKept):
            run.replay = CutReason.ANSWER_NOT_KEPT
        run.feed(_translate_claim(decision))

    async def _send_head(self, head: AnswerHead) -> None:
        self.is_started = True
        added = ()
        if self.entry.dialect.has_outcomes:
            added = (names.VIA, (names.CALL, self.run.call.call_id.encode()))
        with self._noticing_gone():
            await self.exchange.send_head(head.status, (*head.headers, *added))
            await self.exchange.send_part(head.body, more=head.more)

    async def _send_part(self, attempt: AttemptId) -> None:
        run = self.run
        index = min(index for id, index in run.incoming if id == attempt)
        part = run.incoming.pop((attempt, index))
        with self._noticing_gone():
            await self.exchange.send_part(part.data, more=part.more)
        if part.more:
            self._grant_credit(attempt, len(part.data))

    def _grant_credit(self, attempt: AttemptId, credit: int) -> None:
        for known in self.run.call.attempts:
            if known.id == attempt:
                self.entry.send(known.upstream.owner.name, BodyCredit(attempt, credit))

    async def _send_recorded(self) -> None:
        answer = self.run.replay
        self._record_end("recorded answer", answer.status)
        extra = (
            names.VIA,
            (names.CALL, self.run.call.call_id.encode()),
            (names.REPLAYED, b"true"),
        )
        with self._noticing_gone():
            await self.exchange.send_head(answer.status, (*answer.headers, *extra))
            await self.exchange.send_part(answer.body, more=False)

    async def _send_outcome(
        self, status: int, outcome: bytes, reason: str, retry_after_ms: Milliseconds | None
    ) -> None:
        self._record_end(f"{outcome.decode()}: {reason}", status)
        with self._noticing_gone():
            await outcomes.send_outcome(
                self.exchange,
                self.run.call.call_id,
                status,
                outcome,
                reason,
                retry_after_ms,
                self.entry.dialect,
            )

    def _remember_refused(self) -> None:
        run = self.run
        if run.span is not None and math.isfinite(run.span.ends_at):
            asked = Request(run.call.rule.name, run.method, run.target)
            note_refused(self.entry.returns, asked, run.span, trio.current_time())

    def _find_delivered_status(self) -> int:
        winner = self.run.call.winner
        return 0 if winner is None else self.run.heads[winner.id].status

    def _record_end(self, detail: str, status: int = 0) -> None:
        run = self.run
        now = trio.current_time()
        self.entry.recorder.record(
            EventKind.CALL_FINISHED,
            call=run.call.call_id,
            detail=detail,
            request=run.request_id,
            facts=make_call_facts(run, status, self.entry.membership, now),
        )


def _translate_claim(decision: ClaimDecision) -> ev.EntryEvent:
    match decision:
        case Granted():
            return ev.ClaimGranted()
        case Recorded():
            return ev.ClaimHeldByOther(is_recorded=True)
        case AnswerNotKept() | OutcomeUnknown() | StillPending():
            return ev.ClaimHeldByOther()
        case KeyConflict():
            return ev.ClaimRefused(ev.ClaimRefusal.KEY_REUSED)
    return ev.ClaimRefused(ev.ClaimRefusal.UNAVAILABLE)
