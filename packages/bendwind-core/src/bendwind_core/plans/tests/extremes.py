"""Draw records of any type whose fields hold the extremes of what an entry of the log can hold."""

import enum
import math
import types
import typing
from collections.abc import Iterator

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
    """Return a strategy for the messages of a type, whose integers have any size."""
    wide = (*NUMBERS, LARGEST + 1, -(2**70), 10**400)
    return _draw_type(
        kind, _PLAIN | {int: st.sampled_from(wide), str: st.sampled_from((*texts, "", "#"))}
    )


def _draw_type(kind: object, plain: dict[type, st.SearchStrategy]) -> st.SearchStrategy:
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin is typing.Annotated:
        return _draw_type(arguments[0], plain)
    if origin in (typing.Union, types.UnionType):
        return st.one_of([_draw_type(argument, plain) for argument in arguments])
    if origin is tuple:
        return _draw_tuple(arguments, plain)
    if kind in plain:
        return plain[kind]
    if issubclass(kind, enum.Enum):
        return st.sampled_from(kind)
    fields = msgspec.structs.fields(kind)
    hints = typing.get_type_hints(kind, include_extras=True)
    return st.builds(kind, **{field.name: _draw_type(hints[field.name], plain) for field in fields})


def _draw_tuple(arguments: tuple, plain: dict[type, st.SearchStrategy]) -> st.SearchStrategy:
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        return st.lists(_draw_type(arguments[0], plain), max_size=MAX_ITEMS).map(tuple)
    return st.tuples(*(_draw_type(argument, plain) for argument in arguments))


_PLAIN = {
    int: st.sampled_from(NUMBERS),
    float: st.sampled_from(FLOATS),
    str: st.sampled_from(TEXTS),
    bytes: st.sampled_from((b"", b"\0", b"k" * 300)),
    bool: st.booleans(),
    type(None): st.none(),
}
