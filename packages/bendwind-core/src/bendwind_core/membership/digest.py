"""Compute digests of sets of records that two processes can compare."""

import hashlib

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
    hashed = hashlib.blake2b(_ENCODER.encode(record), digest_size=_DIGEST_BYTES)
    return int.from_bytes(hashed.digest())


def digest_text(text: str) -> int:
    """Return the digest of a text, which is the same in every process."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest())
