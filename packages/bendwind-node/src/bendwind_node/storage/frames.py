"""Frame records with a sequence number and a checksum, and find where a file stops being whole."""

import io
import zlib

import cbor2
import msgspec
from expression import Error, Ok, Result

from bendwind_node.storage.errors import CorruptData

# A frame is the CBOR array [sequence, checksum, payload].
_ARRAY_OF_THREE = b"\x83"
_DECODE_ERRORS = (cbor2.CBORError, ValueError, OverflowError, MemoryError, RecursionError)


class Frame(msgspec.Struct, frozen=True):
    """Hold one record's bytes and where its frame ends in the file."""

    sequence: int
    payload: bytes
    end: int


class FrameRun(msgspec.Struct, frozen=True):
    """Hold a file's whole frames, and the offset where they end."""

    frames: tuple[Frame, ...]
    end: int


def encode_frame(sequence: int, payload: bytes) -> bytes:
    """Encode one frame.

    >>> read_frame(encode_frame(7, b"state"), 0).payload
    b'state'
    """
    return cbor2.dumps([sequence, _checksum(sequence, payload), payload])


def _checksum(sequence: int, payload: bytes) -> int:
    return zlib.crc32(payload, zlib.crc32(sequence.to_bytes(8, "big")))


def read_frame(data: bytes, start: int) -> Frame | None:
    """Read the frame at an offset, or return None when there is no whole one."""
    if data[start : start + 1] != _ARRAY_OF_THREE:
        return None
    stream = io.BytesIO(data)
    stream.seek(start)
    try:
        sequence, checksum, payload = cbor2.CBORDecoder(stream).decode()
    except _DECODE_ERRORS:
        return None
    is_typed = isinstance(sequence, int) and isinstance(payload, bytes)
    if not is_typed or not 0 <= sequence < 2**63 or checksum != _checksum(sequence, payload):
        return None
    return Frame(sequence, payload, stream.tell())


def read_frames(
    file: str, data: bytes, sequence: int, mark: bytes, *, is_last: bool
) -> Result[FrameRun, CorruptData]:
    """Read a file's frames, numbered from a sequence on, up to the first that is not whole.

    A frame that holds the payload `mark` tells that all before it was synced. Only the last file
    may end sooner than its data, and only when no mark follows: of writes that were not synced, a
    loss of power may take one and leave a later one.
    Errors: CorruptData for anything else that is not whole.
    """
    frames: list[Frame] = []
    end = 0
    while end < len(data):
        frame = read_frame(data, end)
        if frame is None or frame.sequence != sequence:
            if not is_last:
                return Error(CorruptData(file, end, "a record is damaged"))
            if _has_later_mark(data, end, sequence, mark):
                return Error(CorruptData(file, end, "a record that was synced is damaged"))
            break
        frames.append(frame)
        sequence += 1
        end = frame.end
    return Ok(FrameRun(tuple(frames), end))


def _has_later_mark(data: bytes, start: int, sequence: int, mark: bytes) -> bool:
    position = data.find(_ARRAY_OF_THREE, start)
    while position >= 0:
        frame = read_frame(data, position)
        if frame is not None and frame.sequence >= sequence and frame.payload == mark:
            return True
        # Within a whole frame nothing else can begin.
        after = position + 1 if frame is None else frame.end
        position = data.find(_ARRAY_OF_THREE, after)
    return False
