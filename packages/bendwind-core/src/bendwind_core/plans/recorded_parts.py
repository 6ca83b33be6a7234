"""Divide reported runs into commands that the control log can hold."""

import msgspec

from bendwind_core.plans.commands import RecordRuns, encode_command
from bendwind_core.runs import RunRecord, find_record_fault


class RecordedPart(msgspec.Struct, frozen=True):
    """Hold records that share a command, and the encoded command."""

    records: tuple[RunRecord, ...]
    command: bytes


class DividedRecords(msgspec.Struct):
    """Hold the commands of a set of records, and why no command can hold some of them."""

    parts: list[RecordedPart] = msgspec.field(default_factory=list)
    refused: dict[RunRecord, str] = msgspec.field(default_factory=dict)


def divide_records(records: tuple[RunRecord, ...], now_ms: int) -> DividedRecords:
    """Return commands that hold all records that the log can hold, in the order of the records.

    Units: `now_ms` is the wall clock in milliseconds since 1970.
    """
    divided = DividedRecords()
    recordable: list[RunRecord] = []
    for record in records:
        fault = find_record_fault(record)
        if fault is None:
            recordable.append(record)
        else:
            divided.refused[record] = fault
    _divide(divided, tuple(recordable), now_ms)
    return divided


def _divide(divided: DividedRecords, records: tuple[RunRecord, ...], now_ms: int) -> None:
    if not records:
        return
    encoded = encode_command(RecordRuns(now_ms, records))
    if encoded.is_ok():
        divided.parts.append(RecordedPart(records, encoded.ok))
    elif len(records) == 1:
        divided.refused[records[0]] = str(encoded.error)
    else:
        half = len(records) // 2
        _divide(divided, records[:half], now_ms)
        _divide(divided, records[half:], now_ms)
