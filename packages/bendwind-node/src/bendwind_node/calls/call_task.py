"""Run one caller's request from its arrival to its one final outcome."""

import contextlib
import math
from collections.abc import Iterator

import trio
from expression import Error, Ok, Result

from bendwind_core.attempts import AnswerHead, AttemptId, BodyCredit, CutReason, NotRunReason
from bendwind_core.attempts import events as ev
from bendwind_core.attempts.call import create_call
from bendwind_core.claims import (
    AnswerNotKept,
    ClaimDecision,
    Granted,
    KeyConflict,
    OutcomeUnknown,
    Recorded,
    StillPending,
    fingerprint_request,
)
from bendwind_core.claims.messages import MAX_KEY_CHARACTERS
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.timeline import EventKind
from bendwind_core.world import Repeat, Rule, Service, StaleAction, find_rule
from bendwind_node.calls import headers as names
from bendwind_node.calls import outcomes
from bendwind_node.calls.call_run import CallRun
from bendwind_node.calls.caller_exchange import CallerExchange, CallerGoneError
from bendwind_node.calls.entry_node import EntryNode, ServiceDesk
from bendwind_node.calls.refusal import Refusal

# A caller that goes away is noticed after this; most calls end sooner and are spared the watcher.
GONE_WATCH_AFTER: Seconds = 0.025
SERVICE_WAIT: Seconds = 2.0
SERVICE_POLL: Seconds = 0.01


class CallTask:
    """Serve callers' requests for one process."""

    __slots__ = ("entry", "max_body_bytes", "max_in_flight", "next_call", "in_flight")

    def __init__(self, entry: EntryNode, max_in_flight: int, max_body_bytes: int):
        self.entry = entry
        self.max_in_flight = max_in_flight
        self.max_body_bytes = max_body_bytes
        self.next_call = 1
        self.in_flight = 0

    async def handle(self, exchange: CallerExchange) -> None:
        """Serve one request."""
        call_id = self._make_call_id()
        self.in_flight += 1
        try:
            match await self._prepare(exchange, call_id):
                case Result(tag="ok", ok=run):
                    await self._run(exchange, run)
                case Result(error=refusal):
                    await self._refuse(exchange, call_id, refusal)
        except CallerGoneError:
            return
        finally:
            self.in_flight -= 1

    def _make_call_id(self) -> str:
        own = self.entry.own
        call_id = f"{own.name}/{own.incarnation}/c{self.next_call}"
        self.next_call += 1
        return call_id

    async def _refuse(self, exchange: CallerExchange, call_id: str, refusal: Refusal) -> None:
        self.entry.recorder.record(EventKind.CALL_REFUSED, call=call_id, detail=refusal.reason)
        await outcomes.send_outcome(
            exchange,
            call_id,
            refusal.status,
            refusal.outcome,
            refusal.reason,
            refusal.retry_after_ms,
        )

    async def _prepare(self, exchange: CallerExchange, call_id: str) -> Result[CallRun, Refusal]:
        arrived_at = trio.current_time()
        if self.in_flight > self.max_in_flight:
            return Error(Refusal.not_run(NotRunReason.OVERLOADED))
        request = exchange.request
        service = await self._find_service(request.headers)
        if service is None:
            return Error(Refusal(404, outcomes.REFUSED, "unknown-service"))
        if not self.entry.membership.is_fresh() and service.on_stale is StaleAction.REFUSE:
            return Error(Refusal.not_run(NotRunReason.STALE))
        path = request.target.split(b"?")[0].decode("latin-1")
        rule = find_rule(service, request.method, path)
        match _read_timeout_ms(request.headers, service, rule):
            case Result(tag="ok", ok=timeout_ms):
                deadline_at = arrived_at + timeout_ms / MILLISECONDS_PER_SECOND
            case Result(error=refusal):
                return Error(refusal)
        match _read_key(request.headers, rule):
            case Result(tag="ok", ok=key):
                pass
            case Result(error=refusal):
                return Error(refusal)
        body = await self._read_body(exchange, min(self.max_body_bytes, service.limits.body_bytes))
        if body is None:
            return Error(Refusal(413, outcomes.REFUSED, "body-too-large"))
        call = create_call(
            call_id,
            service,
            rule,
            deadline_at,
            self.entry.ids,
            self.entry.find_desk(service).budget,
            has_key=bool(key),
        )
        headers = (*names.keep_request_headers(request.headers), names.VIA)
        run = CallRun(call, self.entry.apply, request.method, request.target, headers, body)
        if call.has_key:
            run.key = key
            run.fingerprint = fingerprint_request(request.method, request.target, body)
        return Ok(run)

    async def _find_service(self, headers: tuple) -> Service | None:
        name = self._find_service_name(headers)
        membership = self.entry.membership
        service = membership.services.get(name)
        if service is not None or not name:
            return service
        membership.watch(name)
        with trio.move_on_after(SERVICE_WAIT):
            while name in membership.view.pending:
                await trio.sleep(SERVICE_POLL)
        return membership.services.get(name)

    def _find_service_name(self, headers: tuple) -> str:
        named = names.find_header(headers, names.SERVICE)
        if named is not None:
            return named.decode("latin-1")
        host = (names.find_header(headers, names.HOST) or b"").decode("latin-1").split(":")[0]
        for service in self.entry.membership.services.values():
            if host in service.hosts:
                return service.name
        return host

    async def _read_body(self, exchange: CallerExchange, limit: int) -> bytes | None:
        length = names.find_header(exchange.request.headers, names.CONTENT_LENGTH)
        if length is not None and int(length) > limit:
            return None
        parts: list[bytes] = []
        size = 0
        while (part := await exchange.receive_part()) is not None:
            parts.append(part)
            size += len(part)
            if size > limit:
                return None
        return b"".join(parts)

    async def _run(self, exchange: CallerExchange, run: CallRun) -> None:
        call = run.call
        record = self.entry.recorder.record
        record(
            EventKind.CALL_ARRIVED, call=call.call_id, detail=f"{run.method} {call.service.name}"
        )
        desk = self.entry.find_desk(call.service)
        desk.in_flight += 1
        try:
            run.feed(ev.Begin())
            await _Delivery(self.entry, exchange, run, desk).finish()
        finally:
            desk.in_flight -= 1
            if not call.is_finished:
                run.feed(ev.CallerGone())
            self.entry.forget(run)


def _read_timeout_ms(headers: tuple, service: Service, rule: Rule) -> Result[Milliseconds, Refusal]:
    longest = rule.longest_wait_ms or service.longest_wait_ms
    stated = names.find_header(headers, names.TIMEOUT_MS)
    if stated is None:
        return Ok(longest)
    try:
        timeout_ms = float(stated)
    except ValueError:
        timeout_ms = math.nan
    if not timeout_ms > 0:
        return Error(Refusal(400, outcomes.REFUSED, "bad-timeout"))
    return Ok(min(timeout_ms, longest))


def _read_key(headers: tuple, rule: Rule) -> Result[str, Refusal]:
    key = (names.find_header(headers, names.IDEMPOTENCY_KEY) or b"").decode("latin-1")
    if len(key) > MAX_KEY_CHARACTERS:
        return Error(Refusal(400, outcomes.REFUSED, "key-too-long"))
    if rule.key_required and rule.repeat is Repeat.NEVER and not key:
        return Error(Refusal(400, outcomes.REFUSED, "key-missing"))
    return Ok(key)


class _Delivery:
    """Carry out the effects of one call that wait: claiming, answering, finishing."""

    __slots__ = ("desk", "entry", "exchange", "is_gone", "is_started", "run")

    def __init__(self, entry: EntryNode, exchange: CallerExchange, run: CallRun, desk: ServiceDesk):
        self.entry = entry
        self.exchange = exchange
        self.run = run
        self.desk = desk
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
        patience = math.inf if is_watched else GONE_WATCH_AFTER
        while is_watched or not self.is_started:
            with trio.move_on_after(patience) as scope:
                await run.wait()
            if scope.cancelled_caught:
                return False
            while run.todo:
                effect = run.todo.popleft()
                await self._carry_out(effect)
                if isinstance(effect, ev.FINAL_EFFECTS):
                    return True
            for kind in run.take_due_timers(trio.current_time()):
                run.feed(ev.TimerFired(kind))
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
                self._record_end("answered")
            case ev.FinishNotRun(reason=reason, retry_after_ms=retry_after_ms):
                status = outcomes.find_not_run_status(reason)
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
        call = ((names.CALL, self.run.call.call_id.encode()),)
        with self._noticing_gone():
            await self.exchange.send_head(head.status, (*head.headers, names.VIA, *call))
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
        self._record_end("recorded answer")
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
        self._record_end(f"{outcome.decode()}: {reason}")
        with self._noticing_gone():
            await outcomes.send_outcome(
                self.exchange, self.run.call.call_id, status, outcome, reason, retry_after_ms
            )

    def _record_end(self, detail: str) -> None:
        call_id = self.run.call.call_id
        self.entry.recorder.record(EventKind.CALL_FINISHED, call=call_id, detail=detail)


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
