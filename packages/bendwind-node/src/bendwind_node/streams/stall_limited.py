"""Give up connections whose peers read nothing, for servers that send without a deadline."""

import weakref

import trio

from bendwind_core.core import Seconds
from bendwind_node.streams.direct_stream import DirectStream

# A peer that reads at all takes some bytes in this time, however slow its network is.
SEND_STALL_TIMEOUT: Seconds = 30.0


class StallLimitedStream(DirectStream):
    """Send and receive bytes; a send breaks once the peer takes no byte for the timeout."""

    def __init__(self, inner: trio.SocketStream, stall_timeout: Seconds):
        super().__init__(inner)
        self.stall_timeout = stall_timeout

    async def send_all(self, data: bytes) -> None:
        """Send all data.

        Errors: raises trio.BrokenResourceError and trio.ClosedResourceError.
        """
        if not await self.send_unless_stalled(data, self.stall_timeout):
            self.set_reset_on_close(is_reset=True)
            raise trio.BrokenResourceError("the peer reads nothing")


class StallLimitedListener(trio.abc.Listener):
    """Accept connections as stall-limited streams, and close them all at once if need be."""

    def __init__(self, inner: trio.SocketListener, stall_timeout: Seconds = SEND_STALL_TIMEOUT):
        self.inner = inner
        self.socket = inner.socket
        self.stall_timeout = stall_timeout
        self.streams: weakref.WeakSet[StallLimitedStream] = weakref.WeakSet()

    async def accept(self) -> StallLimitedStream:
        """Wait for a connection."""
        stream = StallLimitedStream(await self.inner.accept(), self.stall_timeout)
        self.streams.add(stream)
        return stream

    async def aclose(self) -> None:
        """Stop listening."""
        await self.inner.aclose()

    def abort(self) -> None:
        """Close all connections without waiting; a send that is shielded from cancellation ends."""
        for stream in tuple(self.streams):
            stream.socket.close()
