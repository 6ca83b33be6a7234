"""Read and validate a settings file before any socket opens."""

from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from bendwind_core.core import TomlError, decode_toml
from bendwind_node.settings.checks import find_conflict
from bendwind_node.settings.tables import Settings

SettingsError = TomlError
_PATH_KEYS = (
    ("control", "data_folder"),
    ("operators", "token_file"),
    ("operators", "client_authority"),
    ("tls", "authority"),
    ("tls", "certificate"),
    ("tls", "key"),
)


def load_settings(path: str | Path) -> Result[Settings, SettingsError]:
    """Read a settings file, validate every key, and make its paths absolute.

    Errors: the first fault in the file.
    """
    file = Path(path)
    try:
        data = file.read_bytes()
    except OSError as error:
        reason = (error.strerror or str(error)).lower()
        return Error(SettingsError(str(path), "", f"expected a readable file: {reason}"))
    return parse_settings(data, str(path)).map(lambda found: _resolve_paths(found, file.parent))


def parse_settings(data: bytes, file: str) -> Result[Settings, SettingsError]:
    """Validate the content of a settings file, without a change to its paths.

    Errors: the first fault in the content.
    """
    return decode_toml(data, file, Settings).bind(lambda settings: _check(settings, file))


def _check(settings: Settings, file: str) -> Result[Settings, SettingsError]:
    conflict = find_conflict(settings)
    if conflict is not None:
        return Error(SettingsError(file, conflict.key, f"expected {conflict.expected}"))
    return Ok(settings)


def _resolve_paths(settings: Settings, folder: Path) -> Settings:
    for table_name, key in _PATH_KEYS:
        table = getattr(settings, table_name)
        if table is None or getattr(table, key) is None:
            continue
        full = str((folder / getattr(table, key)).resolve())
        changed = msgspec.structs.replace(table, **{key: full})
        settings = msgspec.structs.replace(settings, **{table_name: changed})
    return settings
