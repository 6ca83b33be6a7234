"""Take slopes that were measured by other modules into the form of the page."""

import dataclasses
from collections.abc import Mapping

from bendwind_bench import slopes_plans
from bendwind_bench.capacity.slope import Slope, fit, time_median
from bendwind_bench.slopes_membership.fixture import (
    attach_node,
    build_registry_fixture,
    flush_pushes,
    make_instance,
)
from bendwind_bench.slopes_membership.node import measure_nodes
from bendwind_bench.slopes_membership.slope import Slope as Measured
from bendwind_bench.slopes_membership.voter import (
    measure_data_centre,
    measure_registries,
    measure_watchers,
    push_service,
)

MANY_WATCHERS = (500, 1_000, 2_000, 4_000)
_OTHER_NODES = 1_500
_FIRST_WATCHER = 50_000


@dataclasses.dataclass(frozen=True, slots=True)
class _Kind:
    title: str
    unit: str
    per: str


# Pure code and codec, without links.
_MEMBERSHIP = {
    "voter_memory": _Kind("Memory of a voter's registry", "bytes", "node of the deployment"),
    "voter_heartbeat": _Kind("Voter's time for a heartbeat", "us", "node of the deployment"),
    "voter_tick": _Kind("Voter's time for a tick (20 a second)", "us", "node of the deployment"),
    "voter_watcher_memory": _Kind(
        "Voter's memory of attached nodes that watch one service", "bytes", "attached node"
    ),
    "voter_upstream_change": _Kind(
        "Voter's time to push a changed upstream to all watchers", "us", "watcher"
    ),
    "voter_service_change": _Kind(
        "Voter's time to push a changed service to all watchers", "us", "watcher"
    ),
    "node_memory": _Kind("Node's memory of watched upstreams", "bytes", "watched upstream"),
    "node_heartbeat": _Kind("Node's time for a heartbeat and its reply", "us", "watched upstream"),
    "node_upstream_change": _Kind(
        "Node's time to take a changed upstream", "us", "watched upstream"
    ),
}
_PLANS = {
    "snapshot_bytes": _Kind("Size of a snapshot", "bytes", "service"),
    "snapshot_time": _Kind("Time to take a snapshot", "us", "service"),
    "restore_time": _Kind("Time to restore a snapshot", "us", "service"),
    "state_memory": _Kind("Memory of the configuration", "bytes", "service"),
    "first_plan_time": _Kind("Time to plan a whole configuration", "us", "service"),
    "plan_of_one_change_time": _Kind("Time to plan a change of one service", "us", "service"),
    "confirmation_time": _Kind("Time to apply a plan and its confirmation", "us", "service"),
    "outcome_snapshot_bytes": _Kind("Remembered plans in a snapshot", "bytes", "plan"),
    "outcome_snapshot_time": _Kind("Time of remembered plans in a snapshot", "us", "plan"),
    "outcome_memory": _Kind("Memory of remembered plans", "bytes", "plan"),
}


def _adopt(measured: Mapping[str, Measured], kinds: dict[str, _Kind]) -> dict[str, Slope]:
    return {
        name: fit(
            kinds[name].title,
            kinds[name].unit,
            kinds[name].per,
            [(point.size, point.value) for point in slope.points],
        )
        for name, slope in measured.items()
    }


def measure_membership() -> tuple[dict[str, Slope], dict[str, float]]:
    """Measure voters and nodes up to the target size."""
    measured = measure_registries() | measure_watchers() | measure_nodes()
    figures = {f"data_centre_{name}": value for name, value in measure_data_centre().items()}
    return _adopt(measured, _MEMBERSHIP), figures


def measure_many_watchers() -> dict[str, Slope]:
    """Measure a change of one service with thousands of nodes that watch it at one voter."""
    times = []
    for count in MANY_WATCHERS:
        fixture = build_registry_fixture(_OTHER_NODES)
        service = fixture.services[0]
        for index in range(count):
            node = make_instance(_FIRST_WATCHER + index)
            fixture.watched[node.name] = (service,)
            attach_node(fixture, node)
        flush_pushes(fixture)
        watchers = len(fixture.registry.services[service].watchers)
        times.append((watchers, time_median(lambda s=fixture, n=service: push_service(s, n))))
    title = "Voter's time for a changed service with thousands of watchers"
    return {"change_many_us": fit(title, "us", "watcher", times)}


def measure_plans() -> tuple[dict[str, Slope], dict[str, float]]:
    """Measure the state of the control log by services and by remembered plans."""
    measured = slopes_plans.measure_services() | slopes_plans.measure_outcomes()
    commands = slopes_plans.measure_commands()
    return _adopt(measured, _PLANS), {"change_log_bytes": float(sum(commands.values()))}
