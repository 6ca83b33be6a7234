"""Draw records of any type whose fields hold the extremes of what an entry of the log can hold."""

import enum
import math
import types
import typing
from collections.abc import Iterator
from typing import Annotated

import msgspec
from hypothesis import strategies as st

from bendwind_core.plans import Command

SMALLEST, LARGEST = -(2**63), 2**64 - 1
NUMBERS = (SMALLEST, -1, 0, 1, 2, 3, 2**31, 2**53 + 1, 2**63 - 1, 2**63, LARGEST)
FLOATS = (math.nan, math.inf, -math.inf, -1e308, -1.0, -0.0, 0.0, 5e-324, 1.0, 1e308, 1.7e308)
TEXTS = ("", "a", "b", "#", "a#", "a#1", "#x", "/", "/%", "*", "[", "\0", "é\U0010ffff", "a" * 300)
# The items of a field that repeats, which has up to this number of them.
MAX_ITEMS = 3


def has_non_finite(record: msgspec.Struct) -> bool:
    """Return whether a record holds a float that is infinite or not a number."""
    return any(not math.isfinite(number) for number in _list_floats(msgspec.to_builtins(record)))


def _list_floats(value: object) -> Iterator[float]:
    match value:
        case float():
            yield value
        case list() | tuple():
            for item in value:
                yield from _list_floats(item)


def draw_commands(kind: type | None = None) -> st.SearchStrategy:
    """Return a strategy for the commands of a type, or for all commands."""
    kinds = (kind,) if kind else typing.get_args(Command)
    return st.one_of([_draw_type(each, _PLAIN) for each in kinds])


def draw_messages(kind: type, texts: tuple[str, ...]) -> st.SearchStrategy:
    """Return a strategy for the messages of a type, whose numbers reach the ends of their ranges.

    A frame with a number out of its range is refused as a whole.
    """
    return _draw_type(kind, _PLAIN | {str: st.sampled_from((*texts, "", "#"))}, keeps_ranges=True)


def _draw_type(
    kind: object, plain: dict[type, st.SearchStrategy], *, keeps_ranges: bool = False
) -> st.SearchStrategy:
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin is typing.Annotated and keeps_ranges and arguments[0] in _NUMBERS:
        return _draw_in_range(*arguments)
    if origin is typing.Annotated:
        return _draw_type(arguments[0], plain, keeps_ranges=keeps_ranges)
    if origin in (typing.Union, types.UnionType):
        drawn = [_draw_type(argument, plain, keeps_ranges=keeps_ranges) for argument in arguments]
        return st.one_of(drawn)
    if origin is tuple:
        return _draw_tuple(arguments, plain, keeps_ranges=keeps_ranges)
    if kind in plain:
        return plain[kind]
    if issubclass(kind, enum.Enum):
        return st.sampled_from(kind)
    fields = msgspec.structs.fields(kind)
    hints = typing.get_type_hints(kind, include_extras=True)
    drawn = {
        field.name: _draw_type(hints[field.name], plain, keeps_ranges=keeps_ranges)
        for field in fields
    }
    return st.builds(kind, **drawn)


def _draw_tuple(
    arguments: tuple, plain: dict[type, st.SearchStrategy], *, keeps_ranges: bool
) -> st.SearchStrategy:
    drawn = [
        _draw_type(argument, plain, keeps_ranges=keeps_ranges)
        for argument in arguments
        if argument is not Ellipsis
    ]
    if Ellipsis in arguments:
        return st.lists(drawn[0], max_size=MAX_ITEMS).map(tuple)
    return st.tuples(*drawn)


def _draw_in_range(kind: type, *ranges: msgspec.Meta) -> st.SearchStrategy:
    ends = [end for meta in ranges for end in (meta.ge, meta.le) if end is not None]
    typed = Annotated[(kind, *ranges)]
    return st.sampled_from([number for number in (*ends, *_NUMBERS[kind]) if _fits(number, typed)])


def _fits(number: float, typed: object) -> bool:
    try:
        msgspec.convert(number, typed)
    except msgspec.ValidationError:
        return False
    return True


_NUMBERS = {int: NUMBERS, float: FLOATS}
_PLAIN = {
    int: st.sampled_from(NUMBERS),
    float: st.sampled_from(FLOATS),
    str: st.sampled_from(TEXTS),
    bytes: st.sampled_from((b"", b"\0", b"k" * 300)),
    bool: st.booleans(),
    type(None): st.none(),
}
