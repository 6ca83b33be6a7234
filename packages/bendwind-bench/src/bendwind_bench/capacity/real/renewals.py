"""Take the cost of renewals at a voter over real links into the form of the page."""

from bendwind_bench.capacity.slope import Slope, fit
from bendwind_bench.slopes_membership.fixture import LEASE_TIMES
from bendwind_bench.slopes_membership.links import COUNTS, measure_voter


async def measure_renewals() -> dict[str, Slope]:
    """Measure voters with growing numbers of nodes, one after the other."""
    spent = []
    for count in COUNTS:
        _, each_us = await measure_voter(count)
        spent.append((count, each_us * count / LEASE_TIMES.heartbeat))
    title = f"Voter with nodes that renew every {LEASE_TIMES.heartbeat:g} s, links included"
    return {"voter_node_us": fit(title, "us a second", "attached node", spent)}
