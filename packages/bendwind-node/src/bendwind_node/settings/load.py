"""Read and check a settings file before any socket opens."""

import re
from dataclasses import dataclass
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from bendwind_node.settings.checks import find_clash
from bendwind_node.settings.tables import Settings

# msgspec ends its messages with the place of the fault, such as " - at `$.peers.port`".
_PLACE = re.compile(r"^(?P<expected>.*?)(?: - at `\$\.?(?P<key>.*)`)?$", re.DOTALL)
_MISSING = re.compile(r"^Object missing required field `(?P<field>.*)`$")
_UNKNOWN = re.compile(r"^Object contains unknown field `(?P<field>.*)`$")
_PATH_KEYS = (
    ("control", "data_folder"),
    ("operators", "token_file"),
    ("operators", "client_authority"),
    ("tls", "authority"),
    ("tls", "certificate"),
    ("tls", "key"),
)


@dataclass(frozen=True, slots=True)
class SettingsError:
    """Say which key of which file is wrong and what was expected; `key` empty means the file."""

    file: str
    key: str
    expected: str

    def __str__(self) -> str:
        place = f"{self.file}: {self.key}" if self.key else self.file
        return f"{place}: {self.expected}"


def load_settings(path: str | Path) -> Result[Settings, SettingsError]:
    """Read a settings file, check every key, and make its paths absolute.

    Errors: the first thing that is wrong with the file.
    """
    file = Path(path)
    try:
        data = file.read_bytes()
    except OSError as error:
        reason = (error.strerror or str(error)).lower()
        return Error(SettingsError(str(path), "", f"expected a readable file: {reason}"))
    return parse_settings(data, str(path)).map(lambda found: _resolve(found, file.parent))


def parse_settings(data: bytes, file: str) -> Result[Settings, SettingsError]:
    """Check the content of a settings file, leaving its paths as they are.

    Errors: the first thing that is wrong with the content.
    """
    try:
        settings = msgspec.toml.decode(data, type=Settings)
    except msgspec.ValidationError as error:
        return Error(_explain(file, str(error)))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(SettingsError(file, "", f"expected TOML: {error}"))
    clash = find_clash(settings)
    if clash is not None:
        return Error(SettingsError(file, clash.key, f"expected {clash.expected}"))
    return Ok(settings)


def _explain(file: str, message: str) -> SettingsError:
    found = _PLACE.match(message)
    assert found is not None
    key, text = found["key"] or "", found["expected"]
    missing, unknown = _MISSING.match(text), _UNKNOWN.match(text)
    if missing is not None:
        return SettingsError(file, _join(key, missing["field"]), "expected this key, found none")
    if unknown is not None:
        return SettingsError(file, _join(key, unknown["field"]), "expected no such key")
    return SettingsError(file, key, text[:1].lower() + text[1:])


def _join(key: str, field: str) -> str:
    return f"{key}.{field}" if key else field


def _resolve(settings: Settings, folder: Path) -> Settings:
    for table_name, key in _PATH_KEYS:
        table = getattr(settings, table_name)
        if table is None or getattr(table, key) is None:
            continue
        full = str((folder / getattr(table, key)).resolve())
        changed = msgspec.structs.replace(table, **{key: full})
        settings = msgspec.structs.replace(settings, **{table_name: changed})
    return settings
