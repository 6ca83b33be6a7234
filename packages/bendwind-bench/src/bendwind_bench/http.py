"""Provide HTTP/1.1 over trio streams with h11, for simulated upstreams and the load generator."""

import select
from dataclasses import dataclass, field

import h11
import msgspec
import trio

from bendwind_core.core import Seconds

READ_SIZE = 65536
MAX_IDLE_S = 2.0

Headers = list[tuple[bytes, bytes]]


class HttpBrokenError(Exception):
    """Report that a connection ended before the whole answer was received."""


@dataclass(slots=True)
class Message:
    """Hold one whole request or answer."""

    head: h11.Request | h11.Response
    body: bytes

    def find(self, name: bytes) -> str:
        """Return the first header with this lower-case name, or an empty string."""
        return next((value.decode() for key, value in self.head.headers if key == name), "")

    @property
    def status(self) -> int:
        """Return the status code of an answer."""
        return self.head.status_code


class HttpStream:
    """Hold one stream and the h11 state of its connection."""

    __slots__ = ("idle_since", "state", "stream")

    def __init__(self, stream: trio.SocketStream, role: type):
        self.stream = stream
        self.state = h11.Connection(role)
        self.idle_since = 0.0

    async def send(self, *events, surplus: bytes = b"") -> None:
        """Send events in one write, and after them bytes that belong to no message."""
        data = b"".join(self.state.send(event) or b"" for event in events)
        await self.stream.send_all(data + surplus)

    async def next_event(self):
        """Return the next event that h11 reads from the peer."""
        while (event := self.state.next_event()) is h11.NEED_DATA:
            if self.state.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            self.state.receive_data(await self.stream.receive_some(READ_SIZE))
        return event

    async def receive(self) -> Message | None:
        """Read one whole message; return None if the peer closed before a message began."""
        head = await self.next_event()
        while type(head) is h11.InformationalResponse:
            head = await self.next_event()
        if type(head) not in (h11.Request, h11.Response):
            return None
        parts = []
        while type(event := await self.next_event()) is h11.Data:
            parts.append(bytes(event.data))
        if type(event) is not h11.EndOfMessage:
            raise HttpBrokenError("cut body")
        return Message(head, b"".join(parts))

    def has_pending_input(self) -> bool:
        """Return whether the peer sent bytes or closed; an idle stream is unusable after either."""
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))


@dataclass(slots=True)
class HttpPool:
    """Manage the keep-alive connections to one address.

    A connection that was idle for longer than `max_idle_s` is not used again.
    """

    host: str
    port: int
    max_idle_s: Seconds = MAX_IDLE_S
    idle: list[HttpStream] = field(default_factory=list)

    async def request(
        self, method: str, target: str, headers: Headers = (), body: bytes = b""
    ) -> Message:
        """Send a request and read the whole answer.

        Errors: raises HttpBrokenError if the connection ends before the whole answer is received,
        OSError if no connection can be opened.
        """
        connection = self._pop_idle() or await self._open()
        try:
            answer = await self._exchange(connection, method, target, headers, body)
        except BaseException as error:
            await trio.aclose_forcefully(connection.stream)
            if isinstance(error, (trio.BrokenResourceError, h11.ProtocolError)):
                raise HttpBrokenError(str(error) or "reset") from error
            raise
        await self._release(connection)
        return answer

    async def _open(self) -> HttpStream:
        return HttpStream(await trio.open_tcp_stream(self.host, self.port), h11.CLIENT)

    def _pop_idle(self) -> HttpStream | None:
        while self.idle:
            connection = self.idle.pop()
            is_old = trio.current_time() - connection.idle_since > self.max_idle_s
            if not is_old and not connection.has_pending_input():
                return connection
            connection.stream.socket.close()
        return None

    async def _exchange(self, connection, method, target, headers, body) -> Message:
        lines = [(b"Host", f"{self.host}:{self.port}".encode()), *headers]
        if body or method in ("POST", "PUT"):
            lines.append((b"Content-Length", str(len(body)).encode()))
        events = [h11.Request(method=method, target=target, headers=lines)]
        if body:
            events.append(h11.Data(data=body))
        await connection.send(*events, h11.EndOfMessage())
        answer = await connection.receive()
        if answer is None:
            raise HttpBrokenError("closed without an answer")
        return answer

    async def _release(self, connection: HttpStream) -> None:
        if connection.state.our_state is h11.MUST_CLOSE or (
            connection.state.their_state is not h11.DONE
        ):
            await trio.aclose_forcefully(connection.stream)
            return
        connection.state.start_next_cycle()
        connection.idle_since = trio.current_time()
        self.idle.append(connection)

    def close(self) -> None:
        """Close every idle connection."""
        while self.idle:
            self.idle.pop().stream.socket.close()


def create_pool(address: str, max_idle_s: Seconds = MAX_IDLE_S) -> HttpPool:
    """Create a pool for an address in the form host:port."""
    host, port = address.rsplit(":", 1)
    return HttpPool(host, int(port), max_idle_s)


async def send_json(address: str, method: str, target: str, value=None) -> Message:
    """Send a JSON request on a new connection."""
    body = "" if value is None else msgspec.json.encode(value).decode()
    return await send_text(address, method, target, body, "application/json")


async def send_text(
    address: str, method: str, target: str, body: str = "", kind: str = "application/toml"
) -> Message:
    """Send a request with a text body on a new connection."""
    pool = create_pool(address)
    headers = [(b"Content-Type", kind.encode())] if body else []
    try:
        return await pool.request(method, target, headers, body.encode())
    finally:
        pool.close()
