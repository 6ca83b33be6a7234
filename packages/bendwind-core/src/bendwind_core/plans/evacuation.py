"""Find services that the evacuation of a data centre leaves with too little capacity."""

from collections.abc import Sequence

from bendwind_core.plans.warning import PlanWarning, WarningKind
from bendwind_core.world import Configuration, Upstream, UpstreamState


def find_evacuation_warnings(
    configuration: Configuration, data_centre: str, upstreams: Sequence[Upstream]
) -> tuple[PlanWarning, ...]:
    """Return a warning with the remaining capacity for each service that loses upstreams."""
    evacuated = {*configuration.evacuated, data_centre}
    found = []
    for name in sorted({upstream.service for upstream in upstreams}):
        ready = [
            upstream
            for upstream in upstreams
            if upstream.service == name and upstream.state is UpstreamState.READY
        ]
        remaining = [upstream for upstream in ready if upstream.owner.data_centre not in evacuated]
        if len(remaining) < len(ready):
            found.append(_make_warning(name, ready, remaining))
    return tuple(found)


def _make_warning(service: str, ready: list[Upstream], remaining: list[Upstream]) -> PlanWarning:
    if not remaining:
        text = f"none of {len(ready)} upstreams is left; its requests are refused"
        return PlanWarning(WarningKind.NO_UPSTREAMS, service, text)
    slots = sum(upstream.slots for upstream in remaining)
    all_slots = sum(upstream.slots for upstream in ready)
    text = f"{len(remaining)} of {len(ready)} upstreams are left, with {slots} of {all_slots} slots"
    return PlanWarning(WarningKind.FEWER_UPSTREAMS, service, text)
