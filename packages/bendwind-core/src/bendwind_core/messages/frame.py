"""Encode several messages and a hybrid logical time as one frame of a link."""

import cbor2
import msgspec
from expression import Error, Ok, Result

from bendwind_core.core import Record
from bendwind_core.messages.codec import PeerMessage

# A hostile or faulty peer can cause each of these; nothing has been done with the frame by then.
_DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    msgspec.ValidationError,
    ValueError,
    OverflowError,
    RecursionError,
    MemoryError,
)


class Frame(Record, frozen=True, array_like=True):
    """Hold messages in order, with the hybrid logical time of the sender.

    `version` is the configuration in force at the sender, 0 if unknown: a node learns from any peer
    that its own is overtaken.
    """

    physical_ms: int
    logical: int
    messages: tuple[PeerMessage, ...]
    version: int = 0


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))


def decode_frame(data: bytes | str) -> Result[Frame, str]:
    """Decode a frame and check every field.

    Errors: a description of what is wrong with the data.
    """
    if isinstance(data, str):
        return Error("undecodable frame: text in place of bytes")
    try:
        return Ok(msgspec.convert(cbor2.loads(data), Frame))
    except _DECODE_ERRORS as error:
        return Error(f"undecodable frame: {error}")
