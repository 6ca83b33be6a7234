"""Serve callers over HTTP/1.1 with h11 on trio streams, to add as little latency as possible."""

from collections.abc import Awaitable, Callable
from functools import partial
from urllib.parse import urlsplit

import h11
import msgspec
import trio

from bendwind_core.core import Seconds
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.calls import headers as names
from bendwind_node.calls import outcomes
from bendwind_node.calls.call_facts import find_request_id
from bendwind_node.calls.caller_exchange import CallerExchange, CallerGoneError
from bendwind_node.calls.h11_exchange import (
    BROKEN_STREAM_ERRORS,
    RECEIVE_BYTES,
    H11Exchange,
    make_error,
)
from bendwind_node.calls.request_account import RequestAccount, find_ending
from bendwind_node.guarded_tasks import record_task_failure
from bendwind_node.http.bounded_h11 import BoundedConnection
from bendwind_node.streams import (
    SEND_STALL_TIMEOUT,
    DirectListener,
    DirectStream,
    wait_until_accepted,
)

Handle = Callable[[CallerExchange], Awaitable[None]]

# RFC 9112, section 9.6: the server keeps reading for this time after the last answer, so that the
# caller reads the answer before the connection is reset.
LINGER_TIMEOUT: Seconds = 1.0
# A head fits into a few packets; one that arrives slowly occupies a connection that others need.
HEADER_TIMEOUT: Seconds = 10.0
# While draining, a new connection is kept this long, since its caller is about to send a request.
FIRST_REQUEST_TIMEOUT: Seconds = 0.25

_SERVICE_UNAVAILABLE = 503
_HEADERS_TOO_LARGE = 431
_BAD_REQUEST = 400
_REQUEST_TIMEOUT = 408


def _find_origin_form(target: bytes) -> bytes | None:
    """Return the target as a path, None if it is not a valid address."""
    # RFC 9112, section 3.2.2: a server must accept the absolute form as well.
    if target.startswith((b"/", b"*")):
        return target
    try:
        parts = urlsplit(target)
    except ValueError:
        return None
    if not parts.netloc:
        path = parts.path or b"/"
        return path + b"?" + parts.query if parts.query else path
    # Taken as it stands after the authority: a query that is empty differs from none.
    rest = target.partition(b"://")[2].removeprefix(parts.netloc)
    return rest if rest.startswith(b"/") else b"/" + rest


class _HeadTooSlowError(Exception):
    """Report that a caller began a request head and did not complete it in time."""


class H11Server(msgspec.Struct, eq=False):
    """Serve the callers' connections of a process.

    `keep_alive` limits the idle time between two requests, `header_timeout` the time from the first
    byte of a head to its last, `stall_timeout` the time after which a caller that takes no byte of
    its answer is closed. `idle` holds the cancel scope of each connection that waits for a request,
    with whether it is the first request of the connection. Once `stopping` is set, answers close
    their connections. With a `recorder`, an exception raised by one request is recorded and
    its caller gets an error answer; without one the exception is raised.
    """

    handle: Handle
    keep_alive: Seconds
    header_bytes: int
    max_connections: int
    header_timeout: Seconds = HEADER_TIMEOUT
    stall_timeout: Seconds = SEND_STALL_TIMEOUT
    is_draining: bool = False
    connections: int = 0
    idle: dict[trio.CancelScope, bool] = msgspec.field(default_factory=dict)
    recorder: Recorder | None = None
    account: RequestAccount = msgspec.field(default_factory=RequestAccount)
    stopping: trio.Event = msgspec.field(default_factory=trio.Event)

    def is_closing(self) -> bool:
        """Return whether answers announce that their connection closes."""
        # If a kept connection closes without notice, a caller cannot know whether its next request
        # was read; if a new connection is refused, it knows that the request was not.
        return self.is_draining or self.stopping.is_set()

    async def run(self, listeners: list[trio.SocketListener], shutdown: trio.Event) -> None:
        """Accept until shutdown; return when all requests in flight have been answered."""
        async with trio.open_nursery() as serving:
            prompt = [DirectListener(listener) for listener in listeners]
            async with trio.open_nursery() as accepting:
                accepting.start_soon(
                    partial(trio.serve_listeners, self._serve, prompt, handler_nursery=serving)
                )
                await shutdown.wait()
                self._start_draining()
                await wait_until_accepted([listener.socket for listener in listeners])
                accepting.cancel_scope.cancel()

    def _start_draining(self) -> None:
        self.is_draining = True
        for scope, is_new in self.idle.items():
            scope.deadline = min(scope.deadline, self._find_idle_deadline(is_new=is_new))

    def _find_idle_deadline(self, *, is_new: bool) -> Seconds:
        """Return the time until which a connection may wait for its next request."""
        now = trio.current_time()
        if not self.is_draining:
            return now + self.keep_alive
        # A kept connection is closed at once: a request may be in transit at any moment, and the
        # caller can rely on it not having been read.
        return now + FIRST_REQUEST_TIMEOUT if is_new else now

    async def _serve(self, stream: DirectStream) -> None:
        self.connections += 1
        connection = BoundedConnection(h11.SERVER, self.header_bytes)
        try:
            async with stream:
                if self.connections > self.max_connections:
                    await _refuse(stream, connection, _SERVICE_UNAVAILABLE, outcomes.NOT_RUN)
                    return
                is_new = True
                while await self._serve_request(stream, connection, is_new=is_new):
                    connection.start_next_cycle()
                    is_new = False
        except BROKEN_STREAM_ERRORS:
            return
        except Exception as error:
            self._record_failure(error)
        finally:
            self.connections -= 1

    def _record_failure(self, error: Exception) -> None:
        """Record an unexpected exception; raise it if there is no recorder."""
        if self.recorder is None:
            raise error
        # Raising it would end the process, and the caller's next retry would end the next process.
        record_task_failure(self.recorder, error)

    async def _serve_request(
        self, stream: DirectStream, connection: BoundedConnection, *, is_new: bool
    ) -> bool:
        """Serve one request; return whether the connection may carry another."""
        try:
            head = await self._read_head(stream, connection, is_new=is_new)
        except _HeadTooSlowError:
            answer = make_error(connection, _REQUEST_TIMEOUT, outcomes.NOT_RUN)
            await stream.send_unless_stalled(answer, LINGER_TIMEOUT)
            return False
        except h11.RemoteProtocolError as error:
            await _refuse(stream, connection, error.error_status_hint, outcomes.REFUSED)
            return False
        if head is None:
            return False
        target = _find_origin_form(head.target)
        if target is None or _has_ambiguous_length(head):
            await _refuse(stream, connection, _BAD_REQUEST, outcomes.REFUSED)
            return False
        # h11 limits the size of a head that arrives in several pieces only.
        if names.measure_head(head.method, head.target, head.headers) > self.header_bytes:
            await _refuse(stream, connection, _HEADERS_TOO_LARGE, outcomes.REFUSED)
            return False
        exchange = H11Exchange(
            self.is_closing, stream, connection, head, target, self.stall_timeout
        )
        await self._handle(exchange)
        if exchange.announces_close and exchange.is_answered:
            # Closing now would reset the connection if the caller has sent more after its request
            # or is still sending, and the answer could be lost in transit.
            await _linger(stream)
        return (
            not exchange.is_aborted
            and connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )

    async def _handle(self, exchange: H11Exchange) -> None:
        """Handle a request; send an error answer if its handler fails or is cancelled."""
        self.account.record_received()
        try:
            await self.handle(exchange)
            if exchange.is_malformed:
                exchange.send_failure()
        except CallerGoneError:
            exchange.send_failure()
        except Exception as error:
            self._record_failure(error)
            exchange.send_failure()
        except BaseException:
            # The cancellation of a handler's nursery arrives as an exception group, which is not a
            # `trio.Cancelled`.
            exchange.send_failure()
            raise
        finally:
            self._record_end(exchange)

    def _record_end(self, exchange: H11Exchange) -> None:
        request = exchange.request
        self.account.record_ended(request, find_ending(exchange))
        if exchange.is_stalled and self.recorder is not None:
            self.recorder.record(
                EventKind.CALLER_STALLED,
                detail=f"{self.account.address}: {request.method} {request.path}",
                request=find_request_id(request.headers, self.account.dialect),
            )

    async def _read_head(
        self, stream: DirectStream, connection: BoundedConnection, *, is_new: bool
    ) -> h11.Request | None:
        event = await connection.take_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await self._receive_first(stream, is_new=is_new))
            event = await connection.take_event()
        if event is h11.NEED_DATA:
            event = await self._read_rest(stream, connection)
        return event if isinstance(event, h11.Request) else None

    async def _receive_first(self, stream: DirectStream, *, is_new: bool) -> bytes:
        """Return the first bytes of a request, empty if the connection has to be closed."""
        with trio.CancelScope(deadline=self._find_idle_deadline(is_new=is_new)) as scope:
            self.idle[scope] = is_new
            try:
                return await stream.receive_some(RECEIVE_BYTES)
            finally:
                del self.idle[scope]
        # A request that has just arrived is still served, since its caller waits for an answer.
        return stream.receive_nowait()

    async def _read_rest(self, stream: DirectStream, connection: BoundedConnection) -> object:
        with trio.move_on_after(self.header_timeout):
            while (event := connection.next_event()) is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(RECEIVE_BYTES))
            return event
        raise _HeadTooSlowError


def _has_ambiguous_length(head: h11.Request) -> bool:
    """Return whether a head states the length of its body in two ways.

    Another server may use the other length and read the rest as a second request.
    Source: RFC 9112, section 6.1.
    """
    return {name for name, _ in head.headers} >= names.FRAMING


async def _refuse(
    stream: DirectStream, connection: h11.Connection, status: int, outcome: bytes
) -> None:
    """Send an error answer that closes the connection."""
    answer = make_error(connection, status, outcome)
    if await stream.send_unless_stalled(answer, LINGER_TIMEOUT):
        await _linger(stream)


async def _linger(stream: DirectStream) -> None:
    with trio.move_on_after(LINGER_TIMEOUT):
        try:
            await stream.send_eof()
            while await stream.receive_some(RECEIVE_BYTES):
                continue
        except BROKEN_STREAM_ERRORS:
            return
