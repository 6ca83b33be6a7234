"""Measure the cost of lease renewals for a voter over real links, in the form for the page."""

from bendwind_bench.capacity.slope import Slope, fit
from bendwind_bench.slopes_membership.fixture import LEASE_TIMES
from bendwind_bench.slopes_membership.links import COUNTS, measure_voter


async def measure_renewals() -> dict[str, Slope]:
    """Measure a voter with growing numbers of nodes, one run after the other."""
    voter_us_per_s = []
    for count in COUNTS:
        _, each_us = await measure_voter(count)
        voter_us_per_s.append((count, each_us * count / LEASE_TIMES.heartbeat))
    title = f"Voter with nodes that renew every {LEASE_TIMES.heartbeat:g} s, links included"
    return {"voter_node_us": fit(title, "us a second", "attached node", voter_us_per_s)}
