"""Encode several messages and a hybrid logical time as one frame of a link."""

import cbor2
import msgspec
from expression import Error, Ok, Result

from bendwind_core.attempts import NotRun, Unknown
from bendwind_core.core import DECODE_ERRORS, Count, Int64, Record, decode_cbor
from bendwind_core.messages.codec import PeerMessage, convert_message, find_message_type

# What an owner adds to the end of an attempt for the choice of the next upstream.
_HINTS = frozenset({"load", "wait_ms"})


class Frame(Record, frozen=True, array_like=True):
    """Hold messages in order, with the hybrid logical time of the sender.

    `version` is the configuration in force at the sender, 0 if unknown: a node learns from any peer
    that its own is overtaken.
    """

    physical_ms: Int64
    logical: Count
    messages: tuple[PeerMessage, ...]
    version: Int64 = 0


class RefusedMessage(msgspec.Struct, frozen=True):
    """Hold the type of a message that cannot be taken, None if it is unknown, and why.

    `is_end_taken` says that the end of an attempt was taken, and only its hints are left out.
    """

    kind: type[PeerMessage] | None
    reason: str
    is_end_taken: bool = False


class ReadFrame(msgspec.Struct, frozen=True):
    """Hold a received frame without the messages that cannot be taken, and these."""

    frame: Frame
    refused: tuple[RefusedMessage, ...] = ()


class _Envelope(Record, frozen=True, array_like=True):
    physical_ms: Int64
    logical: Count
    messages: tuple[object, ...]
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


def read_frame(data: bytes | str) -> Result[ReadFrame, str]:
    """Decode a frame; a message that cannot be taken does not keep the others back.

    Errors: a description of what is wrong with the frame itself.
    """
    decoded = decode_cbor(data)
    if decoded.is_error():
        return Error(f"undecodable frame: {decoded.error}")
    try:
        return Ok(ReadFrame(msgspec.convert(decoded.ok, Frame)))
    except DECODE_ERRORS:
        return _read_singly(decoded.ok)


def _read_singly(value: object) -> Result[ReadFrame, str]:
    try:
        envelope = msgspec.convert(value, _Envelope)
    except DECODE_ERRORS as error:
        return Error(f"undecodable frame: {error}")
    taken: list[PeerMessage] = []
    refused: list[RefusedMessage] = []
    for item in envelope.messages:
        match convert_message(item):
            case Result(tag="ok", ok=message):
                taken.append(message)
            case Result(error=reason):
                kind = find_message_type(item)
                end = _read_end(kind, item)
                taken += [end] if end is not None else []
                refused.append(RefusedMessage(kind, reason, is_end_taken=end is not None))
    frame = Frame(envelope.physical_ms, envelope.logical, tuple(taken), envelope.version)
    return Ok(ReadFrame(frame, tuple(refused)))


def _read_end(kind: type[PeerMessage] | None, item: list) -> NotRun | Unknown | None:
    """Return the end of an attempt without the hints beside it, None if that cannot be taken."""
    if kind is None or not issubclass(kind, NotRun | Unknown):
        return None
    # A message is an array of its tag and its fields in order.
    hints = [name in _HINTS for name in ("", *kind.__struct_fields__)]
    values = [None if is_hint else value for is_hint, value in zip(hints, item, strict=False)]
    return convert_message(values).default_value(None)
