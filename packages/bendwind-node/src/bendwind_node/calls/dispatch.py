"""Send one dispatched attempt to its upstream and relay the answer to the entry node."""

from collections.abc import Callable

import msgspec
import trio
from expression import Result

from bendwind_core.attempts import (
    AnswerHead,
    AttemptId,
    BodyPart,
    CutReason,
    HandOver,
    Header,
    NotRunReason,
)
from bendwind_core.attempts.owner_events import (
    DispatchDone,
    DispatchHead,
    DispatchNotRun,
    DispatchSent,
    DispatchUnknown,
    LoadReported,
    OwnerEvent,
)
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.messages import PeerMessage
from bendwind_core.world import LoadSample, Repeat
from bendwind_node.calls import headers as names
from bendwind_node.calls.body_flow import PART_BYTES, Outflow
from bendwind_node.calls.dialect import (
    BENDWIND_DIALECT,
    MISDIRECTED,
    Dialect,
    find_not_run_proof,
    read_slow_factor,
)
from bendwind_node.calls.upstream_h11 import UpstreamAnswer, UpstreamPool
from bendwind_node.calls.upstream_notice import UpstreamNotice, read_notice
from bendwind_node.calls.upstream_request import AnswerCut, RequestNotSent, UpstreamRequest

DispatchEnd = DispatchDone | DispatchNotRun | DispatchUnknown
Send = Callable[[PeerMessage], bool]
Feed = Callable[[OwnerEvent], None]
ReadLoad = Callable[[], LoadSample]
HandleNotice = Callable[[UpstreamNotice, Seconds], None]

_CANCEL_TIMEOUT_S = 0.5
# RFC 9110, section 8.6: an answer with this status must not state a length.
_NO_CONTENT = 204


def create_upstream_request(hand_over: HandOver, dialect: Dialect) -> UpstreamRequest:
    """Build the HTTP request that is sent to the upstream."""
    length = str(len(hand_over.body)).encode()
    has_length = hand_over.body or hand_over.method in ("POST", "PUT", "PATCH")
    headers = (
        *hand_over.headers,
        *(((names.CONTENT_LENGTH, length),) if has_length else ()),
        (dialect.timeout_ms, str(max(1, int(hand_over.remaining_ms))).encode()),
        *_make_attempt_headers(hand_over, dialect),
    )
    return UpstreamRequest(
        hand_over.method.encode(),
        hand_over.target,
        headers,
        hand_over.body,
        is_sent_once=hand_over.repeat is Repeat.NEVER or not hand_over.may_send_again,
        avoids_kept=hand_over.repeat is not Repeat.NEVER and not hand_over.may_send_again,
    )


def _make_attempt_headers(hand_over: HandOver, dialect: Dialect) -> tuple[Header, ...]:
    named = (
        (dialect.attempt, format_attempt(hand_over.attempt)),
        (dialect.upstream, hand_over.upstream),
    )
    return tuple((name, text.encode()) for name, text in named if name is not None)


def format_attempt(attempt: AttemptId) -> str:
    """Format an attempt id as a path.

    >>> format_attempt(AttemptId("sala-norte-1", 7, 3))
    'sala-norte-1/7/3'
    """
    return f"{attempt.entry}/{attempt.incarnation}/{attempt.sequence}"


async def _cancel_at_upstream(pool: UpstreamPool, attempt: AttemptId) -> None:
    target = f"/.bendwind/attempts/{format_attempt(attempt)}".encode()
    host = ((names.HOST, f"{pool.host}:{pool.port}".encode()),)
    match await pool.start(UpstreamRequest(b"DELETE", target, host, b"")):
        case Result(tag="ok", ok=answer):
            await answer.aclose()


def _fits_one_part(answer: UpstreamAnswer) -> bool:
    length = names.find_header(answer.headers, names.CONTENT_LENGTH)
    return length is not None and int(length) <= PART_BYTES


class UpstreamDispatch(msgspec.Struct, eq=False):
    """Send one attempt's request to its upstream and relay the answer to its entry node.

    `handle_notice` is called with the notice in the answer and the time when the request was sent.
    `may_send_again` returns whether the request may be sent over another connection now.
    Units: `upstream_ms` is the time to the answer's head, in milliseconds.
    """

    pool: UpstreamPool
    hand_over: HandOver
    outflow: Outflow
    send: Send
    feed: Feed
    read_load: ReadLoad
    dialect: Dialect = BENDWIND_DIALECT
    handle_notice: HandleNotice = lambda notice, sent_at: None
    may_send_again: Callable[[], bool] = lambda: True
    started_at: Seconds = 0.0
    sent_at: Seconds = 0.0
    upstream_ms: Milliseconds = 0.0
    is_sent_again: bool = False

    @property
    def attempt(self) -> AttemptId:
        """Return the attempt that is dispatched."""
        return self.hand_over.attempt

    async def run(self, scope: trio.CancelScope) -> DispatchEnd:
        """Run until done or cancelled by the scope; return the end. DispatchDone is fed already."""
        end: DispatchEnd = DispatchUnknown(self.attempt, CutReason.UPSTREAM_TIMEOUT)
        with scope:
            end = await self._exchange()
        if scope.cancelled_caught:
            if self.dialect.has_cancel_path:
                await self._cancel_at_upstream()
            if trio.current_time() < scope.deadline:
                end = DispatchUnknown(self.attempt, CutReason.CANCELLED)
        return end

    async def _cancel_at_upstream(self) -> None:
        with trio.move_on_after(_CANCEL_TIMEOUT_S):
            await _cancel_at_upstream(self.pool, self.attempt)

    async def _exchange(self) -> DispatchEnd:
        self.started_at = trio.current_time()
        request = create_upstream_request(self.hand_over, self.dialect)
        match await self.pool.start(request, self._record_sent, self._may_send_again):
            case Result(tag="error", error=RequestNotSent(reason, is_timed_out)):
                return DispatchNotRun(self.attempt, reason, is_timed_out)
            case Result(tag="error", error=AnswerCut(reason=cut)):
                return DispatchUnknown(self.attempt, cut)
            case Result(tag="ok", ok=answer):
                try:
                    return await self._relay(answer)
                finally:
                    await answer.aclose()
        raise AssertionError("a result is ok or an error")

    def _may_send_again(self) -> bool:
        self.is_sent_again = self.may_send_again()
        return self.is_sent_again

    def _record_sent(self) -> None:
        self.sent_at = trio.current_time()
        self.feed(DispatchSent(self.attempt))

    async def _relay(self, answer: UpstreamAnswer) -> DispatchEnd:
        elapsed = trio.current_time() - self.started_at
        self.upstream_ms = elapsed * MILLISECONDS_PER_SECOND
        self._record_load(answer)
        if self._names_other_request(answer):
            return DispatchUnknown(self.attempt, CutReason.FOREIGN_ANSWER)
        if answer.status != MISDIRECTED:
            self.handle_notice(read_notice(answer.headers, self.dialect), self.sent_at)
        not_run = find_not_run_proof(self.dialect, answer.status, answer.headers)
        if not_run is not None:
            return await self._discard_refusal(answer, not_run)
        if self._answers_other_request(answer):
            return DispatchUnknown(self.attempt, CutReason.FOREIGN_ANSWER)
        self.feed(DispatchHead(self.attempt, answer.status, self.upstream_ms))
        if _fits_one_part(answer):
            return await self._send_whole(answer)
        return await self._send_parts(answer)

    def _record_load(self, answer: UpstreamAnswer) -> None:
        if self.dialect.load is None:
            return
        slow_factor = read_slow_factor(names.find_header(answer.headers, self.dialect.load))
        if slow_factor is not None:
            self.feed(LoadReported(slow_factor))

    def _names_other_request(self, answer: UpstreamAnswer) -> bool:
        """Return whether an answer names another request; a refusal need not name any."""
        name = self.dialect.request_id
        named = None if name is None else names.find_header(answer.headers, name)
        return named is not None and self._answers_other_request(answer)

    def _answers_other_request(self, answer: UpstreamAnswer) -> bool:
        name = self.dialect.request_id
        if name is None:
            return False
        own = names.find_header(self.hand_over.headers, name)
        return names.find_header(answer.headers, name) != own

    async def _discard_refusal(self, answer: UpstreamAnswer, reason: NotRunReason) -> DispatchEnd:
        await answer.discard_body()
        return DispatchNotRun(self.attempt, reason)

    async def _send_whole(self, answer: UpstreamAnswer) -> DispatchEnd:
        body = bytearray()
        while True:
            match await answer.next_part():
                case Result(tag="error", error=cut):
                    return DispatchUnknown(self.attempt, cut.reason)
                case Result(tag="ok", ok=b""):
                    break
                case Result(tag="ok", ok=data):
                    body += data
        self.feed(DispatchDone(self.attempt))
        self._send_head(answer, bytes(body), more=False)
        return DispatchDone(self.attempt)

    def _send_head(self, answer: UpstreamAnswer, body: bytes, *, more: bool) -> None:
        dropped = self.dialect.not_forwarded
        if answer.status == _NO_CONTENT:
            dropped |= names.FRAMING
        headers = names.keep_end_to_end(answer.headers, dropped)
        self.send(
            AnswerHead(
                self.attempt,
                answer.status,
                headers,
                self.read_load(),
                body,
                more,
                self.upstream_ms,
                self.is_sent_again,
            )
        )

    async def _send_parts(self, answer: UpstreamAnswer) -> DispatchEnd:
        self._send_head(answer, b"", more=True)
        while True:
            match await answer.next_part():
                case Result(tag="error", error=cut):
                    return DispatchUnknown(self.attempt, cut.reason)
                case Result(tag="ok", ok=b""):
                    break
                case Result(tag="ok", ok=data):
                    await self._send_split(data)
        index = await self.outflow.consume_credit(0)
        self.feed(DispatchDone(self.attempt))
        self.send(BodyPart(self.attempt, index, b"", False))
        return DispatchDone(self.attempt)

    async def _send_split(self, data: bytes) -> None:
        for start in range(0, len(data), PART_BYTES):
            part = data[start : start + PART_BYTES]
            index = await self.outflow.consume_credit(len(part))
            self.send(BodyPart(self.attempt, index, part, True))
