"""Define the types that every other subpackage depends on."""

from bendwind_core.core.record import Record
from bendwind_core.core.toml_error import TomlError, decode_toml
from bendwind_core.core.units import MILLISECONDS_PER_SECOND, Milliseconds, Seconds

__all__ = [
    "MILLISECONDS_PER_SECOND",
    "Milliseconds",
    "Record",
    "Seconds",
    "TomlError",
    "decode_toml",
]
