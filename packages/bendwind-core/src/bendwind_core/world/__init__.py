"""Define the domain model: data centres, instances, upstreams, services, routes and customers."""

from bendwind_core.world.configuration import EMPTY_CONFIGURATION, Configuration
from bendwind_core.world.customer import Customer, combine_ranks, digest_key
from bendwind_core.world.places import DataCentre, Instance
from bendwind_core.world.route import (
    EMPTY_ROUTING,
    CallerLimits,
    Route,
    Routing,
    SplitPart,
    create_route,
    create_routed_service,
)
from bendwind_core.world.service import (
    Limits,
    Policy,
    Repeat,
    Rule,
    Service,
    StaleAction,
    WarmUpRule,
    find_rule,
    may_serve,
)
from bendwind_core.world.upstream import LoadSample, Upstream, UpstreamState
from bendwind_core.world.uri import (
    encode_target,
    is_absolute_path,
    normalize_path,
    normalize_pattern,
)

__all__ = [
    "EMPTY_CONFIGURATION",
    "EMPTY_ROUTING",
    "CallerLimits",
    "Configuration",
    "Customer",
    "DataCentre",
    "Instance",
    "Limits",
    "LoadSample",
    "Policy",
    "Repeat",
    "Route",
    "Routing",
    "Rule",
    "Service",
    "SplitPart",
    "StaleAction",
    "Upstream",
    "UpstreamState",
    "WarmUpRule",
    "combine_ranks",
    "create_route",
    "create_routed_service",
    "digest_key",
    "encode_target",
    "find_rule",
    "is_absolute_path",
    "may_serve",
    "normalize_path",
    "normalize_pattern",
]
