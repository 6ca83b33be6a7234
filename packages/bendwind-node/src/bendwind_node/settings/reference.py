"""Generate docs/SETTINGS.md from the types that validate a settings file."""

import types
import typing
from collections.abc import Iterator

import msgspec

from bendwind_node.settings.tables import Settings, Table

_HEAD = """\
# Settings of bendwindd

`bendwindd --config FILE` reads one TOML file and checks all of it before any socket opens;
`bendwindd --config FILE --check` only checks. A fault ends it with exit code 5 and one line that
names the file, the key and what was expected. Unknown keys are refused. Paths are relative to the
folder of the settings file. Whole files stand in examples/certitermica/settings/ (without TLS) and
examples/zadruga/settings/ (with TLS).

Made by `python -m bendwind_node.settings.reference > docs/SETTINGS.md`; a test compares the two.

Rules between keys:

- `[control]` needs this instance among `[[voters]]`, with the port of `[peers]` (unless that is 0).
- `peers.insecure` and `operators.insecure` are accepted on loopback addresses only.
- Either `peers.insecure = true` or a `[tls]` table, never both, never neither.
- Operators prove who they are by `token_file`, `client_authority` or both, unless `insecure`.
- `client_authority` needs a `[tls]` table; so does `token_file` but on a loopback address.
- `lease.lease_ms` is at least two times `lease.heartbeat_ms`.
- Each voter's name and address stands once.
"""
_COLUMNS = "\n| key | unit | default | range | meaning |\n|---|---|---|---|---|\n"
_REQUIRED = "required"


class _Key(msgspec.Struct, frozen=True):
    name: str
    unit: str
    default: str
    range: str
    meaning: str


def render_reference() -> str:
    """Return the text of docs/SETTINGS.md."""
    return _HEAD + "".join(_render_table(*listed) for listed in _list_tables())


def _list_tables() -> Iterator[tuple[str, type[Table], bool]]:
    for field in msgspec.structs.fields(Settings):
        kinds = [kind for kind in _flatten(field.type) if _is_table(kind)]
        is_many = "tuple" in str(field.type)
        yield f"[[{field.name}]]" if is_many else f"[{field.name}]", kinds[0], field.required


def _render_table(name: str, table: type[Table], is_required: bool) -> str:
    rows = "".join(
        f"| `{key.name}` | {key.unit} | {key.default} | {key.range} | {key.meaning} |\n"
        for key in _list_keys(table)
    )
    requirement = "Required." if is_required else "Optional."
    return f"\n## `{name}`\n\n{table.__doc__.splitlines()[0]} {requirement}\n{_COLUMNS}{rows}"


def _list_keys(table: type[Table]) -> Iterator[_Key]:
    hints = typing.get_type_hints(table, include_extras=True)
    for field in msgspec.structs.fields(table):
        metas = [meta for meta in _flatten(hints[field.name]) if isinstance(meta, msgspec.Meta)]
        extras = {name: text for meta in metas for name, text in (meta.extra or {}).items()}
        meaning = next(meta.description for meta in metas if meta.description)
        limits = extras.get("range") or _render_range(hints[field.name], metas)
        yield _Key(field.name, extras.get("unit", ""), _render_default(field), limits, meaning)


def _flatten(hint: object) -> Iterator[object]:
    """Yield the parts of a type hint: types, literals and constraints, the outermost last."""
    origin = typing.get_origin(hint)
    if origin is typing.Annotated:
        yield from _flatten(typing.get_args(hint)[0])
        yield from hint.__metadata__
    elif origin in (typing.Union, types.UnionType, tuple):
        for part in typing.get_args(hint):
            yield from _flatten(part)
    else:
        yield hint


def _is_table(kind: object) -> bool:
    return isinstance(kind, type) and issubclass(kind, Table)


def _render_default(field: msgspec.structs.FieldInfo) -> str:
    if field.required:
        return _REQUIRED
    match field.default:
        case None:
            return "none"
        case bool() as value:
            return str(value).lower()
        case () | "":
            return "empty"
        case value:
            return str(value)


def _render_range(hint: object, metas: list[msgspec.Meta]) -> str:
    parts = list(_flatten(hint))
    literals = [part for part in parts if typing.get_origin(part) is typing.Literal]
    if literals:
        return ", ".join(f"`{value}`" for value in typing.get_args(literals[0]))
    if bool in parts:
        return "true, false"
    limits = [_render_limits(meta) for meta in metas]
    return ", ".join(limit for limit in limits if limit)


def _render_limits(meta: msgspec.Meta) -> str:
    if meta.gt is not None:
        return f"above {meta.gt}, to {meta.le}"
    if meta.ge is not None:
        return f"{meta.ge} to {meta.le}"
    if meta.max_length is not None:
        return f"at most {meta.max_length} characters"
    return ""


if __name__ == "__main__":
    print(render_reference(), end="")
