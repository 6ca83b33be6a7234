"""Encode several messages and a hybrid logical time as one frame of a link."""

import cbor2
import msgspec
from expression import Error, Ok, Result

from bendwind_core.core import DECODE_ERRORS, Count, Int64, Record, decode_cbor
from bendwind_core.messages.codec import PeerMessage


class Frame(Record, frozen=True, array_like=True):
    """Hold messages in order, with the hybrid logical time of the sender.

    `version` is the configuration in force at the sender, 0 if unknown: a node learns from any peer
    that its own is overtaken.
    """

    physical_ms: Int64
    logical: Count
    messages: tuple[PeerMessage, ...]
    version: Int64 = 0


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))


def decode_frame(data: bytes | str) -> Result[Frame, str]:
    """Decode a frame and check every field.

    Errors: a description of what is wrong with the data.
    """
    decoded = decode_cbor(data)
    if decoded.is_error():
        return Error(f"undecodable frame: {decoded.error}")
    try:
        return Ok(msgspec.convert(decoded.ok, Frame))
    except DECODE_ERRORS as error:
        return Error(f"undecodable frame: {error}")
