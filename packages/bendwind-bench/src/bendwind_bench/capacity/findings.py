"""Describe how the design reaches the target size, where it does not, and what would help."""

from bendwind_bench.capacity.model.roles import (
    compute_attached_node_us,
    compute_control_cost,
    compute_holder_cost,
    compute_links_cost,
    compute_placement_percent,
    compute_stored_claims,
    compute_voter_cost,
)
from bendwind_bench.capacity.model.sizes import ADDED_P99_MS, CONTROL_LIMITS, SIZES, Size
from bendwind_bench.capacity.result import CapacityResult
from bendwind_bench.reports.number import format_number as number

US_PER_MS = 1000.0
US_PER_PERCENT = 10_000.0
BYTES_PER_KB = 1024.0
BYTES_PER_MB = 1e6
SECONDS_PER_HOUR = 3600.0


def list_findings(result: CapacityResult, size: Size) -> list[str]:
    """Return the findings at a size; those about the structure of the design come first."""
    return [
        _find_links(result, size),
        _find_renewals(result, size),
        _find_claims(result, size),
        _find_placement(result, size),
        _find_watch(result, size),
        _find_regions(size),
        _find_process(result),
        _find_small_voter(result),
        _find_latency(result),
        _find_calls(result, size),
    ]


def compare(value: float, limit: float) -> str:
    """Return whether a value is within a limit, or by which factor it exceeds the limit."""
    return "within" if value <= limit else f"**over, {number(value / limit)} times**"


def _find_links(result: CapacityResult, size: Size) -> str:
    links, control = compute_links_cost(result, size), compute_control_cost(result, size)
    one = result.slopes["link_dialed_us"].slope + result.slopes["link_accepted_us"].slope
    everyone = size.watched_upstreams
    return (
        f"**Links.** With at most {result.design.subset} upstreams of each of "
        f"{size.watched_services} "
        f"services a node dials {size.links_each_way(result.design.subset):.0f} owners and is "
        f"dialed by as many entries: {number(links.cpu_percent)}% of a core for pings and "
        f"{number(links.memory / BYTES_PER_MB)} MB. All control of a node takes "
        f"{number(control.cpu_percent)}%: "
        f"{compare(control.cpu_percent, CONTROL_LIMITS.cpu_percent)} of "
        f"{CONTROL_LIMITS.cpu_percent}%. Links to all {everyone:.0f} upstreams would be "
        f"{number(everyone * one / US_PER_PERCENT)}% for pings alone."
    )


def _find_renewals(result: CapacityResult, size: Size) -> str:
    voter = compute_voter_cost(result, size)
    nodes = size.upstreams / size.voters
    fast = nodes * compute_attached_node_us(result, 1.0) / US_PER_PERCENT
    lost = voter.cpu_percent * size.voters / (size.voters - 1)
    return (
        f"**Renewals.** {nodes:.0f} nodes at a voter that renew every {size.heartbeat_s:g} s take "
        f"{number(voter.cpu_percent)}% of its one core ({compare(voter.cpu_percent, 100.0)}), with "
        f"one voter gone {number(lost)}% ({compare(lost, 100.0)}); every second it would be "
        f"{number(fast)}%. So the target needs the settings `heartbeat_ms = "
        f"{size.heartbeat_s * 1000:.0f}` and `lease_ms = {size.lease_s * 1000:.0f}`: a node that "
        f"dies in silence is then known as gone after {size.lease_s:g} s, and calls to it in the "
        "meantime fail at the link and are tried elsewhere. What would give room: one node of a "
        "rack that carries its neighbours' renewals in one frame, since the frame is most of it."
    )


def _find_claims(result: CapacityResult, size: Size) -> str:
    design = result.design
    cost = compute_holder_cost(result, size)
    per_second = design.claims / design.claim_retention_s
    needed_claims = compute_stored_claims(result, size)
    today = ", ".join(
        f"{other.title.split()[0]} {compare(compute_stored_claims(result, other), design.claims)}"
        for other in SIZES
        if not other.is_dedicated
    )
    return (
        f"**Claims.** A service's group keeps {design.claims} claims for "
        f"{design.claim_retention_s / SECONDS_PER_HOUR:g} h, so it takes {number(per_second)} new "
        "keys a second for good; then it is full and refuses as not run. With "
        f"{size.keyed_share:.0%} of calls keyed a service brings "
        f"{number(size.claims_per_s)} a second: "
        f"{compare(needed_claims, design.claims)} (today, as assumed: {today}). Its primary spends "
        f"{number(cost.cpu_percent)}% of a core: "
        f"{compare(cost.cpu_percent, CONTROL_LIMITS.cpu_percent)} "
        f"of {CONTROL_LIMITS.cpu_percent}%. "
        "What would change: a group for each part of a service's keys, by hash over all its "
        "nodes, and a retention in the order of the longest resend, stated by the service."
    )


def _find_placement(result: CapacityResult, size: Size) -> str:
    check_ms = result.slopes["placement_us"].value_at(size.upstreams) / US_PER_MS
    share = compute_placement_percent(result, size)
    round_ms = result.design.round_s * 1000.0
    return (
        f"**Claim placement.** The leader's look at all groups, every {result.design.place_s:g} s, "
        f"takes {number(check_ms)} ms at {size.upstreams} nodes, {number(share)}% of its core; the "
        f"log's rounds are {round_ms:.0f} ms apart, and a look delays them by its length at most."
    )


def _find_watch(result: CapacityResult, size: Size) -> str:
    worst = min(result.design.watched_most, size.services)
    upstreams = worst * size.upstreams_per_service
    state = result.slopes["node_memory"].value_at(upstreams)
    return (
        f"**Watches only grow.** A node watches each service that its callers name, up to "
        f"{result.design.watched_most}, and leaves none that exists; a further service is unknown "
        "to it. Were callers to spread every service over every node, it would hold "
        f"{upstreams:.0f} upstreams, {number(state / BYTES_PER_MB)} MB, and up to "
        f"{number(worst * min(result.design.subset, size.upstreams_per_service))} "
        "links each way, as far as "
        f"these are used within {result.design.idle_link_s:g} s. What would change: an idle time "
        "after which a service is left, and entry by a node that serves or calls the service."
    )


def _find_regions(size: Size) -> str:
    return (
        f"**Regions apart.** One log for {size.data_centres} data centres has one majority: the "
        "region without it refuses calls after the lease, but for services with "
        '`on_stale = "serve"`, which go on with the configuration they have, single attempts and '
        "no keys. That is the price of never reverting and at most once; a log for each region "
        "would keep more calls going, and would have to say which region owns which service."
    )


def _read_mb(result: CapacityResult, name: str) -> str:
    return number(result.figures[name] * BYTES_PER_KB / BYTES_PER_MB)


def _find_process(result: CapacityResult) -> str:
    figures = result.figures
    whole = figures["node_kb"] * BYTES_PER_KB
    bare = figures["bare_daemon_kb"] * BYTES_PER_KB
    return (
        f"**Memory of the process.** A node has {number(whole / BYTES_PER_MB)} MB resident; "
        f"{number(bare / BYTES_PER_MB)} MB are there after the same imports without anything that "
        f"runs. Control alone is within {CONTROL_LIMITS.memory / BYTES_PER_MB:g} MB; "
        "the whole process is "
        f"{compare(whole, CONTROL_LIMITS.memory)}. Resident MB after imports: Python alone "
        f"{_read_mb(result, 'bare_python_kb')}, with trio {_read_mb(result, 'bare_trio_kb')}, with "
        f"codecs {_read_mb(result, 'bare_codec_kb')}, with websockets and h11 "
        f"{_read_mb(result, 'bare_links_kb')}; the rest is the operators' HTTP and our own "
        "modules. What would change: hypercorn off the upstream's and operators' ports of plain "
        "nodes."
    )


def _find_small_voter(result: CapacityResult) -> str:
    costs = [compute_voter_cost(result, size) for size in SIZES if not size.is_dedicated]
    worst = max(cost.cpu_percent for cost in costs)
    return (
        f"**A voter beside an upstream, today.** A follower takes {number(worst)}% of a core at "
        f"today's sizes: {compare(worst, CONTROL_LIMITS.cpu_percent)} of an ordinary node's "
        f"{CONTROL_LIMITS.cpu_percent}%. Rounds of the log, barriers and ticks run "
        "whether or not a thing "
        "changes. At the target voters are instances set aside. What would change: a barrier when "
        "a heartbeat needs one, and a tick only when something is due."
    )


def _find_latency(result: CapacityResult) -> str:
    added = result.figures["added_p99_ms"]
    return (
        f"**Added latency.** A hop adds {number(result.figures['added_p50_ms'])} ms at the median "
        f"and {number(added)} ms at p99: {compare(added, ADDED_P99_MS)} of {ADDED_P99_MS} ms. "
        "docs/MEASUREMENTS.md has the way without a hop, and by other HTTP libraries."
    )


def _find_calls(result: CapacityResult, size: Size) -> str:
    slopes = result.slopes
    entry, owner = slopes["entry_call_us"].slope, slopes["owner_call_us"].slope
    decisions = slopes["entry_decision_us"].slope, slopes["owner_decision_us"].slope
    share = size.entry_calls_per_s * (entry + owner) / US_PER_PERCENT
    deepest = share / size.calls_per_external_call * 8
    return (
        f"**Processor time of calls.** A call takes {number(entry)} us of its entry node and "
        f"{number(owner)} us of its owner node, of which the decisions are {number(decisions[0])} "
        f"and {number(decisions[1])} us. At {number(size.entry_calls_per_s)} calls a second and "
        f"node, in both roles, that is {number(share)}% of a core beside the upstream, and "
        f"{number(deepest)}% if every call were 8 deep ({compare(deepest, 100.0)} of the one core "
        "that a process uses). Nearly all is HTTP, frames and task switches in Python."
    )
