"""Describe a run of an upstream as the control log keeps it, and order what is reported of it."""

import msgspec
from msgspec.structs import replace

from bendwind_core.core import Record, SequenceNumber, Storable
from bendwind_core.world import UpstreamState

# Names and services have up to a few hundred bytes. All that an instance may report at a time fits
# into one message.
MAX_RECORD_BYTES = 16_384
_ORDER = {UpstreamState.READY: 0, UpstreamState.DRAINING: 1, UpstreamState.GONE: 2}


class RunRecord(Record, frozen=True, array_like=True):
    """Hold what the newest run of an upstream has announced to the node of its instance.

    `service` is empty if the run was never registered there. `sequence` is that of the announcement
    that named `state`, 0 if announcements are not numbered. GONE is final for the run. `is_unnamed`
    says that the departure named no run: a later one than `born_ms` may have left, unheard.
    Units: `born_ms` is when the run started, in milliseconds since 1970 on the upstream's own
    clock, 0 if it does not report it.
    """

    instance: str
    name: str
    service: str = ""
    born_ms: Storable = 0
    sequence: SequenceNumber = 0
    state: UpstreamState = UpstreamState.READY
    is_unnamed: bool = False


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(RunRecord)


def find_record_fault(record: RunRecord) -> str | None:
    """Return why no entry of the control log can hold a record, or None if one can."""
    try:
        encoded = _ENCODER.encode(record)
        _DECODER.decode(encoded)
    except (msgspec.MsgspecError, OverflowError, ValueError, TypeError) as error:
        return str(error)
    size = len(encoded)
    return f"{size} bytes of {MAX_RECORD_BYTES}" if size > MAX_RECORD_BYTES else None


def is_newer(stated: RunRecord, held: RunRecord) -> bool:
    """Return whether a record replaces the one that is held of the same upstream.

    The result of any number of records does not depend on the order in which they arrive.
    """
    return _rank(stated) > _rank(held)


def _rank(record: RunRecord) -> tuple[int, bool, bool, int, int, str]:
    is_gone = record.state is UpstreamState.GONE
    return (
        record.born_ms,
        is_gone,
        record.is_unnamed,
        record.sequence,
        _ORDER[record.state],
        record.service,
    )


def name_departed_run(stated: RunRecord, held: RunRecord) -> RunRecord:
    """Return a departure with the run that it ends: one that names none ends the run held."""
    if stated.state is UpstreamState.GONE and not stated.born_ms:
        return replace(stated, born_ms=held.born_ms, service=stated.service or held.service)
    return stated


def is_overtaken(record: RunRecord, born_ms: int, sequence: int) -> bool:
    """Return whether an announcement is older than what is held of its upstream.

    One without a number (0) is ordered by its run only, and without a start of its run (0) not
    ordered at all.
    """
    if not born_ms and not sequence:
        return False
    if born_ms and born_ms != record.born_ms:
        return born_ms < record.born_ms
    if record.state is UpstreamState.GONE:
        return True
    is_numbered = sequence != 0 and record.sequence != 0
    return is_numbered and sequence <= record.sequence
