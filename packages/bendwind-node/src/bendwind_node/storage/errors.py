"""Define the errors of the store."""

import msgspec


class CorruptData(msgspec.Struct, frozen=True):
    """Report that a file does not contain the data that was synced to it."""

    file: str
    offset: int
    reason: str


class DiskFailed(msgspec.Struct, frozen=True):
    """Report that a file operation failed, for example because the disk is full."""

    operation: str
    reason: str


StoreError = CorruptData | DiskFailed
