"""Rebuild the log from the records in its segment files."""

from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from bendwind_core.consensus import EMPTY_SNAPSHOT, Entry, HardState, Snapshot
from bendwind_node.storage.errors import CorruptData
from bendwind_node.storage.frames import Frame, read_frame
from bendwind_node.storage.records import (
    EntryWritten,
    HardStateWritten,
    ResetTo,
    SegmentHead,
    Synced,
    Truncated,
    decode_record,
)

_Kind = TypeVar("_Kind")


class RecoveredState(msgspec.Struct):
    """Hold the state that was read from disk.

    `cut_bytes` is the size of the torn tail that was discarded. `reset_index` is the index of the
    last ResetTo record, or 0. `is_log_superseded` means that the log was replaced by an installed
    snapshot whose ResetTo record is still missing.
    """

    hard_state: HardState = HardState()
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: list[Entry] = msgspec.field(default_factory=list)
    cut_bytes: int = 0
    is_snapshot_installed: bool = False
    reset_index: int = 0
    is_log_superseded: bool = False


def read_only_record(file: str, data: bytes, kind: type[_Kind]) -> Result[_Kind, CorruptData]:
    """Read the record of a file that holds a single one of this kind.

    Errors: CorruptData for anything else.
    """
    frame = read_frame(data, 0)
    if frame is None:
        return Error(CorruptData(file, 0, "damaged"))
    decoded = decode_record(frame.payload)
    if decoded.is_error():
        return Error(CorruptData(file, frame.end, f"undecodable record: {decoded.error}"))
    if not isinstance(decoded.ok, kind):
        return Error(CorruptData(file, frame.end, "record type does not belong in this file"))
    return Ok(decoded.ok)


def replay_frame(recovered: RecoveredState, file: str, frame: Frame) -> Result[int, CorruptData]:
    """Apply one record, and return the index of its entry, or 0 if it holds none.

    Errors: CorruptData if the record cannot follow the records before it.
    """
    decoded = decode_record(frame.payload)
    if decoded.is_error():
        return Error(CorruptData(file, frame.end, f"undecodable record: {decoded.error}"))
    match decoded.ok:
        case SegmentHead(hard_state=hard_state) | HardStateWritten(hard_state=hard_state):
            recovered.hard_state = hard_state
        case Truncated(start=start):
            recovered.entries = [entry for entry in recovered.entries if entry.index < start]
        case ResetTo(index=index):
            recovered.entries.clear()
            recovered.reset_index = index
        case Synced():
            pass
        case EntryWritten(entry=entry):
            if recovered.entries and entry.index != recovered.entries[-1].index + 1:
                return Error(CorruptData(file, frame.end, f"entry {entry.index} out of order"))
            recovered.entries.append(entry)
            return Ok(entry.index)
        case _:
            return Error(
                CorruptData(file, frame.end, "record type does not belong in a log segment")
            )
    return Ok(0)


def align_with_snapshot(recovered: RecoveredState) -> Result[None, CorruptData]:
    """Clear a log that an installed snapshot supersedes.

    Errors: CorruptData if any other log does not match the snapshot.
    """
    snapshot = recovered.snapshot
    if recovered.is_snapshot_installed and recovered.reset_index != snapshot.index:
        recovered.entries.clear()
        recovered.is_log_superseded = True
        return Ok(None)
    if not recovered.entries:
        return Ok(None)
    first = recovered.entries[0].index
    last = recovered.entries[-1].index
    if not first <= snapshot.index + 1 <= last + 1:
        reason = (
            f"entries {first} to {last} are not contiguous with the snapshot at {snapshot.index}"
        )
        return Error(CorruptData("log", 0, reason))
    if first <= snapshot.index and recovered.entries[snapshot.index - first].term != snapshot.term:
        reason = f"entry {snapshot.index} does not have the term of the snapshot"
        return Error(CorruptData("log", 0, reason))
    return Ok(None)
