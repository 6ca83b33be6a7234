"""Durable store of a control voter."""

from bendwind_node.storage.errors import CorruptData, DiskFailed, StoreError
from bendwind_node.storage.files import DiskFiles, Files, open_folder
from bendwind_node.storage.replay import RecoveredState
from bendwind_node.storage.store import OpenedStore, Store, open_store

__all__ = [
    "CorruptData",
    "DiskFailed",
    "DiskFiles",
    "Files",
    "OpenedStore",
    "RecoveredState",
    "Store",
    "StoreError",
    "open_folder",
    "open_store",
]
