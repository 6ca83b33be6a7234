"""Warn operators of what the evacuation of a data centre leaves too little room for."""

from collections.abc import Sequence

from bendwind_core.plans.warning import PlanWarning, WarningKind
from bendwind_core.world import Configuration, Upstream, UpstreamState


def find_evacuation_warnings(
    configuration: Configuration, data_centre: str, upstreams: Sequence[Upstream]
) -> tuple[PlanWarning, ...]:
    """List the services that an evacuation takes upstreams from, with what is left elsewhere."""
    closed = {*configuration.evacuated, data_centre}
    found = []
    for name in sorted({upstream.service for upstream in upstreams}):
        ready = [
            upstream
            for upstream in upstreams
            if upstream.service == name and upstream.state is UpstreamState.READY
        ]
        left = [upstream for upstream in ready if upstream.owner.data_centre not in closed]
        if len(left) < len(ready):
            found.append(_warn(name, ready, left))
    return tuple(found)


def _warn(service: str, ready: list[Upstream], left: list[Upstream]) -> PlanWarning:
    if not left:
        text = f"none of {len(ready)} upstreams is left; its requests are refused"
        return PlanWarning(WarningKind.NO_UPSTREAMS, service, text)
    slots = sum(upstream.slots for upstream in left)
    all_slots = sum(upstream.slots for upstream in ready)
    text = f"{len(left)} of {len(ready)} upstreams are left, with {slots} of {all_slots} slots"
    return PlanWarning(WarningKind.FEWER_UPSTREAMS, service, text)
