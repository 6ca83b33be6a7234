"""Put the file operations of the store behind one seam, so that tests can make them fail."""

import fcntl
import os
from pathlib import Path
from typing import Protocol

_LOCK_NAME = "lock"
_FILE_MODE = 0o600


class Files(Protocol):
    """Name the operations on the files of one folder; each raises OSError when it fails."""

    def names(self) -> list[str]:
        """List the files."""

    def read(self, name: str) -> bytes:
        """Read a whole file."""

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is made when missing; nothing is synced."""

    def sync(self, name: str) -> None:
        """Make a file's data durable."""

    def replace(self, old: str, new: str) -> None:
        """Rename a file over another atomically; durable after sync_folder."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Make the names in the folder durable."""

    def close(self) -> None:
        """Release every handle."""


class DiskFiles:
    """Carry the operations out on a real folder, which one process at a time may own."""

    __slots__ = ("folder", "handles", "lock")

    def __init__(self, folder: Path, lock: int):
        self.folder = folder
        self.lock = lock
        self.handles: dict[str, int] = {}

    def names(self) -> list[str]:
        """List the files."""
        return [name for name in os.listdir(self.folder) if name != _LOCK_NAME]

    def read(self, name: str) -> bytes:
        """Read a whole file."""
        return (self.folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Write at the end of a file, which is made when missing."""
        rest = memoryview(data)
        while rest:
            written = os.write(self._handle(name), rest)
            rest = rest[written:]

    def sync(self, name: str) -> None:
        """Make a file's data durable."""
        os.fsync(self._handle(name))

    def replace(self, old: str, new: str) -> None:
        """Rename a file over another atomically."""
        self._release(old)
        self._release(new)
        os.replace(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._release(name)
        os.remove(self.folder / name)

    def sync_folder(self) -> None:
        """Make the names in the folder durable."""
        _sync_folder(self.folder)

    def close(self) -> None:
        """Release every handle and the folder."""
        for name in list(self.handles):
            self._release(name)
        os.close(self.lock)

    def _handle(self, name: str) -> int:
        if name not in self.handles:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self.handles[name] = os.open(self.folder / name, flags, _FILE_MODE)
        return self.handles[name]

    def _release(self, name: str) -> None:
        handle = self.handles.pop(name, None)
        if handle is not None:
            os.close(handle)


def _sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def open_folder(folder: Path) -> DiskFiles:
    """Make the folder when it is missing, and lock it against a second process.

    Errors: raises OSError when the folder cannot be made or another process holds it.
    """
    if not folder.is_dir():
        folder.mkdir(parents=True)
        _sync_folder(folder.parent)
    lock = os.open(folder / _LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, _FILE_MODE)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(lock)
        raise
    return DiskFiles(folder, lock)
