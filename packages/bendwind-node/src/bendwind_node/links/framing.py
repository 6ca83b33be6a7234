"""Divide messages into frames that a peer takes, and set aside those that no frame can hold."""

from collections.abc import Callable, Iterator

import cbor2
import msgspec

from bendwind_core.attempts import (
    AnswerHead,
    BodyCredit,
    BodyPart,
    Cancel,
    Fence,
    Fenced,
    HandOver,
    NotRun,
    Unknown,
)
from bendwind_core.core import ENCODE_ERRORS, describe_reason
from bendwind_core.messages import PeerMessage

MAX_FRAME_BYTES = 4 * 1024 * 1024
_UNENCODABLE = (cbor2.CBOREncodeError, *ENCODE_ERRORS)
# Each is a part of one attempt and is sent once. All other messages are repeated until answered, or
# followed by newer ones.
_PARTS_OF_ATTEMPTS = (
    HandOver,
    AnswerHead,
    BodyPart,
    BodyCredit,
    NotRun,
    Unknown,
    Cancel,
    Fence,
    Fenced,
)


def is_part_of_attempt(kind: type[PeerMessage]) -> bool:
    """Return whether an attempt would be incomplete without a message of this type."""
    return issubclass(kind, _PARTS_OF_ATTEMPTS)


class Unsendable(msgspec.Struct, frozen=True):
    """Hold a message that no frame can hold, and why."""

    message: PeerMessage
    reason: str

    @property
    def is_part_of_attempt(self) -> bool:
        """Return whether an attempt would be incomplete without the message."""
        return is_part_of_attempt(type(self.message))

    def __str__(self) -> str:
        return f"{type(self.message).__name__}: {self.reason}"


def divide_messages(
    messages: list[PeerMessage], encode: Callable[[list[PeerMessage]], bytes]
) -> Iterator[bytes | Unsendable]:
    """Yield frames that the peer takes, and what no frame can hold, in the order of the messages.

    A peer closes a link at a longer frame.
    """
    try:
        encoded = encode(messages)
    except _UNENCODABLE as error:
        reason = describe_reason(error)
    else:
        if len(encoded) <= MAX_FRAME_BYTES:
            yield encoded
            return
        reason = f"{len(encoded)} bytes of {MAX_FRAME_BYTES}"
    if len(messages) == 1:
        yield Unsendable(messages[0], reason)
        return
    half = len(messages) // 2
    yield from divide_messages(messages[:half], encode)
    yield from divide_messages(messages[half:], encode)
