"""Choose the upstream of an attempt: the entry node's part of the decision.

The choice is based on load reports and on the attempts this node sent itself. Only the owner knows
whether a slot is free; a no-wait hand-over finds that out.
"""

import math
import random

import msgspec

from bendwind_core.attempts import NotRunReason
from bendwind_core.attempts.retry_after import NoCapacity
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.limits import RetryBudget
from bendwind_core.routing import (
    UpstreamTable,
    choose_subset,
    choose_upstream,
    create_upstream_table,
    find_earliest_capacity_at,
    find_rate_limit,
    record_load,
    set_upstreams,
)
from bendwind_core.world import Instance, Service, StaleAction, Upstream, may_serve
from bendwind_node.calls.call_run import CallRun
from bendwind_node.calls.owner_node import OwnerNode
from bendwind_node.links import LinkHub
from bendwind_node.membership import MembershipTask

# Callers that are refused with the same expected wait for capacity receive a retry time of between
# one and this many times that wait, so that they do not all retry together.
RETRY_AFTER_SPREAD = 3.0


class ServiceState(msgspec.Struct, eq=False):
    """Hold the upstreams that the calls of one service choose from, and their retry budget."""

    table: UpstreamTable
    budget: RetryBudget
    in_flight: int = 0
    last_call_at: Seconds = -math.inf


def create_service_state(service: Service) -> ServiceState:
    """Return the state of a service that has no upstreams yet."""
    return ServiceState(
        create_upstream_table(service.name), RetryBudget(service.limits.retry_ratio)
    )


def refresh_service_state(
    service_state: ServiceState,
    own: Instance,
    membership: MembershipTask,
    hub: LinkHub,
    now: Seconds,
) -> None:
    """Update the upstreams to the announced and admitted ones and those still reachable."""
    name = service_state.table.service
    service = membership.services.get(name)
    announced = membership.upstreams(name)
    admitted = [u for u in announced if service is not None and _may_use(membership, service, u)]
    subset = choose_subset(own.name, own.data_centre, admitted)
    announced_names = {upstream.name for upstream in announced}
    reachable = _list_reachable(service_state.table, announced_names, membership, hub)
    before = {view.upstream.owner.name for view in service_state.table.upstreams.values()}
    set_upstreams(service_state.table, (*subset, *reachable), now)
    # An attempt at an owner that stopped responding should fail before its deadline.
    for owner in before - {upstream.owner.name for upstream in subset}:
        hub.check(owner)


def _may_use(membership: MembershipTask, service: Service, upstream: Upstream) -> bool:
    is_evacuated = upstream.owner.data_centre in membership.evacuated
    return may_serve(service, upstream.name) and not is_evacuated


def _list_reachable(
    table: UpstreamTable, announced_names: set[str], membership: MembershipTask, hub: LinkHub
) -> list[Upstream]:
    """Return the upstreams that no voter lists any more but whose owners are still reachable.

    An instance that is cut off only from the voters continues to serve. Its owner node knows best
    whether the upstream is still there, and refuses the next attempt if it is not.
    """
    # With two fifths of the nodes cut off from the voters for 7 s, keeping these upstreams earned
    # 57% of the credit of the worst seconds instead of 45% (one run each).
    return [
        view.upstream
        for name, view in table.upstreams.items()
        if name not in announced_names
        and view.is_open
        and view.upstream.owner.data_centre not in membership.evacuated
        and hub.has_dialed_link(view.upstream.owner)
    ]


def may_send(membership: MembershipTask, run: CallRun) -> bool:
    """Return whether the configuration is fresh, or may be stale for this attempt.

    A service that is served with a stale configuration permits only the first attempt, or every
    attempt if it is reached by routes only.
    """
    if membership.is_fresh():
        return True
    service = run.call.service
    is_first = not run.call.attempts
    return service.on_stale is StaleAction.SERVE and (is_first or service.routed_only)


def choose_next_upstream(
    service_state: ServiceState,
    run: CallRun,
    excluded: frozenset[str],
    own: Instance,
    now: Seconds,
    rng: random.Random,
    *,
    stays_near: bool,
) -> Upstream | NoCapacity | None:
    """Return the upstream of a call's next attempt, or the reason why there is none."""
    service = run.call.service
    near = own.data_centre if service.near_first else None
    chosen = choose_upstream(
        service.policy,
        service_state.table,
        excluded,
        now,
        rng,
        near,
        stays_near=stays_near,
        target_at=run.call.target_at,
    )
    return _make_no_capacity(service_state.table, now, rng) if chosen is None else chosen


def _make_no_capacity(table: UpstreamTable, now: Seconds, rng: random.Random) -> NoCapacity | None:
    """Return when there is capacity again if only cold or limited upstreams are left, else None."""
    capacity_at = find_earliest_capacity_at(table)
    if capacity_at is None or capacity_at <= now:
        return None
    wait_ms = (capacity_at - now) * MILLISECONDS_PER_SECOND
    limits = [find_rate_limit(table.notices, view.upstream) for view in table.upstreams.values()]
    if all(limit is None for limit in limits):
        return NoCapacity(wait_ms)
    # A rate limit permits one request at that time, and one more after each further wait of this
    # length, so the retry times are spread.
    return NoCapacity(wait_ms * rng.uniform(1.0, RETRY_AFTER_SPREAD), NotRunReason.LIMITED)


def record_own_load(service_state: ServiceState, owner: OwnerNode, now: Seconds) -> None:
    """Record the exact load of the upstreams that this process owns."""
    for name in owner.register.owned:
        if name in service_state.table.upstreams:
            record_load(service_state.table, name, owner.read_load(name), now)
