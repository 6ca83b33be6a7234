"""Serve a connection with hypercorn in a time that is bounded by the number of bytes."""

import h11
import trio
from hypercorn.protocol import ProtocolWrapper
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.tcp_server import TCPServer

from bendwind_core.core import Seconds
from bendwind_node.http.bounded_h11 import BoundedConnection

# During a stop, a connection without a request yet is kept this long, since its peer is about to
# send one. The auxiliary servers finish their requests in a quarter of a second.
FIRST_REQUEST_TIMEOUT: Seconds = 0.1


class BoundedTCPServer(TCPServer):
    """Extend hypercorn's server of a connection.

    hypercorn's own parses HTTP/1.1 with h11's class, and closes each idle connection at a stop.
    """

    has_been_idle = False

    @property
    def protocol(self) -> ProtocolWrapper:
        """Return the protocol of the connection."""
        return self.bounded_protocol

    @protocol.setter
    def protocol(self, protocol: ProtocolWrapper) -> None:
        # hypercorn sets its protocol once, before it reads.
        self.bounded_protocol = protocol
        if isinstance(protocol.protocol, H11Protocol):
            limit = self.config.h11_max_incomplete_size
            protocol.protocol.connection = BoundedConnection(h11.SERVER, limit)

    async def _idle_timeout(self) -> None:
        # hypercorn starts this when the connection opens, and after each request.
        is_new = not self.has_been_idle
        self.has_been_idle = True
        with trio.move_on_after(self.config.keep_alive_timeout):
            await self.context.terminated.wait()
            if is_new:
                await trio.sleep(FIRST_REQUEST_TIMEOUT)
        with trio.CancelScope(shield=True):
            await self._initiate_server_close()
