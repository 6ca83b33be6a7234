"""Keep files in memory, lose unsynced data at a power loss, and fail at a given operation."""

import enum
import random


class CrashError(Exception):
    """Simulate the end of the process during a file operation."""


class WriteOutcome(enum.Enum):
    """Define the possible effects of a power loss on one unsynced write."""

    WRITTEN = enum.auto()
    LOST = enum.auto()
    TORN = enum.auto()


class _File:
    """Hold the data of a file, its synced part, and the offset and data of each later write.

    After a failed sync the data can still be read, but no later sync makes it durable.
    """

    __slots__ = ("data", "has_failed_sync", "synced", "writes")

    def __init__(self):
        self.data = b""
        self.synced = b""
        self.writes = []
        self.has_failed_sync = False

    def append(self, data: bytes) -> None:
        self.writes.append((len(self.data), data))
        self.data += data

    def sync(self) -> None:
        if not self.has_failed_sync:
            self.synced = self.data
            self.writes.clear()

    def rebuild(self, kept_writes) -> None:
        """Rebuild the data from the synced part and the given writes; fill gaps with zeros."""
        data = bytearray(self.synced)
        for offset, written in kept_writes:
            if written:
                data += bytes(max(0, offset - len(data)))
                data[offset : offset + len(written)] = written
        self.data = bytes(data)
        self.has_failed_sync = False
        self.sync()


class FakeFiles:
    """Replace a folder in tests.

    After `operations_left` more operations, the next one raises `failure`; None means no limit.
    """

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.current: dict[str, _File] = {}
        self.durable: dict[str, _File] = {}
        self.operations_left: int | None = None
        self.failure: Exception = CrashError()

    def _count_operation(self) -> None:
        if self.operations_left is None:
            return
        self.operations_left -= 1
        if self.operations_left < 0:
            raise self.failure

    def names(self) -> list[str]:
        return list(self.current)

    def read(self, name: str) -> bytes:
        return self.current[name].data

    def append(self, name: str, data: bytes) -> None:
        file = self.current.setdefault(name, _File())
        try:
            self._count_operation()
        except Exception:
            file.append(data[: self.rng.randrange(len(data) + 1)])
            raise
        file.append(data)

    def sync(self, name: str) -> None:
        try:
            self._count_operation()
        except OSError:
            self.current[name].has_failed_sync = True
            raise
        self.current[name].sync()

    def replace(self, old: str, new: str) -> None:
        self._count_operation()
        self.current[new] = self.current.pop(old)

    def remove(self, name: str) -> None:
        self._count_operation()
        del self.current[name]

    def sync_folder(self) -> None:
        self._count_operation()
        self.durable = dict(self.current)

    def close(self) -> None:
        pass

    def crash(self) -> None:
        """Simulate the end of the process, either alone or by a power loss."""
        self.operations_left = None
        if self.rng.random() < 0.7:
            self.lose_power()

    def lose_power(self) -> None:
        """Keep or lose each unsynced name and each unsynced write independently of the others."""
        self.operations_left = None
        is_all_lost = self.rng.random() < 0.2
        surviving = {}
        for name in sorted({*self.current, *self.durable}):
            versions = (self.durable, self.current)
            file = versions[not is_all_lost and self.rng.random() < 0.5].get(name)
            if file is not None:
                surviving[name] = file
        for file in {id(file): file for file in surviving.values()}.values():
            file.rebuild([] if is_all_lost else self._choose_surviving_writes(file))
        self.current = surviving
        self.durable = dict(surviving)

    def copy_synced(self) -> "FakeFiles":
        """Return a copy of the folder after a power loss that destroys all unsynced data."""
        copied = FakeFiles(random.Random(0))
        for name, file in self.durable.items():
            copied.append(name, file.synced)
            copied.sync(name)
        copied.sync_folder()
        return copied

    def _choose_surviving_writes(self, file: _File):
        for offset, written in file.writes:
            outcome = self.rng.choice(list(WriteOutcome))
            if outcome is WriteOutcome.WRITTEN:
                yield offset, written
            if outcome is WriteOutcome.TORN:
                yield offset, written[: self.rng.randrange(len(written) + 1)]
