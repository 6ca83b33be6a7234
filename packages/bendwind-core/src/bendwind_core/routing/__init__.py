"""Offer the choice of an upstream for an attempt."""

from bendwind_core.routing.choice import choose_upstream
from bendwind_core.routing.messages import LoadProbe, LoadReport
from bendwind_core.routing.notices import find_limit
from bendwind_core.routing.probes import plan_probes
from bendwind_core.routing.route_table import RouteTable, choose_part, find_route, set_routing
from bendwind_core.routing.subset import choose_subset
from bendwind_core.routing.table import (
    UpstreamTable,
    UpstreamView,
    create_table,
    find_room_at,
    note_answered,
    note_cancelled,
    note_load,
    note_not_run,
    note_sent,
    note_unknown,
    set_upstreams,
)

__all__ = [
    "LoadProbe",
    "LoadReport",
    "RouteTable",
    "UpstreamTable",
    "UpstreamView",
    "choose_part",
    "choose_subset",
    "choose_upstream",
    "create_table",
    "find_limit",
    "find_room_at",
    "find_route",
    "note_answered",
    "note_cancelled",
    "note_load",
    "note_not_run",
    "note_sent",
    "note_unknown",
    "plan_probes",
    "set_routing",
    "set_upstreams",
]
