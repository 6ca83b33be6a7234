"""Choose the upstreams whose load is queried."""

from bendwind_core.core import Seconds
from bendwind_core.limits import ProbeBudget, spend_probe
from bendwind_core.routing.table import TrackedUpstream, UpstreamTable

# An upstream whose last report or probe is older than this is probed.
REPORT_MAX_AGE: Seconds = 1.0
# Cost of a probe and its answer.
PROBE_MESSAGES = 2
PROBE_BYTES = 160


def plan_probes(table: UpstreamTable, budget: ProbeBudget, now: Seconds) -> list[str]:
    """Return the upstreams to probe now, those with the oldest report first.

    An upstream that answers calls has a fresh report and is not probed, so probes stop as traffic
    rises. An upstream with outstanding attempts is not probed either.
    """
    stale = [tracked for tracked in table.upstreams.values() if _needs_probe(tracked, now)]
    stale.sort(key=lambda tracked: max(tracked.reported_at, tracked.probed_at))
    names = []
    for tracked in stale:
        if not spend_probe(budget, PROBE_MESSAGES, PROBE_BYTES, now):
            break
        tracked.probed_at = now
        names.append(tracked.upstream.name)
    return names


def _needs_probe(tracked: TrackedUpstream, now: Seconds) -> bool:
    is_fresh = now - max(tracked.reported_at, tracked.probed_at) < REPORT_MAX_AGE
    return not is_fresh and not tracked.outstanding and not tracked.is_draining
