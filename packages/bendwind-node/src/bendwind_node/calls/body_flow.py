"""Control the flow of bodies in parts: credit at the sender, order at the receiver."""

import msgspec
import trio

PART_BYTES = 64 * 1024
WINDOW_BYTES = 256 * 1024
# Parts of an answer on their way to its caller. Without this bound, a window of parts of one byte
# each would take a hundred times its bytes.
WINDOW_PARTS = 256


class ByteBudget(msgspec.Struct):
    """Limit the bytes of bodies that a process holds at a time."""

    limit: int
    used: int = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False, without reserving any, if they exceed the limit."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        self.used -= size


class Outflow(msgspec.Struct, eq=False):
    """Hold the credit of a body that this process sends; a lost receiver needs no credit.

    `parts` is the number of parts that may be sent before one of them is credited, None if the
    receiver does not credit each part by itself.
    """

    credit: int = WINDOW_BYTES
    parts: int | None = None
    next_index: int = 1
    is_lost: bool = False
    changed: trio.Event = msgspec.field(default_factory=trio.Event)

    def add_credit(self, credit: int) -> None:
        """Add credit and wake the sender."""
        self.credit += credit
        if self.parts is not None:
            self.parts += 1
        self._wake()

    def mark_lost(self) -> None:
        """Stop waiting for credit, since the link to the receiver is gone."""
        self.is_lost = True
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def consume_credit(self, size: int) -> int:
        """Wait for credit, consume it and return the index of the part to send."""
        while (self.credit <= 0 or self.parts == 0) and not self.is_lost:
            await self.changed.wait()
        self.credit -= size
        if self.parts:
            self.parts -= 1
        index = self.next_index
        self.next_index += 1
        return index


class Inflow(msgspec.Struct, eq=False):
    """Collect the parts of a body until it is complete."""

    limit: int
    budget: ByteBudget
    parts: list[bytes] = msgspec.field(default_factory=list)
    size: int = 0
    next_index: int = 0

    def append(self, index: int, data: bytes) -> bool:
        """Add a part; return False if it is not the next one, too long or over the byte budget."""
        is_next = index == self.next_index and self.size + len(data) <= self.limit
        if not is_next or not self.budget.reserve(len(data)):
            return False
        self.parts.append(data)
        self.size += len(data)
        self.next_index += 1
        return True

    def release(self) -> None:
        """Release the bytes of the body from the budget."""
        self.budget.release(self.size)
        self.size = 0

    def join(self) -> bytes:
        """Return the whole body."""
        return b"".join(self.parts)


def split_into_parts(body: bytes, part_bytes: int = PART_BYTES) -> tuple[bytes, ...]:
    """Split a body into parts of at most `part_bytes`."""
    return tuple(body[start : start + part_bytes] for start in range(0, len(body), part_bytes))


def split_first_part(body: bytes, part_bytes: int = PART_BYTES) -> tuple[bytes, tuple[bytes, ...]]:
    """Split a body into the part that is sent with the head and the parts that follow.

    >>> split_first_part(b"ab")
    (b'ab', ())
    """
    if len(body) <= part_bytes:
        return body, ()
    parts = split_into_parts(body, part_bytes)
    return parts[0], parts[1:]
