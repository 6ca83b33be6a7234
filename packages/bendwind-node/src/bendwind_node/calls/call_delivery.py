"""Carry out the effects of a call that may wait: claiming its key, answering, finishing."""

import contextlib
import math
from collections.abc import Iterator

import trio

from bendwind_core.admission import RequestIdentity, record_refused_caller
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

# The caller's connection is watched for its close only after this time; most calls end sooner and
# need no watching task.
GONE_WATCH_DELAY: Seconds = 0.025


class Delivery:
    """Deliver the outcome of one call to its caller."""

    __slots__ = ("entry", "exchange", "is_gone", "is_answer_begun", "run")

    def __init__(self, entry: EntryNode, exchange: CallerExchange, run: CallRun):
        self.entry = entry
        self.exchange = exchange
        self.run = run
        self.is_answer_begun = False
        self.is_gone = False

    async def finish(self) -> None:
        """Carry out the call's effects until its final outcome is delivered."""
        if await self._process_effects(is_watched=False):
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_gone)
            await self._process_effects(is_watched=True)
            nursery.cancel_scope.cancel()

    async def _watch_gone(self) -> None:
        await self.exchange.wait_gone()
        self._record_gone()

    def _record_gone(self) -> None:
        if not self.is_gone:
            self.is_gone = True
            self.run.feed(ev.CallerGone())

    @contextlib.contextmanager
    def _detecting_gone(self) -> Iterator[None]:
        """Treat a failed send as the caller going away; skip the sends that follow it."""
        try:
            yield
        except CallerGoneError:
            self._record_gone()

    async def _process_effects(self, *, is_watched: bool) -> bool:
        """Apply effects; return False if the call continues and its caller has to be watched."""
        run = self.run
        until = math.inf if is_watched else trio.current_time() + GONE_WATCH_DELAY
        while is_watched or not self.is_answer_begun:
            await run.wait(until)
            while run.pending_effects:
                effect = run.pending_effects.popleft()
                await self._carry_out(effect)
                if isinstance(effect, ev.FINAL_EFFECTS):
                    return True
            now = trio.current_time()
            for kind in run.pop_due_timers(now):
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
                self._record_refused_caller()
                if run.is_inner and reason is not NotRunReason.QUARANTINED:
                    # A quarantined request says nothing about the capacity of the called service.
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
                raise AssertionError(
                    f"{call_id}: unexpected effect for the task of a call: {effect!r}"
                )

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
        self.is_answer_begun = True
        added = ()
        if self.entry.dialect.has_outcomes:
            added = (names.VIA, (names.CALL, self.run.call.call_id.encode()))
        with self._detecting_gone():
            await self.exchange.send_head(head.status, (*head.headers, *added))
            await self.exchange.send_part(head.body, more=head.more)

    async def _send_part(self, attempt: AttemptId) -> None:
        run = self.run
        index = min(index for id, index in run.incoming if id == attempt)
        part = run.incoming.pop((attempt, index))
        with self._detecting_gone():
            await self.exchange.send_part(part.data, more=part.more)
        if part.more:
            self._grant_credit(attempt, len(part.data))

    def _grant_credit(self, attempt: AttemptId, credit: int) -> None:
        for call_attempt in self.run.call.attempts:
            if call_attempt.id == attempt:
                self.entry.send(call_attempt.upstream.owner.name, BodyCredit(attempt, credit))

    async def _send_recorded(self) -> None:
        answer = self.run.replay
        self._record_end("recorded answer", answer.status)
        extra = (
            names.VIA,
            (names.CALL, self.run.call.call_id.encode()),
            (names.REPLAYED, b"true"),
        )
        with self._detecting_gone():
            await self.exchange.send_head(answer.status, (*answer.headers, *extra))
            await self.exchange.send_part(answer.body, more=False)

    async def _send_outcome(
        self, status: int, outcome: bytes, reason: str, retry_after_ms: Milliseconds | None
    ) -> None:
        self._record_end(f"{outcome.decode()}: {reason}", status)
        with self._detecting_gone():
            await outcomes.send_outcome(
                self.exchange,
                self.run.call.call_id,
                status,
                outcome,
                reason,
                retry_after_ms,
                self.entry.dialect,
            )

    def _record_refused_caller(self) -> None:
        run = self.run
        if run.span is not None and math.isfinite(run.span.timeout_at):
            asked = RequestIdentity(run.call.rule.name, run.method, run.target)
            record_refused_caller(self.entry.refused_callers, asked, run.span, trio.current_time())

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
            facts=make_call_facts(run, status, now),
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
