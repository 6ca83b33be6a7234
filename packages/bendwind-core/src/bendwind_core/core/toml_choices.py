"""Find the values that an enumerated key of a TOML document may have."""

import re

import msgspec.inspect

_INDEX = re.compile(r"\[[^]]*\]")


def list_choices(kind: type, key: str) -> str:
    """Return a text with the values of an enumerated key, empty if the type has no such key."""
    current = msgspec.inspect.type_info(kind)
    for field in _INDEX.sub("", key).split("."):
        fields = {known.name: known.type for known in getattr(_unwrap(current), "fields", ())}
        if field not in fields:
            return ""
        current = fields[field]
    match _unwrap(current):
        case msgspec.inspect.EnumType(cls=choices):
            return "expected one of " + ", ".join(repr(choice.value) for choice in choices)
    return ""


def _unwrap(outer: msgspec.inspect.Type) -> msgspec.inspect.Type:
    """Return the type of the items of an array, or the first type of a union."""
    match outer:
        case msgspec.inspect.VarTupleType(item_type=item):
            return _unwrap(item)
        case msgspec.inspect.UnionType(types=types):
            return _unwrap(types[0])
        case msgspec.inspect.Metadata(type=inner):
            return _unwrap(inner)
    return outer
