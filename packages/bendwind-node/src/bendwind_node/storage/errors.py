"""Define how the store can fail."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class CorruptData:
    """Tell that a file does not hold what was synced to it."""

    file: str
    offset: int
    reason: str


@dataclass(slots=True, frozen=True)
class DiskFailed:
    """Tell that an operation on a file failed, as on a full disk."""

    operation: str
    reason: str


StoreError = CorruptData | DiskFailed
