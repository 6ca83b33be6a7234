"""Explain what is wrong with a TOML text by file, key and what was expected."""

import re
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

_Checked = TypeVar("_Checked")

# msgspec ends its messages with the place of the fault, such as " - at `$.peers.port`".
_PLACE = re.compile(r"^(?P<expected>.*?)(?: - at `\$\.?(?P<key>.*)`)?$", re.DOTALL)
_MISSING = re.compile(r"^Object missing required field `(?P<field>.*)`$")
_NOT_A_CHOICE = re.compile(r"^Invalid enum value ")
_UNKNOWN = re.compile(r"^Object contains unknown field `(?P<field>.*)`$")


class TomlError(msgspec.Struct, frozen=True):
    """Say which key of which file is wrong and what was expected; `key` empty means the file."""

    file: str
    key: str
    expected: str

    def __str__(self) -> str:
        place = f"{self.file}: {self.key}" if self.key else self.file
        return f"{place}: {self.expected}"


def decode_toml(data: bytes, file: str, kind: type[_Checked]) -> Result[_Checked, TomlError]:
    """Decode TOML text into a type and check every key.

    Errors: the first thing that is wrong with the text.
    """
    try:
        return Ok(msgspec.toml.decode(data, type=kind))
    except msgspec.ValidationError as error:
        return Error(_explain(file, str(error), kind))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(TomlError(file, "", f"expected TOML: {error}"))


def _explain(file: str, message: str, kind: type) -> TomlError:
    found = _PLACE.match(message)
    assert found is not None
    key, text = found["key"] or "", found["expected"]
    missing, unknown = _MISSING.match(text), _UNKNOWN.match(text)
    if missing is not None:
        return TomlError(file, _join(key, missing["field"]), "expected this key, found none")
    if unknown is not None:
        return TomlError(file, _join(key, unknown["field"]), "expected no such key")
    if _NOT_A_CHOICE.match(text):
        # What it imports is heavy, and needed only when a file is wrong.
        from bendwind_core.core.toml_choices import list_choices

        text = list_choices(kind, key) or text
    return TomlError(file, key, text[:1].lower() + text[1:])


def _join(key: str, field: str) -> str:
    return f"{key}.{field}" if key else field
