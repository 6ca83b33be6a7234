"""Define the records that the log's segment files hold."""

import cbor2
import msgspec

from bendwind_core.consensus import Entry, HardState, Snapshot
from bendwind_core.core import Record


class Identity(Record, frozen=True, array_like=True, tag="identity"):
    """Hold the disk's voter id; `is_formed` tells that a log was written beside it."""

    voter_id: int
    is_formed: bool


class SegmentHead(Record, frozen=True, array_like=True, tag="head"):
    """Start a segment with the hard state, so that older segments can go."""

    hard_state: HardState


class HardStateWritten(Record, frozen=True, array_like=True, tag="hard-state"):
    """Change the hard state."""

    hard_state: HardState


class EntryWritten(Record, frozen=True, array_like=True, tag="entry"):
    """Add the next entry."""

    entry: Entry


class Truncated(Record, frozen=True, array_like=True, tag="truncate"):
    """Drop the entries from an index on."""

    start: int


class ResetTo(Record, frozen=True, array_like=True, tag="reset"):
    """Drop all entries, because a snapshot as of this index took their place."""

    index: int


class Synced(Record, frozen=True, array_like=True, tag="synced"):
    """Mark that every record before was synced; the mark itself need not be.

    A damaged record before a mark is then told from a torn tail.
    """


class SnapshotFile(Record, frozen=True, array_like=True, tag="snapshot"):
    """Hold a snapshot; one that was installed voids the log until a ResetTo of its index."""

    snapshot: Snapshot
    is_installed: bool


StoredRecord = (
    Identity
    | SegmentHead
    | HardStateWritten
    | EntryWritten
    | Truncated
    | ResetTo
    | Synced
    | SnapshotFile
)


def encode_record(record: StoredRecord) -> bytes:
    """Encode a record as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(record, builtin_types=(bytes,)))


def decode_record(data: bytes) -> StoredRecord:
    """Decode a record whose checksum was right.

    Errors: raises msgspec.ValidationError or cbor2.CBORError.
    """
    return msgspec.convert(cbor2.loads(data), StoredRecord)


SYNCED_MARK = encode_record(Synced())
