"""Rebuild the log from the records of its segments."""

from dataclasses import dataclass, field

import cbor2
import msgspec
from expression import Error, Ok, Result

from bendwind_core.consensus import EMPTY_SNAPSHOT, Entry, HardState, Snapshot
from bendwind_node.storage.errors import CorruptData
from bendwind_node.storage.frames import Frame
from bendwind_node.storage.records import (
    EntryWritten,
    HardStateWritten,
    ResetTo,
    SegmentHead,
    Synced,
    Truncated,
    decode_record,
)


@dataclass(slots=True)
class Recovered:
    """Hold what the disk knows of the log; `cut_bytes` counts a torn tail that was dropped."""

    hard_state: HardState = HardState()
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: list[Entry] = field(default_factory=list)
    cut_bytes: int = 0
    is_log_void: bool = False


def replay_frame(recovered: Recovered, file: str, frame: Frame) -> Result[int, CorruptData]:
    """Apply one record; return the index of the entry it holds, or 0.

    Errors: CorruptData when the record does not follow from those before it.
    """
    try:
        record = decode_record(frame.payload)
    except (cbor2.CBORError, msgspec.ValidationError) as error:
        return Error(CorruptData(file, frame.end, f"undecodable record: {error}"))
    match record:
        case SegmentHead(hard_state=hard_state) | HardStateWritten(hard_state=hard_state):
            recovered.hard_state = hard_state
        case Truncated(start=start):
            recovered.entries = [entry for entry in recovered.entries if entry.index < start]
        case ResetTo():
            recovered.entries.clear()
        case Synced():
            pass
        case EntryWritten(entry=entry):
            if recovered.entries and entry.index != recovered.entries[-1].index + 1:
                return Error(CorruptData(file, frame.end, f"entry {entry.index} out of order"))
            recovered.entries.append(entry)
            return Ok(entry.index)
        case _:
            return Error(CorruptData(file, frame.end, "a record of another file"))
    return Ok(0)


def align_with_snapshot(recovered: Recovered) -> Result[None, CorruptData]:
    """Drop a log that an installed snapshot voided; refuse a gap between snapshot and log."""
    snapshot = recovered.snapshot
    if not recovered.entries:
        return Ok(None)
    if recovered.entries[0].index > snapshot.index + 1:
        first = recovered.entries[0].index
        reason = f"entries start at {first}, the snapshot ends at {snapshot.index}"
        return Error(CorruptData("log", 0, reason))
    at_snapshot = [entry for entry in recovered.entries if entry.index == snapshot.index]
    is_joined = recovered.entries[0].index == snapshot.index + 1
    is_same = bool(at_snapshot) and at_snapshot[0].term == snapshot.term
    if not is_joined and not is_same:
        recovered.entries.clear()
        recovered.is_log_void = True
    return Ok(None)
