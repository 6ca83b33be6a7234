"""Offer the durable store of a control voter."""

from bendwind_node.storage.errors import CorruptData, DiskFailed, StoreError
from bendwind_node.storage.files import DiskFiles, Files, open_folder
from bendwind_node.storage.replay import Recovered
from bendwind_node.storage.store import Opened, Store, open_store

__all__ = [
    "CorruptData",
    "DiskFailed",
    "DiskFiles",
    "Files",
    "Opened",
    "Recovered",
    "Store",
    "StoreError",
    "open_folder",
    "open_store",
]
