"""Wrap trio's TCP streams so that a short exchange yields to the scheduler less often.

trio's `send_all` yields to the scheduler after a successful send, and its `receive_some` first
tries a read that usually finds no data, and only then waits. For a call that sends and receives a
few hundred bytes four times, these steps are a large part of its processor time. These streams
write data immediately if the socket accepts it, and wait before they read. Every receive still
yields, so no task blocks others.
"""

import os
import socket
import struct

import trio

from bendwind_core.core import Seconds

RECEIVE_BYTES = 64 * 1024
# Values of SO_LINGER: whether closing waits for bytes in transit, and for how many seconds. Waiting
# for no time resets the connection.
_RESET = struct.pack("ii", 1, 0)
_END = struct.pack("ii", 0, 0)


class DirectStream(trio.abc.HalfCloseableStream):
    """Send and receive bytes over a connected TCP socket."""

    __slots__ = ("inner", "socket")

    def __init__(self, inner: trio.SocketStream):
        self.inner = inner
        self.socket = inner.socket

    async def send_all(self, data: bytes) -> None:
        """Send all data."""
        sent = self.send_nowait(data)
        if sent < len(data):
            await self.inner.send_all(memoryview(data)[sent:])

    async def send_unless_stalled(self, data: bytes, stall_timeout: Seconds) -> bool:
        """Send all data; return False once the socket has accepted no byte for the timeout.

        Errors: raises trio.BrokenResourceError and trio.ClosedResourceError.
        """
        sent = self.send_nowait(data)
        if sent == len(data):
            return True
        rest = memoryview(data)[sent:]
        stalls_at = trio.current_time() + stall_timeout
        while rest:
            self._get_file_descriptor()
            with trio.move_on_at(stalls_at):
                await trio.lowlevel.wait_writable(self.socket)
            # The system calls a socket writable only once much of its buffer is free; a peer that
            # reads slowly frees less in this time.
            sent = self.send_nowait(rest)
            now = trio.current_time()
            if sent:
                rest = rest[sent:]
                stalls_at = now + stall_timeout
            elif now >= stalls_at:
                return False
        return True

    def send_nowait(self, data: bytes | memoryview) -> int:
        """Send the bytes that the socket accepts immediately and return their number."""
        try:
            return os.write(self._get_file_descriptor(), data)
        except BlockingIOError:
            return 0
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    def _get_file_descriptor(self) -> int:
        file_descriptor = self.socket.fileno()
        if file_descriptor < 0:
            raise trio.ClosedResourceError
        return file_descriptor

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until the socket accepts data."""
        await self.inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Wait for data and return it, empty at the end of the stream."""
        while True:
            self._get_file_descriptor()
            await trio.lowlevel.wait_readable(self.socket)
            try:
                return os.read(self._get_file_descriptor(), max_bytes or RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error

    def receive_nowait(self) -> bytes:
        """Return the bytes that have arrived, empty if there are none."""
        try:
            return os.read(self._get_file_descriptor(), RECEIVE_BYTES)
        except BlockingIOError:
            return b""
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    def set_reset_on_close(self, *, is_reset: bool) -> None:
        """Choose whether the peer sees a reset once the connection closes, however it does.

        Errors: raises trio.BrokenResourceError and trio.ClosedResourceError.
        """
        self._get_file_descriptor()
        linger = _RESET if is_reset else _END
        try:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error

    async def send_eof(self) -> None:
        """Close the sending direction."""
        await self.inner.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self.inner.aclose()


class DirectListener(trio.abc.Listener):
    """Accept connections as direct streams."""

    __slots__ = ("inner", "silence_ms", "socket")

    def __init__(self, inner: trio.SocketListener, silence_ms: int | None = None):
        self.inner = inner
        self.socket = inner.socket
        self.silence_ms = silence_ms

    async def accept(self) -> DirectStream:
        """Wait for a connection."""
        return _set_acknowledgement_timeout(
            DirectStream(await self.inner.accept()), self.silence_ms
        )

    async def aclose(self) -> None:
        """Stop listening."""
        await self.inner.aclose()


def _set_acknowledgement_timeout(stream: DirectStream, silence_ms: int | None) -> DirectStream:
    """Make the operating system abort a connection whose peer acknowledges nothing for a time.

    A peer that lost power or is cut off from the network gives no other sign.
    Source: RFC 5482.
    """
    if silence_ms is not None:
        stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, silence_ms)
    return stream


async def open_direct_stream(host: str, port: int, silence_ms: int | None = None) -> DirectStream:
    """Connect to an address.

    Errors: raises OSError, also for a host or port that cannot be an address.
    Units: `silence_ms` is the time without acknowledgement after which the connection is aborted,
    in milliseconds.
    """
    try:
        stream = await trio.open_tcp_stream(host, port)
    except (ValueError, OverflowError) as error:
        raise OSError(f"not an address: {host!r}:{port}") from error
    return _set_acknowledgement_timeout(DirectStream(stream), silence_ms)
