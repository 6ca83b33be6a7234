"""Exchange one HTTP/1.1 request and its answer, with h11 on a trio stream."""

from collections.abc import Callable

import h11
import trio

from bendwind_core.attempts import Header
from bendwind_core.core import Seconds
from bendwind_node.calls import headers as names
from bendwind_node.calls import outcomes
from bendwind_node.calls.caller_exchange import CallerGoneError, CallerRequest
from bendwind_node.http.bounded_h11 import BoundedConnection
from bendwind_node.streams import SEND_STALL_TIMEOUT, DirectStream

RECEIVE_BYTES = 64 * 1024
# Pipelined requests beyond this size stay unread in the socket, and the caller's connection is no
# longer watched for its close.
MAX_READ_AHEAD_BYTES = 64 * 1024
BROKEN_STREAM_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)

_BAD_REQUEST = 400
_BAD_GATEWAY = 502
_SERVICE_UNAVAILABLE = 503
_CLOSE = (b"connection", b"close")


class H11Exchange:
    """Exchange one request of a connection and its answer."""

    __slots__ = (
        "connection",
        "ends_with_connection",
        "head",
        "is_aborted",
        "is_answer_begun",
        "is_answered",
        "is_closing",
        "is_gone",
        "is_malformed",
        "may_have_run",
        "read_ahead",
        "request",
        "announces_close",
        "is_stalled",
        "stall_timeout",
        "stream",
    )

    def __init__(
        self,
        is_closing: Callable[[], bool],
        stream: DirectStream,
        connection: BoundedConnection,
        head: h11.Request,
        target: bytes,
        stall_timeout: Seconds = SEND_STALL_TIMEOUT,
    ):
        self.is_closing = is_closing
        self.stream = stream
        self.stall_timeout = stall_timeout
        self.connection = connection
        headers = tuple(head.headers)
        may_have_body = any(name in names.FRAMING for name, _ in headers)
        self.request = CallerRequest(head.method.decode(), target, headers, may_have_body)
        self.head = b""
        self.may_have_run = False
        self.is_aborted = False
        self.is_answer_begun = False
        self.is_answered = False
        self.is_gone = False
        self.is_malformed = False
        self.is_stalled = False
        self.announces_close = False
        self.ends_with_connection = False
        self.read_ahead = 0

    async def receive_part(self) -> bytes | None:
        """Return the next part of the body, None at its end."""
        connection = self.connection
        if connection.they_are_waiting_for_100_continue:
            go_ahead = h11.InformationalResponse(status_code=100, headers=[])
            await self._send(connection.send(go_ahead))
        while True:
            match await self._take_event():
                case h11.NEED_DATA:
                    await self._receive()
                case h11.Data(data=data):
                    return bytes(data)
                case _:
                    return None

    async def _take_event(self) -> object:
        try:
            return await self.connection.take_event()
        except h11.RemoteProtocolError as error:
            self.is_gone = True
            self.is_malformed = True
            raise CallerGoneError from error

    async def _receive(self) -> None:
        try:
            data = await self.stream.receive_some(RECEIVE_BYTES)
        except BROKEN_STREAM_ERRORS as error:
            self.is_gone = True
            raise CallerGoneError from error
        if not data:
            self.is_gone = True
            raise CallerGoneError
        self.connection.receive_data(data)

    async def send_head(self, status: int, headers: tuple[Header, ...]) -> None:
        """Prepare the head of the answer; it is sent with the first part of the body."""
        self.announces_close = self.is_closing() or not await _discard_unread_body(self.connection)
        if self.announces_close:
            headers = (*headers, _CLOSE)
        if self._ends_with_connection(headers):
            # Until the answer is complete, its caller must not take the end of the connection for
            # the end of the answer.
            self._set_reset_on_close(is_reset=True)
            self.ends_with_connection = True
        self.head = self.connection.send(h11.Response(status_code=status, headers=list(headers)))

    def _ends_with_connection(self, headers: tuple[Header, ...]) -> bool:
        """Return whether only the end of the connection tells the end of the answer."""
        has_chunks = self.connection.their_http_version >= b"1.1"
        return not has_chunks and not names.has_header(headers, names.CONTENT_LENGTH)

    async def send_part(self, data: bytes, *, more: bool) -> None:
        """Send a part of the body."""
        out = self.head
        self.head = b""
        if data:
            out += self.connection.send(h11.Data(data=data))
        if not more:
            out += self.connection.send(h11.EndOfMessage())
        self.is_answer_begun = True
        await self._send(out)
        self.is_answered = not more
        if self.is_answered and self.ends_with_connection:
            self._set_reset_on_close(is_reset=False)

    def _set_reset_on_close(self, *, is_reset: bool) -> None:
        try:
            self.stream.set_reset_on_close(is_reset=is_reset)
        except BROKEN_STREAM_ERRORS as error:
            self.is_gone = True
            raise CallerGoneError from error

    async def _send(self, data: bytes) -> None:
        if self.is_stalled:
            raise CallerGoneError
        try:
            is_sent = await self.stream.send_unless_stalled(data, self.stall_timeout)
        except BROKEN_STREAM_ERRORS as error:
            self.is_gone = True
            raise CallerGoneError from error
        if not is_sent:
            self._end_stalled()
            raise CallerGoneError

    def _end_stalled(self) -> None:
        self.is_gone = True
        self.is_stalled = True
        self.is_aborted = True
        # The system would otherwise hold what the caller has not taken after the connection closed.
        self._set_reset_on_close(is_reset=True)

    def send_failure(self) -> None:
        """Answer at once that the outcome of the request is unknown, or that it has not run.

        A request whose body breaks the protocol is refused, since sending it again can't help. Do
        nothing if the answer has begun.
        """
        if self.is_answer_begun:
            return
        status, outcome = self._choose_failure()
        self.announces_close = True
        # Nothing was sent yet, so a new h11 state can be used whatever state the connection is in.
        answer = make_error(h11.Connection(h11.SERVER), status, outcome)
        try:
            self.is_answered = self.stream.send_nowait(answer) == len(answer)
        except BROKEN_STREAM_ERRORS:
            self.is_gone = True

    def _choose_failure(self) -> tuple[int, bytes]:
        if self.may_have_run:
            return _BAD_GATEWAY, outcomes.UNKNOWN
        if self.is_malformed:
            return _BAD_REQUEST, outcomes.REFUSED
        return _SERVICE_UNAVAILABLE, outcomes.NOT_RUN

    def abort(self) -> None:
        """Mark the connection to be closed before the answer is complete."""
        self.is_aborted = True

    async def wait_gone(self) -> None:
        """Return when the caller has closed its connection."""
        while self.read_ahead < MAX_READ_AHEAD_BYTES:
            try:
                data = await self.stream.receive_some(RECEIVE_BYTES)
            except BROKEN_STREAM_ERRORS:
                data = b""
            if not data:
                self.is_gone = True
                return
            self.connection.receive_data(data)
            self.read_ahead += len(data)
        await trio.sleep_forever()


async def _discard_unread_body(connection: BoundedConnection) -> bool:
    """Discard the received part of an unread body; return whether the request has ended."""
    while connection.their_state is h11.SEND_BODY:
        try:
            event = await connection.take_event()
        except h11.RemoteProtocolError:
            return False
        if event is h11.NEED_DATA:
            return False
    return connection.their_state is h11.DONE


def make_error(connection: h11.Connection, status: int, outcome: bytes) -> bytes:
    """Return an error answer that closes the connection, empty if an answer has begun."""
    if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return b""
    headers = [(names.CONTENT_LENGTH, b"0"), (names.OUTCOME, outcome), _CLOSE]
    head = connection.send(h11.Response(status_code=status, headers=headers))
    return head + connection.send(h11.EndOfMessage())
