"""Describe an error in a TOML text by its file, its key and what was expected."""

import re
from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

_Checked = TypeVar("_Checked")

# msgspec ends its messages with the location of the error, such as " - at `$.peers.port`".
_LOCATION = re.compile(r"^(?P<expected>.*?)(?: - at `\$\.?(?P<key>.*)`)?$", re.DOTALL)
_MISSING_FIELD = re.compile(r"^Object missing required field `(?P<field>.*)`$")
_INVALID_CHOICE = re.compile(r"^Invalid enum value ")
_UNKNOWN_FIELD = re.compile(r"^Object contains unknown field `(?P<field>.*)`$")


class TomlError(msgspec.Struct, frozen=True):
    """Describe which key of which file is wrong and what was expected.

    An empty `key` refers to the whole file.
    """

    file: str
    key: str
    expected: str

    def __str__(self) -> str:
        location = f"{self.file}: {self.key}" if self.key else self.file
        return f"{location}: {self.expected}"


def decode_toml(data: bytes, file: str, kind: type[_Checked]) -> Result[_Checked, TomlError]:
    """Decode TOML text into a type and check every key.

    Errors: the first error in the text.
    """
    try:
        return Ok(msgspec.toml.decode(data, type=kind))
    except msgspec.ValidationError as error:
        return Error(_describe_error(file, str(error), kind))
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        # A number of too many digits raises ValueError, nesting that is too deep RecursionError.
        return Error(TomlError(file, "", f"expected TOML: {error}"))


def _describe_error(file: str, message: str, kind: type) -> TomlError:
    match = _LOCATION.match(message)
    assert match is not None
    key, text = match["key"] or "", match["expected"]
    missing, unknown = _MISSING_FIELD.match(text), _UNKNOWN_FIELD.match(text)
    if missing is not None:
        return TomlError(file, _join_key(key, missing["field"]), "expected this key, found none")
    if unknown is not None:
        return TomlError(file, _join_key(key, unknown["field"]), "expected no such key")
    if _INVALID_CHOICE.match(text):
        # Imported here because its dependencies are slow to load and needed only for a wrong file.
        from bendwind_core.core.toml_choices import list_choices

        text = list_choices(kind, key) or text
    return TomlError(file, key, text[:1].lower() + text[1:])


def _join_key(key: str, field: str) -> str:
    return f"{key}.{field}" if key else field
