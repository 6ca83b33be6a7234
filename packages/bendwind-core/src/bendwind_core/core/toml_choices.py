"""Find what a key that holds one of a few choices may hold."""

import re

import msgspec.inspect

_INDEX = re.compile(r"\[[^]]*\]")


def list_choices(kind: type, key: str) -> str:
    """Return what an enumerated key may hold, or nothing if the key is not found in the type."""
    found = msgspec.inspect.type_info(kind)
    for field in _INDEX.sub("", key).split("."):
        known = {known.name: known.type for known in getattr(_unwrap(found), "fields", ())}
        if field not in known:
            return ""
        found = known[field]
    match _unwrap(found):
        case msgspec.inspect.EnumType(cls=choices):
            return "expected one of " + ", ".join(repr(choice.value) for choice in choices)
    return ""


def _unwrap(found: msgspec.inspect.Type) -> msgspec.inspect.Type:
    """Return the type of the items of an array, and the first type of a union."""
    match found:
        case msgspec.inspect.VarTupleType(item_type=item):
            return _unwrap(item)
        case msgspec.inspect.UnionType(types=types):
            return _unwrap(types[0])
        case msgspec.inspect.Metadata(type=inner):
            return _unwrap(inner)
    return found
