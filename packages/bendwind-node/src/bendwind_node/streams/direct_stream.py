"""Wrap trio's TCP streams so that a short exchange passes the scheduler less often.

trio's `send_all` yields to the scheduler after a successful send, and `receive_some` tries a read
that mostly finds nothing before it waits. On a call that sends and receives a few hundred bytes
four times, these are a good part of its processor time. Here data is written at once where the
socket takes it, and a read waits first. Every receive still yields, so no task holds up others.
"""

import os
import socket

import trio

RECEIVE_BYTES = 64 * 1024


class DirectStream(trio.abc.HalfCloseableStream):
    """Carry bytes over a connected TCP socket."""

    __slots__ = ("inner", "socket")

    def __init__(self, inner: trio.SocketStream):
        self.inner = inner
        self.socket = inner.socket

    async def send_all(self, data: bytes) -> None:
        """Send all data."""
        sent = self.send_nowait(data)
        if sent < len(data):
            await self.inner.send_all(memoryview(data)[sent:])

    def send_nowait(self, data: bytes) -> int:
        """Send what the socket takes at once and return how many bytes that were."""
        try:
            return os.write(self._find_number(), data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    def _find_number(self) -> int:
        number = self.socket.fileno()
        if number < 0:
            raise trio.ClosedResourceError
        return number

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the socket takes data."""
        await self.inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the bytes that are there, empty at the end of the stream."""
        while True:
            self._find_number()
            await trio.lowlevel.wait_readable(self.socket)
            try:
                return os.read(self._find_number(), max_bytes or RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    def receive_nowait(self) -> bytes:
        """Return the bytes that have come, empty where there are none."""
        try:
            return os.read(self._find_number(), RECEIVE_BYTES)
        except BlockingIOError:
            return b""
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    async def send_eof(self) -> None:
        """End the sending direction."""
        await self.inner.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self.inner.aclose()


class DirectListener(trio.abc.Listener):
    """Accept connections as prompt streams."""

    __slots__ = ("inner", "silence_ms", "socket")

    def __init__(self, inner: trio.SocketListener, silence_ms: int | None = None):
        self.inner = inner
        self.socket = inner.socket
        self.silence_ms = silence_ms

    async def accept(self) -> DirectStream:
        """Wait for a connection."""
        return _bound_silence(DirectStream(await self.inner.accept()), self.silence_ms)

    async def aclose(self) -> None:
        """Stop listening."""
        await self.inner.aclose()


def _bound_silence(stream: DirectStream, silence_ms: int | None) -> DirectStream:
    """Have the system break a connection off whose peer acknowledges nothing for a time.

    Source: RFC 5482; a peer that lost power or is cut off gives no other sign.
    """
    if silence_ms is not None:
        stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
    return stream


async def open_direct_stream(host: str, port: int, silence_ms: int | None = None) -> DirectStream:
    """Connect to an address.

    Errors: raises OSError.
    Units: `silence_ms` is how long the connection lasts without acknowledgement, in milliseconds.
    """
    return _bound_silence(DirectStream(await trio.open_tcp_stream(host, port)), silence_ms)
