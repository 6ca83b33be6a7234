"""Read an upstream's answers from one HTTP/1.1 connection."""

import h11
import msgspec

from bendwind_core.core import Seconds
from bendwind_node.calls import headers as names
from bendwind_node.http.bounded_h11 import BoundedConnection
from bendwind_node.streams import DirectStream

RECEIVE_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024
# Interim answers (RFC 9110, section 15.2) tell that a request is being worked on; an upstream that
# sends more than these sends them without end.
MAX_INTERIM_ANSWERS = 100
# RFC 9112, section 2.3: an answer in another major version cannot be understood.
HTTP_1_PREFIX = b"1."
# RFC 9110, section 15: a status above this one is invalid.
MAX_STATUS = 599


class UpstreamConnection(msgspec.Struct, eq=False):
    """Hold one HTTP/1.1 connection to the upstream.

    `has_received` says whether bytes have come since the newest request was sent.
    """

    stream: DirectStream
    protocol: BoundedConnection
    idle_since: Seconds = 0.0
    is_reused: bool = False
    has_received: bool = False

    def is_usable(self, now: Seconds, max_idle: Seconds) -> bool:
        """Return whether the connection was idle for less than `max_idle` and is still open."""
        return now - self.idle_since < max_idle and not self.stream.socket.is_readable()

    async def next_event(self, *, may_wait: bool = True) -> object:
        """Return the next event of the upstream's answer.

        Return NEED_DATA, instead of waiting for more bytes, if it may not wait.

        Errors: raises those of the stream and h11.RemoteProtocolError.
        """
        while True:
            event = await self.protocol.take_event()
            if event is not h11.NEED_DATA or not may_wait:
                return event
            data = await self.stream.receive_some(RECEIVE_BYTES)
            self.has_received = self.has_received or bool(data)
            self.protocol.receive_data(data)

    async def next_head(self) -> h11.Response | None:
        """Return the head of the final answer, None if the upstream's bytes are no valid answer.

        Errors: raises those of `next_event`.
        """
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            head = await self.next_event()
            if not isinstance(head, h11.InformationalResponse | h11.Response):
                return None
            if not _is_valid_head(head):
                return None
            if isinstance(head, h11.Response):
                return head
        return None


def _is_valid_head(head: h11.InformationalResponse | h11.Response) -> bool:
    """Return whether a head has a known version, a valid status and at most one length of its body.

    Source: RFC 9112, section 6.3, for a Content-Length beside a Transfer-Encoding.
    """
    is_known = head.http_version.startswith(HTTP_1_PREFIX) and head.status_code <= MAX_STATUS
    return is_known and not {name for name, _ in head.headers} >= names.FRAMING
