"""Keep a small file that tells the next start how a process ended.

The file is written at the start, removed at a planned stop, and names the fault if one ended the
process. A process that was killed or lost its power leaves the file of its start.
"""

import os
import threading
from collections.abc import Callable
from pathlib import Path

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.timeline import EventKind, Recorder

MARKER_NAME = "run-state"
MAX_MARKER_BYTES = 4096
# A process that ends waits no longer than this for a disk that hangs.
WRITE_TIMEOUT: Seconds = 0.5
_FILE_MODE = 0o600
_RUNNING = b"running\n"
_FAILED = b"failed "


class RunMarker(msgspec.Struct):
    """Hold the file in a process's data folder, None if it keeps no data.

    `is_begun` is set once the process holds its folder; before that, the file may be another's.
    """

    file: Path | None
    is_begun: bool = False

    def begin(self, recorder: Recorder) -> None:
        """Record how the former run ended, and mark this one as running."""
        if self.file is None:
            return
        self.is_begun = True
        _record_previous(recorder, self.file)
        try:
            _write(self.file, _RUNNING)
        except OSError as error:
            recorder.record(EventKind.RUN_NOT_MARKED, detail=_describe(error))

    def end_planned(self, recorder: Recorder) -> None:
        """Mark the planned end of this run."""
        if not self.is_begun:
            return
        self.is_begun = False
        fault = _run_briefly(self.file.unlink)
        if fault is not None:
            recorder.record(EventKind.RUN_NOT_MARKED, detail=fault)

    def end_failed(self, detail: str) -> str | None:
        """Mark that a fault ended this run; return why it could not be marked, None if it was."""
        if not self.is_begun:
            return None
        self.is_begun = False
        data = (_FAILED + detail.encode(errors="replace"))[:MAX_MARKER_BYTES]
        return _run_briefly(lambda: _write(self.file, data))


def _describe(error: OSError) -> str:
    return error.strerror or type(error).__name__


def _record_previous(recorder: Recorder, file: Path) -> None:
    try:
        with file.open("rb") as opened:
            data = opened.read(MAX_MARKER_BYTES)
    except FileNotFoundError:
        return
    except OSError as error:
        detail = f"its marker is unreadable: {_describe(error)}"
        recorder.record(EventKind.PREVIOUS_RUN_UNFINISHED, detail=detail)
        return
    if data.startswith(_FAILED):
        detail = data.removeprefix(_FAILED).decode(errors="replace")
        recorder.record(EventKind.PREVIOUS_RUN_FAILED, detail=detail)
    else:
        recorder.record(EventKind.PREVIOUS_RUN_UNFINISHED)


def _write(file: Path, data: bytes) -> None:
    # Written in place: a rename would need a second name, and a torn marker reads as unfinished.
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
    descriptor = os.open(file, flags, _FILE_MODE)
    try:
        os.write(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    _sync_folder(file.parent)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _run_briefly(action: Callable[[], None]) -> str | None:
    """Run a file operation, and leave it behind if the disk hangs.

    Return why it failed, None if it did not.
    """
    faults: list[str] = []

    def run() -> None:
        try:
            action()
        except OSError as error:
            faults.append(_describe(error))

    thread = threading.Thread(target=run, name="run marker", daemon=True)
    try:
        thread.start()
    except (RuntimeError, MemoryError) as error:
        return f"no thread: {type(error).__name__}"
    thread.join(WRITE_TIMEOUT)
    if thread.is_alive():
        return f"the disk took more than {WRITE_TIMEOUT} s"
    return faults[0] if faults else None


def create_run_marker(data_folder: str | None) -> RunMarker:
    """Return the marker of a process with this data folder."""
    return RunMarker(None if data_folder is None else Path(data_folder, MARKER_NAME))
