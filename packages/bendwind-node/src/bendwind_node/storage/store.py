"""Store a voter's log, votes, snapshot and id on disk, synced before they are acknowledged.

Segment files contain frames in order; frames are appended to the newest segment. Snapshot and
identity files are written to a temporary file, which is synced and renamed, and then the folder is
synced. After a failed operation the store writes nothing more, because it is unknown which data a
failed sync has made durable.
"""

import secrets
from collections.abc import Sequence

import msgspec
from expression import Error, Ok, Result

from bendwind_core.consensus import HardState, Persist, SaveSnapshot
from bendwind_core.core import read_whole_number
from bendwind_node.storage.errors import CorruptData, DiskFailed, StoreError
from bendwind_node.storage.files import Files
from bendwind_node.storage.frames import ValidFrames, encode_frame, read_frames
from bendwind_node.storage.records import (
    SYNCED_MARK,
    EntryWritten,
    HardStateWritten,
    Identity,
    ResetTo,
    SegmentHead,
    SnapshotFile,
    StoredRecord,
    Synced,
    Truncated,
    encode_record,
)
from bendwind_node.storage.replay import (
    RecoveredState,
    align_with_snapshot,
    read_only_record,
    replay_frame,
)

SEGMENT_BYTES = 256 * 1024
VOTER_ID_BITS = 63
_IDENTITY = "identity"
_SEGMENT_PREFIX = "log-"
_SNAPSHOT_PREFIX = "snapshot-"
_TEMPORARY = "new"


class Segment(msgspec.Struct):
    """Describe a segment file.

    `last_index` is the index of the last entry that it contains, or 0.
    Units: bytes for `size`.
    """

    name: str
    last_index: int = 0
    size: int = 0


class Store(msgspec.Struct):
    """Write the files of one voter."""

    files: Files
    identity: Identity
    segment_bytes: int
    hard_state: HardState = HardState()
    segments: list[Segment] = msgspec.field(default_factory=list)
    sequence: int = 0
    snapshot_name: str | None = None
    failure: DiskFailed | None = None

    def write(self, batch: Sequence[Persist | SaveSnapshot]) -> Result[int, DiskFailed]:
        """Write a batch in order, sync once, and return the last token.

        Errors: DiskFailed, also for every later call.
        """
        if self.failure is not None:
            return Error(self.failure)
        try:
            for request in batch:
                self._write_request(request)
            self.files.sync(self.segments[-1].name)
            self._append_records([Synced()])
        except OSError as error:
            self.failure = DiskFailed("write", str(error))
            return Error(self.failure)
        return Ok(batch[-1].token)

    def _write_request(self, request: Persist | SaveSnapshot) -> None:
        match request:
            case Persist():
                self._persist(request)
            case SaveSnapshot():
                self._save_snapshot(request)

    def _persist(self, request: Persist) -> None:
        if not self.identity.is_formed:
            self._mark_formed()
        if self.segments[-1].size >= self.segment_bytes:
            self.files.sync(self.segments[-1].name)
            self._start_segment()
        records: list[StoredRecord] = []
        if request.hard_state != self.hard_state:
            self.hard_state = request.hard_state
            records.append(HardStateWritten(request.hard_state))
        if request.truncate_from is not None:
            records.append(Truncated(request.truncate_from))
        records += [EntryWritten(entry) for entry in request.entries]
        self._append_records(records)
        if request.entries:
            segment = self.segments[-1]
            segment.last_index = max(segment.last_index, request.entries[-1].index)

    def _mark_formed(self) -> None:
        self.identity = Identity(self.identity.voter_id, is_formed=True)
        write_file_atomically(self.files, _IDENTITY, encode_frame(0, encode_record(self.identity)))

    def _append_records(self, records: list[StoredRecord]) -> None:
        data = bytearray()
        for record in records:
            data += encode_frame(self.sequence, encode_record(record))
            self.sequence += 1
        segment = self.segments[-1]
        self.files.append(segment.name, bytes(data))
        segment.size += len(data)

    def _start_segment(self) -> None:
        self.segments.append(Segment(_segment_name(self.sequence)))
        self._append_records([SegmentHead(self.hard_state)])
        self.files.sync(self.segments[-1].name)
        self.files.sync_folder()

    def _save_snapshot(self, request: SaveSnapshot) -> None:
        # The entries that the snapshot covers must be durable before the snapshot is.
        self.files.sync(self.segments[-1].name)
        name = f"{_SNAPSHOT_PREFIX}{request.snapshot.index:020d}"
        data = encode_frame(
            request.snapshot.index,
            encode_record(SnapshotFile(request.snapshot, request.is_installed)),
        )
        write_file_atomically(self.files, name, data)
        if request.is_installed:
            self._append_records([ResetTo(request.snapshot.index)])
            self.files.sync(self.segments[-1].name)
            for segment in self.segments:
                segment.last_index = 0
        if self.snapshot_name not in (None, name):
            self.files.remove(self.snapshot_name)
        self.snapshot_name = name
        self._remove_segments(request.first_index)

    def _remove_segments(self, first_index: int) -> None:
        while len(self.segments) > 1 and self.segments[0].last_index < first_index:
            self.files.remove(self.segments[0].name)
            # Each removal must be durable before the next. If a later segment disappeared before an
            # earlier one, the log would be read as having a gap.
            self.files.sync_folder()
            del self.segments[0]

    def renew_identity(self) -> Result[int, DiskFailed]:
        """Assign a new voter id to this disk, because the former id may never vote again.

        The log is kept. It stays correct under the new id: a vote that was cast in a term is also
        binding for the new id.
        Errors: DiskFailed, also for every later call.
        """
        if self.failure is not None:
            return Error(self.failure)
        try:
            self.identity = Identity(secrets.randbits(VOTER_ID_BITS), self.identity.is_formed)
            write_file_atomically(
                self.files, _IDENTITY, encode_frame(0, encode_record(self.identity))
            )
        except OSError as error:
            self.failure = DiskFailed("renew identity", str(error))
            return Error(self.failure)
        return Ok(self.identity.voter_id)

    def close(self) -> None:
        """Close the files."""
        self.files.close()


class OpenedStore(msgspec.Struct, frozen=True):
    """Hold an open store and the state that was recovered from disk."""

    store: Store
    recovered: RecoveredState


def open_store(
    files: Files, segment_bytes: int = SEGMENT_BYTES, *, is_first_start: bool = False
) -> Result[OpenedStore, StoreError]:
    """Read all files, discard a torn tail, and make the data that was read durable again.

    With `is_first_start`, a disk that is created keeps in mind that no cluster existed.
    Errors: CorruptData if synced data is damaged or missing, DiskFailed if a file operation fails.
    """
    try:
        return _open(files, segment_bytes, is_first_start=is_first_start)
    except OSError as error:
        return Error(DiskFailed("open", str(error)))


def _open(
    files: Files, segment_bytes: int, *, is_first_start: bool
) -> Result[OpenedStore, StoreError]:
    names = sorted(files.names())
    if _TEMPORARY in names:
        files.remove(_TEMPORARY)
    identity = _read_or_create_identity(files, names, is_first_start=is_first_start)
    if identity.is_error():
        return identity
    store = Store(files, identity.ok, segment_bytes)
    recovered = RecoveredState()
    for step in (_read_snapshot, _read_segments):
        outcome = step(store, names, recovered)
        if outcome.is_error():
            return outcome
    aligned = align_with_snapshot(recovered)
    if aligned.is_error():
        return aligned
    store.hard_state = recovered.hard_state
    if not store.segments:
        store._start_segment()
    if recovered.is_log_superseded:
        store._append_records([ResetTo(recovered.snapshot.index)])
        files.sync(store.segments[-1].name)
    return Ok(OpenedStore(store, recovered))


def _read_or_create_identity(
    files: Files, names: list[str], *, is_first_start: bool
) -> Result[Identity, StoreError]:
    if _IDENTITY not in names:
        if any(name.startswith((_SEGMENT_PREFIX, _SNAPSHOT_PREFIX)) for name in names):
            return Error(CorruptData(_IDENTITY, 0, "missing although a log or snapshot exists"))
        identity = Identity(
            secrets.randbits(VOTER_ID_BITS), is_formed=False, is_first_starter=is_first_start
        )
        write_file_atomically(files, _IDENTITY, encode_frame(0, encode_record(identity)))
        return Ok(identity)
    identity = read_only_record(_IDENTITY, files.read(_IDENTITY), Identity)
    has_log = any(name.startswith(_SEGMENT_PREFIX) for name in names)
    if identity.is_ok() and identity.ok.is_formed and not has_log:
        return Error(CorruptData(_IDENTITY, 0, "a log was formed, but its segments are missing"))
    return identity


def _read_snapshot(
    store: Store, names: list[str], recovered: RecoveredState
) -> Result[None, StoreError]:
    snapshot_names = [name for name in names if name.startswith(_SNAPSHOT_PREFIX)]
    if not snapshot_names:
        return Ok(None)
    store.snapshot_name = snapshot_names[-1]
    record = read_only_record(
        snapshot_names[-1], store.files.read(snapshot_names[-1]), SnapshotFile
    )
    if record.is_error():
        return record
    recovered.snapshot = record.ok.snapshot
    recovered.is_snapshot_installed = record.ok.is_installed
    if snapshot_names[:-1]:
        # The process that renamed the newest snapshot may have been killed before it synced the
        # folder. Its name must be durable before the older snapshots are removed.
        store.files.sync_folder()
    for name in snapshot_names[:-1]:
        store.files.remove(name)
    return Ok(None)


def _read_segments(
    store: Store, names: list[str], recovered: RecoveredState
) -> Result[None, StoreError]:
    segment_names = [name for name in names if name.startswith(_SEGMENT_PREFIX)]
    if segment_names:
        # A name that is no number differs from that of the segment that is looked for.
        first = segment_names[0].removeprefix(_SEGMENT_PREFIX)
        store.sequence = read_whole_number(first.lstrip("0") or "0") or 0
    for name in segment_names:
        if name != _segment_name(store.sequence):
            return Error(CorruptData(name, 0, f"record {store.sequence} is missing before it"))
        data = store.files.read(name)
        valid_frames = read_frames(
            name, data, store.sequence, SYNCED_MARK, is_last=name == segment_names[-1]
        )
        if valid_frames.is_error():
            return valid_frames
        outcome = _replay_segment(store, name, valid_frames.ok, recovered)
        if outcome.is_error():
            return outcome
    if segment_names:
        recovered.cut_bytes = len(data) - valid_frames.ok.end
        _rewrite_last_segment(store, data[: valid_frames.ok.end], recovered)
    return Ok(None)


def _replay_segment(
    store: Store, name: str, valid_frames: ValidFrames, recovered: RecoveredState
) -> Result[None, StoreError]:
    segment = Segment(name, size=valid_frames.end)
    for frame in valid_frames.frames:
        outcome = replay_frame(recovered, name, frame)
        if outcome.is_error():
            return outcome
        segment.last_index = max(segment.last_index, outcome.ok)
    store.sequence += len(valid_frames.frames)
    store.segments.append(segment)
    return Ok(None)


def _rewrite_last_segment(store: Store, data: bytes, recovered: RecoveredState) -> None:
    """Rewrite the last segment with a sync mark; the data that was read may not be durable yet."""
    if not data:
        empty = store.segments.pop()
        store.files.remove(empty.name)
        store.hard_state = recovered.hard_state
        store._start_segment()
        return
    marked = data + encode_frame(store.sequence, SYNCED_MARK)
    store.sequence += 1
    store.segments[-1].size = len(marked)
    write_file_atomically(store.files, store.segments[-1].name, marked)


def _segment_name(sequence: int) -> str:
    return f"{_SEGMENT_PREFIX}{sequence:020d}"


def write_file_atomically(files: Files, name: str, data: bytes) -> None:
    """Write and sync a temporary file, rename it to its final name, and sync the folder."""
    if _TEMPORARY in files.names():
        files.remove(_TEMPORARY)
    files.append(_TEMPORARY, data)
    files.sync(_TEMPORARY)
    files.replace(_TEMPORARY, name)
    files.sync_folder()
