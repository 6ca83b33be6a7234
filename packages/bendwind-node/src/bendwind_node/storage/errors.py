"""Define how the store can fail."""

import msgspec


class CorruptData(msgspec.Struct, frozen=True):
    """Tell that a file does not hold what was synced to it."""

    file: str
    offset: int
    reason: str


class DiskFailed(msgspec.Struct, frozen=True):
    """Tell that an operation on a file failed, as on a full disk."""

    operation: str
    reason: str


StoreError = CorruptData | DiskFailed
