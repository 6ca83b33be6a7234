"""Frame records with a sequence number and a checksum, and find the last valid frame of a file."""

import io
import zlib

import cbor2
import msgspec
from expression import Error, Ok, Result

from bendwind_node.storage.errors import CorruptData

# A frame is the CBOR array [sequence, checksum, payload].
_THREE_ITEM_ARRAY = b"\x83"
_DECODE_ERRORS = (cbor2.CBORError, ValueError, OverflowError, MemoryError, RecursionError)


class Frame(msgspec.Struct, frozen=True):
    """Hold the encoded bytes of one record and the file offset where its frame ends."""

    sequence: int
    payload: bytes
    end: int


class ValidFrames(msgspec.Struct, frozen=True):
    """Hold the leading valid frames of a file and the offset where they end."""

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
    """Read the frame at an offset; return None if no valid frame starts there."""
    if data[start : start + 1] != _THREE_ITEM_ARRAY:
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
    file: str, data: bytes, sequence: int, sync_mark: bytes, *, is_last: bool
) -> Result[ValidFrames, CorruptData]:
    """Read the frames of a file, numbered from `sequence` on, up to the first invalid one.

    A frame with the payload `sync_mark` means that all data before it was synced. Invalid data is
    accepted only in the last file, and only if no sync mark follows it: a power loss may destroy
    one unsynced write and keep a later one.
    Errors: CorruptData for any other invalid data.
    """
    frames: list[Frame] = []
    end = 0
    while end < len(data):
        frame = read_frame(data, end)
        if frame is None or frame.sequence != sequence:
            if not is_last:
                return Error(CorruptData(file, end, "a record is damaged"))
            if _has_later_sync_mark(data, end, sequence, sync_mark):
                return Error(CorruptData(file, end, "a record that was synced is damaged"))
            break
        frames.append(frame)
        sequence += 1
        end = frame.end
    return Ok(ValidFrames(tuple(frames), end))


def _has_later_sync_mark(data: bytes, start: int, sequence: int, sync_mark: bytes) -> bool:
    position = data.find(_THREE_ITEM_ARRAY, start)
    while position >= 0:
        frame = read_frame(data, position)
        if frame is not None and frame.sequence >= sequence and frame.payload == sync_mark:
            return True
        # No other frame can start inside a valid frame.
        after = position + 1 if frame is None else frame.end
        position = data.find(_THREE_ITEM_ARRAY, after)
    return False
