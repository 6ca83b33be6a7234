"""Sum up sets of records in numbers that two processes can compare."""

import hashlib

import msgspec

from bendwind_core.core import Record

_DIGEST_BYTES = 8
_ENCODER = msgspec.msgpack.Encoder()


def digest_record(record: Record) -> int:
    """Return a number that is equal for equal records in every process.

    The digest of a set is the exclusive or of its records' digests.

    >>> from bendwind_core.world import DataCentre
    >>> digest_record(DataCentre("a")) == digest_record(DataCentre("a"))
    True
    """
    hashed = hashlib.blake2b(_ENCODER.encode(record), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest())


def digest_text(text: str) -> int:
    """Return a number for a text that is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest())
