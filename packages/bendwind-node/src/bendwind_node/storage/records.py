"""Define the records in the files of a voter."""

import cbor2
import msgspec
from expression import Error, Ok, Result

from bendwind_core.consensus import Entry, HardState, Snapshot
from bendwind_core.core import DECODE_ERRORS, Count, Record, decode_cbor


class Identity(Record, frozen=True, array_like=True, tag="identity"):
    """Hold the voter id of the disk.

    `is_formed` means that a log exists beside this file; it is set before the first log write.
    `is_first_starter` means that no cluster existed when the disk was created.
    """

    voter_id: Count
    is_formed: bool
    is_first_starter: bool = False


class SegmentHead(Record, frozen=True, array_like=True, tag="head"):
    """Start a segment with the current hard state, so that older segments can be removed."""

    hard_state: HardState


class HardStateWritten(Record, frozen=True, array_like=True, tag="hard-state"):
    """Replace the hard state."""

    hard_state: HardState


class EntryWritten(Record, frozen=True, array_like=True, tag="entry"):
    """Append the next entry."""

    entry: Entry


class Truncated(Record, frozen=True, array_like=True, tag="truncate"):
    """Remove all entries from an index on."""

    start: Count


class ResetTo(Record, frozen=True, array_like=True, tag="reset"):
    """Remove all entries, because an installed snapshot as of this index replaces them."""

    index: Count


class Synced(Record, frozen=True, array_like=True, tag="synced"):
    """Mark that all earlier records were synced; the mark itself may be unsynced.

    The mark distinguishes damage to a synced record from a torn tail of unsynced writes.
    """


class SnapshotFile(Record, frozen=True, array_like=True, tag="snapshot"):
    """Hold a snapshot.

    An installed snapshot supersedes the log until the log contains a ResetTo of its index.
    """

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


def decode_record(data: bytes) -> Result[StoredRecord, str]:
    """Decode a record whose checksum is correct.

    Errors: a text that describes what is wrong with the data.
    """
    return decode_cbor(data).bind(_convert_record)


def _convert_record(value: object) -> Result[StoredRecord, str]:
    try:
        return Ok(msgspec.convert(value, StoredRecord))
    except DECODE_ERRORS as error:
        return Error(str(error))


SYNCED_MARK = encode_record(Synced())
