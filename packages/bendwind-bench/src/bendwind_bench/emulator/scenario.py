"""Load scenarios, change their keys and scale them."""

from pathlib import Path

import msgspec
from expression import Error, Ok, Result
from msgspec.structs import replace

from bendwind_bench.emulator.tables import (
    Callers,
    Fault,
    FaultKind,
    Places,
    PolicyTable,
    RouteTable,
    Scenario,
    ServiceTable,
)
from bendwind_bench.emulator.undefined_names import list_undefined_names
from bendwind_core.core import TomlError, decode_toml

SCENARIO_FOLDER = Path(__file__).parent / "scenarios"


def list_scenarios() -> tuple[str, ...]:
    """Return the names of the shipped scenarios."""
    return tuple(sorted(file.stem for file in SCENARIO_FOLDER.glob("*.toml")))


def load_scenario(name: str, changes: tuple[str, ...] = ()) -> Result[Scenario, TomlError]:
    """Load a shipped scenario by its name or any scenario by its file, and change keys of it.

    Errors: the first fault, with file, key and expectation.
    """
    shipped = SCENARIO_FOLDER / f"{name}.toml"
    file = shipped if shipped.is_file() else Path(name)
    try:
        data = file.read_bytes()
    except OSError as error:
        expected = f"expected a readable file or one of {', '.join(list_scenarios())}"
        return Error(TomlError(name, "", f"{expected}: {error.strerror}"))
    return parse_scenario(data, str(file)).bind(lambda parsed: change_scenario(parsed, changes))


def parse_scenario(data: bytes, file: str) -> Result[Scenario, TomlError]:
    """Parse and check the TOML text of a scenario.

    Errors: the first fault.
    """
    parsed = decode_toml(data, file, Scenario).bind(lambda scenario: _complete(scenario, file))
    return parsed.bind(lambda scenario: _check_names(scenario, file))


_TABLES = ("services", "routes", "customers", "places", "callers", "policy")
_DEFAULTS = {"places": Places(), "callers": Callers(), "policy": PolicyTable()}


def _complete(scenario: Scenario, file: str) -> Result[Scenario, TomlError]:
    """Fill in tables that a scenario omits from its base, or from the defaults without a base."""
    filled_tables = {
        name: value for name, value in _DEFAULTS.items() if getattr(scenario, name) is None
    }
    if scenario.base:
        base = load_scenario(scenario.base)
        if base.is_error():
            return Error(TomlError(file, "base", str(base.error)))
        filled_tables = {
            name: getattr(base.ok, name) for name in _TABLES if not getattr(scenario, name)
        }
    completed = replace(scenario, base="", **filled_tables)
    for name in ("services", "routes"):
        if not getattr(completed, name):
            return Error(TomlError(file, name, f"expected [[{name}]], here or in a base"))
    return Ok(completed)


def change_scenario(scenario: Scenario, changes: tuple[str, ...]) -> Result[Scenario, TomlError]:
    """Return a scenario with changed keys, e.g. `policy.slot_share=1.0` or `services.a.slots=8`.

    Errors: an unknown key, or a value that is invalid for its key.
    """
    tables = msgspec.to_builtins(scenario)
    for change in changes:
        key, _, text = change.partition("=")
        if not _set_value(tables, key.split("."), text):
            return Error(TomlError("--against", key, "expected a key of the scenario"))
    try:
        return _check_names(msgspec.convert(tables, Scenario), "--against")
    except msgspec.ValidationError as error:
        return Error(TomlError("--against", ", ".join(changes), f"expected otherwise: {error}"))


def scale_scenario(scenario: Scenario, size: int) -> Scenario:
    """Return a scenario with its upstream counts and request rates multiplied by `size`."""
    services = tuple(
        replace(service, upstreams=service.upstreams * size) for service in scenario.services
    )
    routes = tuple(replace(route, per_second=route.per_second * size) for route in scenario.routes)
    return replace(scenario, services=services, routes=routes)


def _set_value(table, keys: list[str], text: str) -> bool:
    for key in keys[:-1]:
        table = _find_subtable(table, key)
        if table is None:
            return False
    if not isinstance(table, dict) or keys[-1] not in table:
        return False
    try:
        table[keys[-1]] = msgspec.json.decode(text)
    except msgspec.DecodeError:
        table[keys[-1]] = text
    return True


def _find_subtable(table, key: str):
    if isinstance(table, dict):
        return table.get(key)
    return next((item for item in table or () if item.get("name") == key), None)


def _check_names(scenario: Scenario, file: str) -> Result[Scenario, TomlError]:
    undefined = next(list_undefined_names(scenario), None)
    if undefined is None:
        return Ok(scenario)
    key, names = undefined
    expected = f"expected one of {', '.join(sorted(names))}" if names else "expected [[customers]]"
    return Error(TomlError(file, key, expected))


__all__ = [
    "SCENARIO_FOLDER",
    "Fault",
    "FaultKind",
    "RouteTable",
    "Scenario",
    "ServiceTable",
    "change_scenario",
    "list_scenarios",
    "load_scenario",
    "parse_scenario",
    "scale_scenario",
]
