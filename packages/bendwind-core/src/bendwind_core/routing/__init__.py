"""Choose the upstream of an attempt and find the route of a request."""

from bendwind_core.routing.avoidable_waits import record_wait
from bendwind_core.routing.choice import choose_upstream
from bendwind_core.routing.messages import LoadProbe, LoadReport
from bendwind_core.routing.notices import find_rate_limit
from bendwind_core.routing.probes import plan_probes
from bendwind_core.routing.route_table import RouteTable, choose_part, find_route, set_routing
from bendwind_core.routing.subset import choose_subset
from bendwind_core.routing.table import (
    TrackedUpstream,
    UpstreamTable,
    create_upstream_table,
    find_earliest_capacity_at,
    record_attempt_answered,
    record_attempt_cancelled,
    record_attempt_not_run,
    record_attempt_sent,
    record_attempt_unknown,
    record_load,
    set_upstreams,
)

__all__ = [
    "LoadProbe",
    "LoadReport",
    "RouteTable",
    "TrackedUpstream",
    "UpstreamTable",
    "choose_part",
    "choose_subset",
    "choose_upstream",
    "create_upstream_table",
    "find_earliest_capacity_at",
    "find_rate_limit",
    "find_route",
    "plan_probes",
    "record_attempt_answered",
    "record_attempt_cancelled",
    "record_attempt_not_run",
    "record_attempt_sent",
    "record_attempt_unknown",
    "record_load",
    "record_wait",
    "set_routing",
    "set_upstreams",
]
