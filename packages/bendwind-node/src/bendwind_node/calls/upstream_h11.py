"""Send requests to an upstream over HTTP/1.1 with h11 on trio streams."""

import math
import random
from collections.abc import Callable

import h11
import msgspec
import trio
from expression import Error, Ok, Result

from bendwind_core.attempts import CutReason, Header, NotRunReason
from bendwind_core.core import Seconds
from bendwind_node.calls.upstream_connection import (
    MAX_HEAD_BYTES,
    RECEIVE_BYTES,
    UpstreamConnection,
)
from bendwind_node.calls.upstream_request import AnswerCut, RequestNotSent, UpstreamRequest
from bendwind_node.http.bounded_h11 import BoundedConnection
from bendwind_node.streams import open_direct_stream

KEEP_ALIVE_TIMEOUT: Seconds = 30.0
# A request that must not run twice is sent only over a connection that was idle for less than this
# time. The upstream could close an older one at the same moment, which would leave the outcome of
# the request unknown.
NON_IDEMPOTENT_MAX_IDLE: Seconds = 1.0
# An upstream that has closed one idle connection unheard has most likely closed others, and may do
# so again.
SUSPICION_TIME: Seconds = 10.0
CONNECT_TIMEOUT: Seconds = 1.0
# An upstream that refuses connections is tried twice a second. The cost for it is negligible, and a
# new run of it announces itself anyway.
CONNECT_RETRY_INTERVAL: Seconds = 0.5
CONNECT_RETRY_JITTER = 0.2
# If the upstream closed a connection while the request was in transit, the failure shows within one
# round trip inside the instance. A request that fails later was read, and may have ended the
# upstream: one such request ended 15 upstreams, each 30 to 90 ms after it had reached them.
RESEND_WINDOW: Seconds = 0.02
# What is read of a body that nobody needs, so that its connection can be used again. A new
# connection costs less than a longer body or a longer wait.
MAX_DISCARDED_BYTES = 16 * 1024
MAX_DISCARDED_EVENTS = 16
DISCARD_TIMEOUT: Seconds = 0.05

_CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError)
_CUT = AnswerCut(CutReason.UPSTREAM_RESET)


class UpstreamAnswer:
    """Hold the head of an answer and read its body in parts."""

    __slots__ = ("connection", "headers", "is_complete", "pool", "status")

    def __init__(self, pool: "UpstreamPool", connection: UpstreamConnection, head: h11.Response):
        self.pool = pool
        self.connection = connection
        self.status = head.status_code
        self.headers: tuple[Header, ...] = tuple(head.headers)
        self.is_complete = False

    async def next_part(self) -> Result[bytes, AnswerCut]:
        """Return the next part of the body, empty at its end; what arrived together is joined."""
        if self.is_complete:
            return _END
        event = await self._next_body_event()
        part = bytearray()
        while isinstance(event, h11.Data):
            part += event.data
            if len(part) >= RECEIVE_BYTES:
                break
            event = await self._next_body_event(may_wait=False)
        if part:
            # After malformed bytes, the next call finds the same fault again.
            return Ok(bytes(part))
        return _END if self.is_complete else Error(_CUT)

    async def _next_body_event(self, *, may_wait: bool = True) -> object:
        """Return the next event, None if the connection broke or its bytes are malformed."""
        try:
            event = await self.connection.next_event(may_wait=may_wait)
        except _CONNECTION_ERRORS:
            return None
        self.is_complete = isinstance(event, h11.EndOfMessage)
        return event

    async def discard_body(self) -> None:
        """Read the body to its end if that comes soon."""
        discarded = 0
        with trio.move_on_after(DISCARD_TIMEOUT):
            for _ in range(MAX_DISCARDED_EVENTS):
                event = await self._next_body_event()
                if not isinstance(event, h11.Data) or discarded > MAX_DISCARDED_BYTES:
                    return
                discarded += len(event.data)

    async def aclose(self) -> None:
        """Release the connection, which closes it if the body was not read to its end."""
        await self.pool.release(self.connection, is_complete=self.is_complete)


_END: Result[bytes, AnswerCut] = Ok(b"")


class UpstreamPool(msgspec.Struct, eq=False):
    """Own the connections to one upstream; the most recently used idle one is reused first.

    Units: if a reused connection fails within `resend_window` seconds, the upstream is assumed to
    have closed it before it read the request. `broke_at` is when the last one failed so.
    """

    host: str
    port: int
    connections: int
    resend_window: Seconds = RESEND_WINDOW
    idle: list[UpstreamConnection] = msgspec.field(default_factory=list)
    is_closed: bool = False
    broke_at: Seconds = -math.inf

    async def start(
        self,
        request: UpstreamRequest,
        on_sent: Callable[[], None] = lambda: None,
        may_send_again: Callable[[], bool] = lambda: True,
    ) -> Result[UpstreamAnswer, RequestNotSent | AnswerCut]:
        """Send a request and return its answer as soon as the head is received.

        `on_sent` is called whenever the request was written to a connection, also in part: the
        upstream may have got all that it needs. `may_send_again` is asked just before the
        request is written to another connection.
        """
        acquired = await self._acquire(self._find_max_idle(request))
        if acquired.is_error():
            return acquired
        connection = acquired.ok
        started_at = trio.current_time()
        answer = await self._exchange(connection, request, on_sent)
        if answer.is_ok() or not connection.is_reused:
            return answer
        is_late = trio.current_time() - started_at > self.resend_window
        if not is_late and not connection.has_received:
            self.broke_at = trio.current_time()
        if is_late or connection.has_received or request.is_sent_once:
            # The request must not be sent twice, or the upstream had time to read it, or has sent
            # something, and may have run it. The entry node decides whether to send it again, at
            # the expense of its retry budget.
            return answer
        # The upstream may have closed the idle connection just as the request was sent.
        fresh = await self._connect()
        if fresh.is_error():
            return answer
        if not may_send_again():
            await self._keep(fresh.ok)
            return answer
        return await self._exchange(fresh.ok, request, on_sent)

    def _find_max_idle(self, request: UpstreamRequest) -> Seconds:
        """Return for how long a connection that a request may use has been idle at most."""
        if request.avoids_kept and trio.current_time() < self.broke_at + SUSPICION_TIME:
            return 0.0
        return NON_IDEMPOTENT_MAX_IDLE if request.is_sent_once else KEEP_ALIVE_TIMEOUT

    async def _acquire(self, max_idle: Seconds) -> Result[UpstreamConnection, RequestNotSent]:
        now = trio.current_time()
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable(now, max_idle):
                connection.is_reused = True
                return Ok(connection)
            await trio.aclose_forcefully(connection.stream)
        return await self._connect()

    async def _connect(self) -> Result[UpstreamConnection, RequestNotSent]:
        with trio.move_on_after(CONNECT_TIMEOUT):
            try:
                stream = await open_direct_stream(self.host, self.port)
            except OSError:
                return Error(RequestNotSent(NotRunReason.CONNECT_FAILED))
            protocol = BoundedConnection(h11.CLIENT, MAX_HEAD_BYTES)
            return Ok(UpstreamConnection(stream, protocol))
        return Error(RequestNotSent(NotRunReason.CONNECT_FAILED, is_timed_out=True))

    async def refuses_connections(self) -> bool:
        """Return whether the upstream refuses a new connection; an accepted one is kept as idle."""
        connected = await self._connect()
        match connected:
            case Result(tag="ok", ok=connection):
                await self._keep(connection)
                return False
            case Result(tag="error", error=failed):
                return not failed.is_timed_out
        raise AssertionError("a result is ok or an error")

    async def _keep(self, connection: UpstreamConnection) -> None:
        """Keep a connection as idle over which no request was sent yet."""
        if self.is_closed:
            await trio.aclose_forcefully(connection.stream)
            return
        connection.idle_since = trio.current_time()
        self.idle.append(connection)

    async def _exchange(
        self,
        connection: UpstreamConnection,
        request: UpstreamRequest,
        on_sent: Callable[[], None],
    ) -> Result[UpstreamAnswer, AnswerCut]:
        connection.has_received = False
        try:
            data = _encode(connection.protocol, request)
            try:
                await connection.stream.send_all(data)
            finally:
                on_sent()
            head = await connection.next_head()
        except _CONNECTION_ERRORS:
            head = None
        except (trio.Cancelled, h11.LocalProtocolError):
            await trio.aclose_forcefully(connection.stream)
            raise
        if head is not None:
            return Ok(UpstreamAnswer(self, connection, head))
        await trio.aclose_forcefully(connection.stream)
        return Error(_CUT)

    async def release(self, connection: UpstreamConnection, *, is_complete: bool) -> None:
        """Keep a connection whose answer was read to its end; close any other."""
        protocol = connection.protocol
        is_done = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        # Bytes after the answer belong to no request and would be read as the next answer.
        has_surplus = bool(protocol.trailing_data[0])
        if is_complete and is_done and not has_surplus and not self.is_closed:
            protocol.start_next_cycle()
            connection.idle_since = trio.current_time()
            self.idle.append(connection)
        else:
            await trio.aclose_forcefully(connection.stream)

    async def aclose(self) -> None:
        """Close the idle connections; connections in use are closed when they are released."""
        self.is_closed = True
        while self.idle:
            await trio.aclose_forcefully(self.idle.pop().stream)


async def wait_until_accepting(host: str, port: int, should_continue: Callable[[], bool]) -> bool:
    """Retry an address until it accepts a connection; return False if should_continue stops it."""
    while should_continue():
        await trio.sleep(
            CONNECT_RETRY_INTERVAL
            * random.uniform(1 - CONNECT_RETRY_JITTER, 1 + CONNECT_RETRY_JITTER)
        )
        with trio.move_on_after(CONNECT_TIMEOUT):
            try:
                stream = await open_direct_stream(host, port)
            except OSError:
                continue
            await trio.aclose_forcefully(stream)
            return should_continue()
    return False


def _encode(protocol: h11.Connection, request: UpstreamRequest) -> bytes:
    head = h11.Request(method=request.method, target=request.target, headers=request.headers)
    out = protocol.send(head)
    if request.body:
        out += protocol.send(h11.Data(data=request.body))
    return out + protocol.send(h11.EndOfMessage())
