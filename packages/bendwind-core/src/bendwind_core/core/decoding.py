"""Decode texts and bytes from outside a process; none of them makes a decoder raise."""

from typing import TypeVar

import cbor2
import msgspec
from expression import Error, Ok, Result

from bendwind_core.core.ranges import MAX_INT64

_Checked = TypeVar("_Checked")

# Several times the depth of the deepest message or record.
MAX_CBOR_DEPTH = 64
# As many as MAX_INT64 has.
_MAX_DIGITS = 19
# What a decoder raises beside its own errors: an integer of too many digits is a ValueError, one
# that no float holds an OverflowError, and a text that is nested too deep a RecursionError.
DECODE_ERRORS = (ValueError, OverflowError, RecursionError)


def read_whole_number(text: str, largest: int = MAX_INT64) -> int | None:
    """Return a whole number from 0 to `largest`, None for any other text.

    >>> read_whole_number("07"), read_whole_number("-7"), read_whole_number("²")
    (7, None, None)
    """
    if not text.isascii() or not text.isdecimal() or len(text) > _MAX_DIGITS:
        return None
    number = int(text)
    return number if number <= largest else None


def decode_json(data: bytes, kind: type[_Checked]) -> Result[_Checked, str]:
    """Decode a JSON text into a type and check every field.

    Errors: a text that describes the first fault.
    """
    try:
        return Ok(msgspec.json.decode(data, type=kind))
    except DECODE_ERRORS as error:
        return Error(str(error))


def _refuse_tag(*_: object) -> object:
    raise ValueError("a tag, expected none")


class _EveryTag(dict):
    """Map every tag to the decoder that refuses it."""

    def __missing__(self, tag: int) -> object:
        return _refuse_tag


_REFUSE_TAGS = _EveryTag()


def decode_cbor(data: bytes | str) -> Result[object, str]:
    """Decode CBOR without tags, as no message or stored record has any.

    Without tags an integer has at most 64 bits, and no item stands for another. A peer may also
    have sent a text, which is no CBOR.
    Errors: a text that describes the first fault.
    """
    if isinstance(data, str):
        return Error("a text, expected bytes")
    try:
        return Ok(cbor2.loads(data, semantic_decoders=_REFUSE_TAGS, max_depth=MAX_CBOR_DEPTH))
    except (cbor2.CBORError, *DECODE_ERRORS) as error:
        return Error(str(error))
