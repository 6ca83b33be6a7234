"""Run the measurements of membership and plans and convert their slopes for the page."""

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
from bendwind_bench.slopes_membership.slope import Slope as MembershipSlope
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
class _SlopeLabels:
    title: str
    unit: str
    per: str


# These slopes cover the pure code and the codec, without links.
_MEMBERSHIP = {
    "voter_memory": _SlopeLabels("Memory of a voter's registry", "bytes", "node of the deployment"),
    "voter_heartbeat": _SlopeLabels("Voter's time for a heartbeat", "us", "node of the deployment"),
    "voter_tick": _SlopeLabels(
        "Voter's time for a tick (20 a second)", "us", "node of the deployment"
    ),
    "voter_watcher_memory": _SlopeLabels(
        "Voter's memory of attached nodes that watch one service", "bytes", "attached node"
    ),
    "voter_upstream_change": _SlopeLabels(
        "Voter's time to push a changed upstream to all watchers", "us", "watcher"
    ),
    "voter_service_change": _SlopeLabels(
        "Voter's time to push a changed service to all watchers", "us", "watcher"
    ),
    "node_memory": _SlopeLabels("Node's memory of watched upstreams", "bytes", "watched upstream"),
    "node_heartbeat": _SlopeLabels(
        "Node's time for a heartbeat and its reply", "us", "watched upstream"
    ),
    "node_upstream_change": _SlopeLabels(
        "Node's time to take a changed upstream", "us", "watched upstream"
    ),
}
_PLANS = {
    "snapshot_bytes": _SlopeLabels("Size of a snapshot", "bytes", "service"),
    "snapshot_time": _SlopeLabels("Time to take a snapshot", "us", "service"),
    "restore_time": _SlopeLabels("Time to restore a snapshot", "us", "service"),
    "state_memory": _SlopeLabels("Memory of the configuration", "bytes", "service"),
    "first_plan_time": _SlopeLabels("Time to plan a whole configuration", "us", "service"),
    "plan_of_one_change_time": _SlopeLabels(
        "Time to plan a change of one service", "us", "service"
    ),
    "confirmation_time": _SlopeLabels("Time to apply a plan and its confirmation", "us", "service"),
    "outcome_snapshot_bytes": _SlopeLabels("Remembered plans in a snapshot", "bytes", "plan"),
    "outcome_snapshot_time": _SlopeLabels("Time of remembered plans in a snapshot", "us", "plan"),
    "outcome_memory": _SlopeLabels("Memory of remembered plans", "bytes", "plan"),
}


def _convert_slopes(
    measured: Mapping[str, MembershipSlope], labels: dict[str, _SlopeLabels]
) -> dict[str, Slope]:
    return {
        name: fit(
            labels[name].title,
            labels[name].unit,
            labels[name].per,
            [(point.size, point.value) for point in slope.points],
        )
        for name, slope in measured.items()
    }


def measure_membership() -> tuple[dict[str, Slope], dict[str, float]]:
    """Measure membership of voters and nodes up to the target size."""
    measured = measure_registries() | measure_watchers() | measure_nodes()
    figures = {f"data_centre_{name}": value for name, value in measure_data_centre().items()}
    return _convert_slopes(measured, _MEMBERSHIP), figures


def measure_many_watchers() -> dict[str, Slope]:
    """Measure a change of one service when thousands of nodes watch it at one voter."""
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
    """Measure the state of the control log for growing numbers of services and stored plans."""
    measured = slopes_plans.measure_services() | slopes_plans.measure_outcomes()
    commands = slopes_plans.measure_commands()
    return _convert_slopes(measured, _PLANS), {"change_log_bytes": float(sum(commands.values()))}
