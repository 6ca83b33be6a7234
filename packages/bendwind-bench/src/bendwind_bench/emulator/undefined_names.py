"""Check that the names in a scenario refer to things that it defines."""

from collections.abc import Iterator

from bendwind_bench.emulator.tables import FaultKind, Scenario


def list_undefined_names(scenario: Scenario) -> Iterator[tuple[str, set[str]]]:
    """List the keys with an undefined name, each with the names that are defined."""
    services = {service.name for service in scenario.services}
    routes = {route.name for route in scenario.routes}
    data_centres = set(scenario.places.data_centres)
    for i, service in enumerate(scenario.services):
        if not set(service.data_centres) <= data_centres:
            yield f"services[{i}].data_centres", data_centres
    for i, route in enumerate(scenario.routes):
        if route.service not in services:
            yield f"routes[{i}].service", services
        if not set(route.calls) <= routes - {route.name}:
            yield f"routes[{i}].calls", routes - {route.name}
    for i, group in enumerate(scenario.customers):
        if not set(group.routes) <= routes:
            yield f"customers[{i}].routes", routes
    for i, wave in enumerate(scenario.callers.waves):
        if wave.data_centre not in data_centres:
            yield f"callers.waves[{i}].data_centre", data_centres
    yield from _list_undefined_in_faults(scenario, services, data_centres)


def _list_undefined_in_faults(
    scenario: Scenario, services: set[str], data_centres: set[str]
) -> Iterator[tuple[str, set[str]]]:
    customers = {
        group.find_name(number) for group in scenario.customers for number in range(group.count)
    }
    for i, fault in enumerate(scenario.faults):
        if fault.service and fault.service not in services:
            yield f"faults[{i}].service", services
        if fault.data_centre and fault.data_centre not in data_centres:
            yield f"faults[{i}].data_centre", data_centres
        if fault.kind is FaultKind.HOT_CUSTOMER and fault.customer not in customers:
            yield f"faults[{i}].customer", customers


__all__ = ["list_undefined_names"]
