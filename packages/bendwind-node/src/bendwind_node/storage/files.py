"""Define the file operations of the store as an interface, so that tests can inject failures."""

import fcntl
import os
from pathlib import Path
from typing import Protocol

_LOCK_NAME = "lock"
_FILE_MODE = 0o600


class Files(Protocol):
    """Define the operations on the files of one folder; each raises OSError on failure."""

    def names(self) -> list[str]:
        """Return the names of the files."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file without syncing it; create the file if it is missing."""

    def sync(self, name: str) -> None:
        """Make the data of a file durable."""

    def replace(self, old: str, new: str) -> None:
        """Rename a file atomically, replacing any existing one; durable after sync_folder."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Make all created, renamed and removed file names durable."""

    def close(self) -> None:
        """Close all files."""


class DiskFiles:
    """Operate on a folder of the file system, which one process at a time may lock."""

    __slots__ = ("descriptors", "folder", "lock")

    def __init__(self, folder: Path, lock: int):
        self.folder = folder
        self.lock = lock
        self.descriptors: dict[str, int] = {}

    def names(self) -> list[str]:
        """Return the names of the files."""
        return [name for name in os.listdir(self.folder) if name != _LOCK_NAME]

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self.folder / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append data to a file; create the file if it is missing."""
        rest = memoryview(data)
        while rest:
            written = os.write(self._find_or_open(name), rest)
            rest = rest[written:]

    def sync(self, name: str) -> None:
        """Make the data of a file durable."""
        os.fsync(self._find_or_open(name))

    def replace(self, old: str, new: str) -> None:
        """Rename a file atomically, replacing any existing one."""
        self._close_file(old)
        self._close_file(new)
        os.replace(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file(name)
        os.remove(self.folder / name)

    def sync_folder(self) -> None:
        """Make all created, renamed and removed file names durable."""
        _sync_folder(self.folder)

    def close(self) -> None:
        """Close all files and unlock the folder."""
        for name in list(self.descriptors):
            self._close_file(name)
        os.close(self.lock)

    def _find_or_open(self, name: str) -> int:
        if name not in self.descriptors:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self.descriptors[name] = os.open(self.folder / name, flags, _FILE_MODE)
        return self.descriptors[name]

    def _close_file(self, name: str) -> None:
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def open_folder(folder: Path) -> DiskFiles:
    """Create the folder if it is missing, and lock it against other processes.

    Errors: raises OSError if the folder cannot be created or another process holds the lock.
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
