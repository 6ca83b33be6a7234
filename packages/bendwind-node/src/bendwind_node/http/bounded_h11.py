"""Parse HTTP/1.1 with h11 in a time that is bounded by the number of bytes.

h11 checks lines with regular expressions whose time grows with the square of the white space in a
line: a head with 60 kB of it blocks the process for 20 s. While lines are read, this connection
hands h11 bytes with much white space in small slices, and rejects an incomplete line that has it;
it does the same with a head of many lines.
"""

import h11
import trio

SLICE_BYTES = 1024
# No sender writes this much white space between two words of a head; h11 checks that of one slice
# and of this much in a few milliseconds.
MAX_WHITE_SPACE = 256
# A head of 16 KiB cannot have more lines. h11 reads a head at once, 15,000 lines of it in 40 ms.
MAX_HEAD_LINES = 4096
# Taking this many events of a few bytes each takes less than a millisecond.
EVENTS_PER_TURN = 32

_TRANSFER_ENCODING = b"transfer-encoding"
_HEADS = (h11.Request, h11.Response)
_AS_SPACES = bytes.maketrans(b"\t\r\n", b"   ")
_TOO_MUCH = b" " * MAX_WHITE_SPACE


def _has_too_much_white_space(data: bytes | bytearray) -> bool:
    return len(data) >= MAX_WHITE_SPACE and _TOO_MUCH in data.translate(_AS_SPACES)


class BoundedConnection(h11.Connection):
    """Extend h11's connection, whose interface it keeps.

    `pending` are received bytes that h11 has not got yet, `held` counts those that it got since its
    last event. `events` counts the events since bytes were received, which lets other tasks run.
    """

    def __init__(self, our_role: type, max_incomplete_event_size: int):
        super().__init__(our_role, max_incomplete_event_size)
        self.pending = bytearray()
        self.held = 0
        self.events = 0
        self.is_ended = False
        self.is_chunked = False

    @property
    def trailing_data(self) -> tuple[bytes, bool]:
        """Return the bytes that no event has used yet, and whether the peer has closed."""
        return super().trailing_data[0] + bytes(self.pending), self.is_ended

    def receive_data(self, data: bytes) -> None:
        """Add received bytes; empty ones mean that the peer has closed."""
        self.events = 0
        if not data:
            self.is_ended = True
        elif self.pending or len(data) > SLICE_BYTES:
            self.pending += data
        else:
            self._hand_over(data)

    async def take_event(self) -> object:
        """Return the next event, or NEED_DATA, and let other tasks run after a number of them.

        Errors: raises h11.RemoteProtocolError.
        """
        self.events += 1
        if self.events > EVENTS_PER_TURN:
            self.events = 0
            await trio.lowlevel.checkpoint()
        return self.next_event()

    def next_event(self) -> object:
        """Return the next event, or NEED_DATA.

        Errors: raises h11.RemoteProtocolError.
        """
        while True:
            event = super().next_event()
            if event is not h11.NEED_DATA:
                self.held = 0
                if type(event) in _HEADS:
                    self.is_chunked = any(name == _TRANSFER_ENCODING for name, _ in event.headers)
                return event
            if self.held >= MAX_WHITE_SPACE and self._reads_lines():
                self._check_lines()
            if not self._feed():
                return event

    def _reads_lines(self) -> bool:
        return self.is_chunked or self._reads_head()

    def _reads_head(self) -> bool:
        return self.their_state is not h11.SEND_BODY

    def _check_lines(self) -> None:
        # What h11 has left over here is a part of a head, a chunk's header or a trailer.
        rest = super().trailing_data[0]
        if _has_too_much_white_space(rest[-(SLICE_BYTES + MAX_WHITE_SPACE) :]):
            raise h11.RemoteProtocolError("too much white space in a line")
        if self._reads_head() and rest.count(b"\n") > MAX_HEAD_LINES:
            raise h11.RemoteProtocolError("too many lines in a head")

    def _feed(self) -> bool:
        """Hand bytes or the end to h11; return False if nothing is left to hand over."""
        if self.pending:
            size = SLICE_BYTES if self._needs_slices() else len(self.pending)
            self._hand_over(self.pending[:size])
            del self.pending[:size]
            return True
        if self.is_ended and not super().trailing_data[1]:
            super().receive_data(b"")
            return True
        return False

    def _needs_slices(self) -> bool:
        """Return whether h11 could take long for the pending bytes."""
        if len(self.pending) <= SLICE_BYTES or not self._reads_lines():
            return False
        has_many_lines = self._reads_head() and self.pending.count(b"\n") > MAX_HEAD_LINES
        return has_many_lines or _has_too_much_white_space(self.pending)

    def _hand_over(self, data: bytes | bytearray) -> None:
        self.held += len(data)
        super().receive_data(data)
