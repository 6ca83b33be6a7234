"""Plan which upstreams to ask for their load."""

from bendwind_core.core import Seconds
from bendwind_core.limits import ProbeBudget, spend_probe
from bendwind_core.routing.table import UpstreamTable, UpstreamView

FRESH: Seconds = 1.0
# A probe and its answer.
PROBE_MESSAGES = 2
PROBE_BYTES = 160


def plan_probes(table: UpstreamTable, budget: ProbeBudget, now: Seconds) -> list[str]:
    """Return the upstreams to probe now, those with the oldest report first.

    An upstream that answers calls has a fresh report and is not probed, so that probes end as
    traffic rises; neither is one that owes an answer.
    """
    stale = [view for view in table.views.values() if _needs_probe(view, now)]
    stale.sort(key=lambda view: max(view.reported_at, view.probed_at))
    names = []
    for view in stale:
        if not spend_probe(budget, PROBE_MESSAGES, PROBE_BYTES, now):
            break
        view.probed_at = now
        names.append(view.upstream.name)
    return names


def _needs_probe(view: UpstreamView, now: Seconds) -> bool:
    is_fresh = now - max(view.reported_at, view.probed_at) < FRESH
    return not is_fresh and not view.outstanding and not view.is_draining
