"""Say where the design does not reach a size, by how much, and what would change."""

from bendwind_bench.capacity.model.roles import (
    claims_kept,
    cost_of_holder,
    cost_of_links,
    cost_of_voter,
    exchange_us,
    placement_percent,
)
from bendwind_bench.capacity.model.sizes import ADDED_P99_MS, CONTROL, SIZES, Size
from bendwind_bench.capacity.result import CapacityResult
from bendwind_bench.reports.number import format_number as number
from bendwind_core.claims import ClaimLimits
from bendwind_node.claims.placer import PLACE_EVERY
from bendwind_node.links.hub import PING_INTERVAL_S

US_PER_MS = 1000.0
US_PER_SECOND = 1e6
SECONDS_PER_HOUR = 3600.0


def list_findings(result: CapacityResult, size: Size) -> list[str]:
    """List the findings at a size, those of structure first."""
    return [
        _find_links(result, size),
        _find_heartbeats(result, size),
        _find_placement(result, size),
        _find_claims(result, size),
        _find_watch(size),
        _find_small_voter(result),
        _find_latency(result),
    ]


def _find_links(result: CapacityResult, size: Size) -> str:
    cost = cost_of_links(result, size)
    one = result.slopes["link_dialed_us"].slope + result.slopes["link_accepted_us"].slope
    carried = CONTROL.cpu_percent * 10_000.0 / one
    return (
        f"**Links.** A node that calls {size.watched} services of {size.per_service:.0f} upstreams "
        f"dials {size.links_each_way:.0f} owners and is dialed by as many entries. Open links "
        f"alone, which ping every {PING_INTERVAL_S:g} s from both ends, take "
        f"{number(cost.cpu_percent)}% of a core and {number(cost.memory / 1e6)} MB; the limit of "
        f"{CONTROL.cpu_percent}% is reached at {carried:.0f} links each way. What would change: "
        "ping from the dialer only and more rarely, close idle links, and let an entry use a fixed "
        "subset of a service's upstreams, chosen by rendezvous hash, near ones first."
    )


def _find_heartbeats(result: CapacityResult, size: Size) -> str:
    cost = cost_of_voter(result, size)
    each = exchange_us(result)
    most = US_PER_SECOND / each
    return (
        f"**Renewals.** {size.upstreams / size.voters:.0f} heartbeats a second at a voter of "
        f"{size.voters}, at {number(each)} us each, links included, make {number(cost.cpu_percent)}"
        f"% of its one core; with one voter gone "
        f"{number(cost.cpu_percent * size.voters / (size.voters - 1))}%. One core takes about "
        f"{most:.0f} a second. Nearly all of it is the frame, not the decision. What would change: "
        "one node of a rack carries its neighbours' renewals in one frame, or the reply states "
        "the next interval, which grows with the nodes that a voter has, the lease with it."
    )


def _find_placement(result: CapacityResult, size: Size) -> str:
    look = result.slopes["placement_us"].at(size.upstreams)
    round_s = size.services * look / US_PER_SECOND
    return (
        f"**Claim placement.** The leader looks at each of {size.services} groups every "
        f"{PLACE_EVERY:g} s and goes through all {size.upstreams} nodes for each: "
        f"{number(look / US_PER_MS)} ms a group, {number(round_s)} s a round, "
        f"{number(placement_percent(result, size))}% of a core. While it lasts the leader sends no "
        "heartbeats. What would change: one index of living nodes a round, and a look only at "
        "groups a member of which went, leaves or has copied."
    )


def _find_claims(result: CapacityResult, size: Size) -> str:
    limits = ClaimLimits()
    cost = cost_of_holder(result, size)
    per_second = limits.claims / limits.retention
    shards = claims_kept(size) / limits.claims
    return (
        f"**Claims.** A service's group keeps {limits.claims} claims for "
        f"{limits.retention / SECONDS_PER_HOUR:g} h, so it takes {number(per_second)} new keys a "
        f"second for good; then it is full and refuses. With {size.keyed:.0%} of calls keyed a "
        f"service brings {number(size.claims_per_s)} a second, which is {number(shards)} times "
        f"that, and its primary spends {number(cost.cpu_percent)}% of a core. What would change: "
        "shards of a service by key over all its nodes, and a retention in the order of the "
        "longest resend, stated by the service."
    )


def _find_watch(size: Size) -> str:
    return (
        "**Watches only grow.** A node watches any service name that a caller states and never "
        f"stops. If callers spread over all nodes, each node watches all {size.services} services "
        f"and {size.upstreams} upstreams, and the figures above, worked out for {size.watched} "
        "services, do not hold. What would change: a bound, an idle time after which a service is "
        "left, and entry by a node that serves or calls the service anyway."
    )


def _find_small_voter(result: CapacityResult) -> str:
    costs = [cost_of_voter(result, size) for size in SIZES if not size.is_set_aside]
    worst = max(cost.cpu_percent for cost in costs)
    state = "over" if worst > CONTROL.cpu_percent else "within"
    return (
        f"**A voter beside an upstream, today.** A follower takes {number(worst)}% of a core "
        f"at today's sizes, {state} the {CONTROL.cpu_percent}% of an ordinary node: rounds of the "
        "log, barriers and ticks run whether or not anything changes. At the target voters are "
        "instances set aside. What would change: barriers on demand of heartbeats, and ticks only "
        "when something is due."
    )


def _find_latency(result: CapacityResult) -> str:
    entry = result.slopes["entry_call_us"].slope
    owner = result.slopes["owner_call_us"].slope
    added = result.figures["added_p99_ms"]
    state = "within" if added <= ADDED_P99_MS else f"over, {number(added / ADDED_P99_MS)} times"
    return (
        f"**Added latency.** A hop adds {number(added)} ms at p99 ({state} the {ADDED_P99_MS} ms) "
        f"and takes {number(entry)} us of the entry node's and {number(owner)} us of the owner "
        "node's processor, of which the decisions are "
        f"{number(result.slopes['entry_decision_us'].slope)} and "
        f"{number(result.slopes['owner_decision_us'].slope)} us. Most is HTTP and frames. "
        "What would change: fewer tasks and copies per call at both edges."
    )
