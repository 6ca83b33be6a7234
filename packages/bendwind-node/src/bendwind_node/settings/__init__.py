"""Provide the validated settings of bendwindd."""

from bendwind_node.settings.load import SettingsError, load_settings, parse_settings
from bendwind_node.settings.tables import OperatorsTable, Settings, TlsTable, VoterTable

__all__ = [
    "OperatorsTable",
    "Settings",
    "SettingsError",
    "TlsTable",
    "VoterTable",
    "load_settings",
    "parse_settings",
]
