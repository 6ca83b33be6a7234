"""Keep the incarnation of a process in its data folder, so that its next run has a higher one.

The wall clock may be set back between two starts, and the voters may not be reachable at a start or
may have forgotten the former run. Processes without a data folder depend on the voters and on the
clock.
"""

import os
from pathlib import Path

from bendwind_core.core import MAX_BORN_MS, read_whole_number
from bendwind_core.timeline import EventKind, Recorder

FILE_NAME = "incarnation"
_TEMPORARY_NAME = "incarnation.new"
_MAX_FILE_BYTES = 64
_FILE_MODE = 0o600


def read_incarnation(folder: str | None, recorder: Recorder) -> int:
    """Return the incarnation of the former run, 0 if none is kept."""
    if folder is None:
        return 0
    try:
        with Path(folder, FILE_NAME).open("rb") as opened:
            text = opened.read(_MAX_FILE_BYTES).decode("latin-1").strip()
    except FileNotFoundError:
        return 0
    except OSError as error:
        _record_failure(recorder, "unreadable", error.strerror or type(error).__name__)
        return 0
    kept = read_whole_number(text, MAX_BORN_MS)
    if kept is None:
        _record_failure(recorder, "unreadable", "it holds no number")
        return 0
    return kept


def write_incarnation(folder: str | None, incarnation: int, recorder: Recorder) -> None:
    """Make the incarnation of this run durable; the folder has to exist.

    A run whose disk fails or is full starts all the same, and the next one has to do without.
    """
    if folder is None:
        return
    try:
        _write_atomically(Path(folder), b"%d\n" % incarnation)
    except OSError as error:
        _record_failure(recorder, "not kept", error.strerror or type(error).__name__)


def _record_failure(recorder: Recorder, what: str, reason: str) -> None:
    recorder.record(EventKind.INCARNATION_NOT_KEPT, detail=f"{what}: {reason}")


def _write_atomically(folder: Path, data: bytes) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
    descriptor = os.open(folder / _TEMPORARY_NAME, flags, _FILE_MODE)
    try:
        os.write(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(folder / _TEMPORARY_NAME, folder / FILE_NAME)
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
