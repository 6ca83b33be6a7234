"""Keep files in memory, lose what was not synced with the power, and fail at a chosen operation."""

import enum
import random


class CrashError(Exception):
    """End the process in the middle of a file operation."""


class Fate(enum.Enum):
    """Say what a loss of power does to one write that was not synced."""

    THERE = enum.auto()
    MISSING = enum.auto()
    TORN = enum.auto()


class _File:
    """Hold a file's data, what of it was synced, and where each later write went.

    After a sync that failed the data is still read back, but no later sync makes it durable.
    """

    __slots__ = ("data", "is_dropped", "synced", "writes")

    def __init__(self):
        self.data = b""
        self.synced = b""
        self.writes = []
        self.is_dropped = False

    def append(self, data: bytes) -> None:
        self.writes.append((len(self.data), data))
        self.data += data

    def sync(self) -> None:
        if not self.is_dropped:
            self.synced = self.data
            self.writes.clear()

    def rebuild(self, kept) -> None:
        """Hold what was synced and these later writes; nothing but zeros is between them."""
        data = bytearray(self.synced)
        for offset, written in kept:
            if written:
                data += bytes(max(0, offset - len(data)))
                data[offset : offset + len(written)] = written
        self.data = bytes(data)
        self.is_dropped = False
        self.sync()


class FakeFiles:
    """Stand in for a folder; `budget` operations succeed, the next one raises `failure`."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.present: dict[str, _File] = {}
        self.durable: dict[str, _File] = {}
        self.budget: int | None = None
        self.failure: Exception = CrashError()

    def _spend(self) -> None:
        if self.budget is None:
            return
        self.budget -= 1
        if self.budget < 0:
            raise self.failure

    def names(self) -> list[str]:
        return list(self.present)

    def read(self, name: str) -> bytes:
        return self.present[name].data

    def append(self, name: str, data: bytes) -> None:
        file = self.present.setdefault(name, _File())
        try:
            self._spend()
        except Exception:
            file.append(data[: self.rng.randrange(len(data) + 1)])
            raise
        file.append(data)

    def sync(self, name: str) -> None:
        try:
            self._spend()
        except OSError:
            self.present[name].is_dropped = True
            raise
        self.present[name].sync()

    def replace(self, old: str, new: str) -> None:
        self._spend()
        self.present[new] = self.present.pop(old)

    def remove(self, name: str) -> None:
        self._spend()
        del self.present[name]

    def sync_folder(self) -> None:
        self._spend()
        self.durable = dict(self.present)

    def close(self) -> None:
        pass

    def crash(self) -> None:
        """End the process: alone, or because the power was lost."""
        self.budget = None
        if self.rng.random() < 0.7:
            self.lose_power()

    def lose_power(self) -> None:
        """Keep or lose each name and each write that was not synced, whatever comes of others."""
        self.budget = None
        is_all_gone = self.rng.random() < 0.2
        chosen = {}
        for name in sorted({*self.present, *self.durable}):
            sides = (self.durable, self.present)
            file = sides[not is_all_gone and self.rng.random() < 0.5].get(name)
            if file is not None:
                chosen[name] = file
        for file in {id(file): file for file in chosen.values()}.values():
            file.rebuild([] if is_all_gone else self._choose_writes(file))
        self.present = chosen
        self.durable = dict(chosen)

    def copy_synced(self) -> "FakeFiles":
        """Return the folder as a loss of power leaves it that takes all that was not synced."""
        left = FakeFiles(random.Random(0))
        for name, file in self.durable.items():
            left.append(name, file.synced)
            left.sync(name)
        left.sync_folder()
        return left

    def _choose_writes(self, file: _File):
        for offset, written in file.writes:
            fate = self.rng.choice(list(Fate))
            if fate is Fate.THERE:
                yield offset, written
            if fate is Fate.TORN:
                yield offset, written[: self.rng.randrange(len(written) + 1)]
