"""Carry one dispatched attempt to its upstream and its answer back to the entry node."""

from collections.abc import Callable

import trio
from expression import Result

from bendwind_core.attempts import (
    AnswerHead,
    AttemptId,
    BodyPart,
    CutReason,
    HandOver,
    NotRunReason,
)
from bendwind_core.attempts.owner_events import (
    DispatchDone,
    DispatchHead,
    DispatchNotRun,
    DispatchUnknown,
    OwnerEvent,
)
from bendwind_core.core import MILLISECONDS_PER_SECOND
from bendwind_core.messages import PeerMessage
from bendwind_core.world import LoadSample, Repeat
from bendwind_node.calls import headers as names
from bendwind_node.calls.body_flow import PART_BYTES, Outflow
from bendwind_node.calls.upstream_h11 import UpstreamAnswer, UpstreamPool
from bendwind_node.calls.upstream_request import AnswerCut, RequestNotSent, UpstreamRequest

DispatchEnd = DispatchDone | DispatchNotRun | DispatchUnknown
Send = Callable[[PeerMessage], bool]
Feed = Callable[[OwnerEvent], None]
ReadLoad = Callable[[], LoadSample]

_SERVICE_UNAVAILABLE = 503
_CANCEL_TIMEOUT_S = 0.5


def create_upstream_request(hand_over: HandOver) -> UpstreamRequest:
    """Build the request that the upstream sees."""
    length = str(len(hand_over.body)).encode()
    has_length = hand_over.body or hand_over.method in ("POST", "PUT", "PATCH")
    headers = (
        *hand_over.headers,
        *(((names.CONTENT_LENGTH, length),) if has_length else ()),
        (names.TIMEOUT_MS, str(max(1, int(hand_over.remaining_ms))).encode()),
        (names.ATTEMPT, format_attempt(hand_over.attempt).encode()),
    )
    return UpstreamRequest(
        hand_over.method.encode(),
        hand_over.target,
        headers,
        hand_over.body,
        hand_over.repeat is Repeat.NEVER,
    )


def format_attempt(attempt: AttemptId) -> str:
    """Write an attempt id as a path.

    >>> format_attempt(AttemptId("sala-norte-1", 7, 3))
    'sala-norte-1/7/3'
    """
    return f"{attempt.entry}/{attempt.incarnation}/{attempt.sequence}"


async def run_dispatch(
    pool: UpstreamPool,
    hand_over: HandOver,
    scope: trio.CancelScope,
    outflow: Outflow,
    send: Send,
    feed: Feed,
    read_load: ReadLoad,
) -> DispatchEnd:
    """Send the request, relay the answer and return how it ended; DispatchDone was fed already."""
    attempt = hand_over.attempt
    end: DispatchEnd = DispatchUnknown(attempt, CutReason.UPSTREAM_TIMEOUT)
    with scope:
        end = await _exchange(pool, hand_over, outflow, send, feed, read_load)
    if scope.cancelled_caught:
        with trio.move_on_after(_CANCEL_TIMEOUT_S):
            await _cancel_at_upstream(pool, attempt)
        if trio.current_time() < scope.deadline:
            end = DispatchUnknown(attempt, CutReason.CANCELLED)
    return end


async def _cancel_at_upstream(pool: UpstreamPool, attempt: AttemptId) -> None:
    target = f"/.bendwind/attempts/{format_attempt(attempt)}".encode()
    host = ((names.HOST, f"{pool.host}:{pool.port}".encode()),)
    match await pool.start(UpstreamRequest(b"DELETE", target, host, b"")):
        case Result(tag="ok", ok=answer):
            await answer.aclose()


async def _exchange(
    pool: UpstreamPool,
    hand_over: HandOver,
    outflow: Outflow,
    send: Send,
    feed: Feed,
    read_load: ReadLoad,
) -> DispatchEnd:
    attempt = hand_over.attempt
    started_at = trio.current_time()
    match await pool.start(create_upstream_request(hand_over)):
        case Result(tag="error", error=RequestNotSent(reason=not_run)):
            return DispatchNotRun(attempt, not_run)
        case Result(tag="error", error=AnswerCut(reason=cut)):
            return DispatchUnknown(attempt, cut)
        case Result(tag="ok", ok=answer):
            try:
                relay = _Relay(attempt, answer, outflow, send, feed, read_load, started_at)
                return await relay.run()
            finally:
                await answer.aclose()
    raise AssertionError("a result is ok or an error")


def _is_shed(answer: UpstreamAnswer) -> bool:
    if answer.status != _SERVICE_UNAVAILABLE:
        return False
    return names.find_header(answer.headers, names.SHED) == names.SHED_NOT_RUN


class _Relay:
    """Relay one answer."""

    __slots__ = (
        "answer",
        "attempt",
        "feed",
        "outflow",
        "read_load",
        "send",
        "started_at",
        "upstream_ms",
    )

    def __init__(
        self,
        attempt: AttemptId,
        answer: UpstreamAnswer,
        outflow: Outflow,
        send: Send,
        feed: Feed,
        read_load: ReadLoad,
        started_at: float,
    ):
        self.attempt = attempt
        self.answer = answer
        self.outflow = outflow
        self.send = send
        self.feed = feed
        self.read_load = read_load
        self.started_at = started_at
        self.upstream_ms = 0.0

    async def run(self) -> DispatchEnd:
        elapsed = trio.current_time() - self.started_at
        self.upstream_ms = elapsed * MILLISECONDS_PER_SECOND
        if _is_shed(self.answer):
            return await self._discard_shed()
        self.feed(DispatchHead(self.attempt, self.answer.status, self.upstream_ms))
        if self._is_short():
            return await self._send_whole()
        return await self._send_parts()

    async def _discard_shed(self) -> DispatchEnd:
        while (await self.answer.next_part()).default_value(b""):
            continue
        return DispatchNotRun(self.attempt, NotRunReason.SHED)

    def _is_short(self) -> bool:
        length = names.find_header(self.answer.headers, names.CONTENT_LENGTH)
        return length is not None and int(length) <= PART_BYTES

    async def _send_whole(self) -> DispatchEnd:
        body = bytearray()
        while True:
            match await self.answer.next_part():
                case Result(tag="error", error=cut):
                    return DispatchUnknown(self.attempt, cut.reason)
                case Result(tag="ok", ok=b""):
                    break
                case Result(tag="ok", ok=data):
                    body += data
        self.feed(DispatchDone(self.attempt))
        self._send_head(bytes(body), more=False)
        return DispatchDone(self.attempt)

    def _send_head(self, body: bytes, *, more: bool) -> None:
        headers = names.keep_end_to_end(self.answer.headers)
        self.send(
            AnswerHead(
                self.attempt,
                self.answer.status,
                headers,
                self.read_load(),
                body,
                more,
                self.upstream_ms,
            )
        )

    async def _send_parts(self) -> DispatchEnd:
        self._send_head(b"", more=True)
        while True:
            match await self.answer.next_part():
                case Result(tag="error", error=cut):
                    return DispatchUnknown(self.attempt, cut.reason)
                case Result(tag="ok", ok=b""):
                    break
                case Result(tag="ok", ok=data):
                    await self._send_split(data)
        index = await self.outflow.take(0)
        self.feed(DispatchDone(self.attempt))
        self.send(BodyPart(self.attempt, index, b"", False))
        return DispatchDone(self.attempt)

    async def _send_split(self, data: bytes) -> None:
        for start in range(0, len(data), PART_BYTES):
            part = data[start : start + PART_BYTES]
            index = await self.outflow.take(len(part))
            self.send(BodyPart(self.attempt, index, part, True))
