"""Compute digests of sets of records that two processes can compare."""

import hashlib

import cbor2
import msgspec

from bendwind_core.core import Record

_DIGEST_BYTES = 8
_ENCODER = msgspec.msgpack.Encoder()


def digest_record(record: Record) -> int:
    """Return the digest of a record, which is equal for equal records in every process.

    The digest of a set is the XOR of its records' digests.

    >>> from bendwind_core.world import DataCentre
    >>> digest_record(DataCentre("a")) == digest_record(DataCentre("a"))
    True
    """
    return int.from_bytes(hashlib.blake2b(_encode(record), digest_size=_DIGEST_BYTES).digest())


def _encode(record: Record) -> bytes:
    try:
        return _ENCODER.encode(record)
    except OverflowError:
        # Messages between processes hold integers of any size, which this encoder does not.
        return cbor2.dumps(msgspec.to_builtins(record, builtin_types=(bytes,)))


def digest_text(text: str) -> int:
    """Return the digest of a text, which is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest())
