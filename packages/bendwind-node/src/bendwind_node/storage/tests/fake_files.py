"""Keep files in memory, lose what was not synced at a crash, and fail at a chosen operation."""

import random


class CrashError(Exception):
    """End the process in the middle of a file operation."""


class _File:
    __slots__ = ("data", "synced")

    def __init__(self):
        self.data = b""
        self.synced = b""


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
            file.data += data[: self.rng.randrange(len(data) + 1)]
            raise
        file.data += data

    def sync(self, name: str) -> None:
        self._spend()
        file = self.present[name]
        file.synced = file.data

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
        """Lose the names and a random tail of the data that were not synced."""
        self.budget = None
        if self.rng.random() < 0.5:
            self.present = dict(self.durable)
        for file in self.present.values():
            kept = self.rng.randint(len(file.synced), len(file.data))
            file.data = file.data[:kept]
            file.synced = file.data
        self.durable = dict(self.present)
