"""Choose the upstream of an attempt: the entry node's part of the decision.

What it goes by is what reports said and what it sent itself; whether a slot is free only the owner
knows, which is asked by a hand-over that may not wait.
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

# Callers that are refused by one word of when there is room come back up to so many times as late.
RETURN_SPREAD = 3.0


class ServiceChoice(msgspec.Struct, eq=False):
    """Hold the upstreams that one service's calls choose from, and what their tries may cost."""

    table: UpstreamTable
    budget: RetryBudget
    in_flight: int = 0
    called_at: Seconds = -math.inf


def create_choice(service: Service) -> ServiceChoice:
    """Create the choice of a service that has no upstreams yet."""
    return ServiceChoice(
        create_upstream_table(service.name), RetryBudget(service.limits.retry_ratio)
    )


def refresh_choice(
    choice: ServiceChoice, own: Instance, membership: MembershipTask, hub: LinkHub, now: Seconds
) -> None:
    """Take over the announced upstreams that the service's patterns admit."""
    name = choice.table.service
    service = membership.services.get(name)
    announced = membership.upstreams(name)
    admitted = [u for u in announced if service is not None and _may_use(membership, service, u)]
    used = choose_subset(own.name, own.data_centre, admitted)
    listed = {upstream.name for upstream in announced}
    reached = _list_reached(choice.table, listed, membership, hub)
    before = {view.upstream.owner.name for view in choice.table.upstreams.values()}
    set_upstreams(choice.table, (*used, *reached), now)
    # An attempt at an owner that fell silent should not have to wait for its deadline.
    for owner in before - {upstream.owner.name for upstream in used}:
        hub.check(owner)


def _may_use(membership: MembershipTask, service: Service, upstream: Upstream) -> bool:
    is_evacuated = upstream.owner.data_centre in membership.evacuated
    return may_serve(service, upstream.name) and not is_evacuated


def _list_reached(
    table: UpstreamTable, listed: set[str], membership: MembershipTask, hub: LinkHub
) -> list[Upstream]:
    """List the upstreams that no voter names any more though their owners are reached.

    An instance that is cut off from the voters alone goes on serving. Its owner node knows
    best whether the upstream stays, and says so to the next attempt if it does not.
    """
    # With two fifths of the nodes cut off from the voters for 7 s, 57% of the credit of the
    # worst seconds was earned instead of 45% (one run each).
    return [
        view.upstream
        for name, view in table.upstreams.items()
        if name not in listed
        and not view.is_draining
        and view.upstream.owner.data_centre not in membership.evacuated
        and hub.reaches(view.upstream.owner)
    ]


def may_send(membership: MembershipTask, run: CallRun) -> bool:
    """Tell whether the configuration is fresh, or served stale and this the first attempt."""
    if membership.is_fresh():
        return True
    service = run.call.service
    is_first = not run.call.attempts
    return service.on_stale is StaleAction.SERVE and (is_first or service.routed_only)


def choose_for(
    choice: ServiceChoice,
    run: CallRun,
    excluded: frozenset[str],
    own: Instance,
    now: Seconds,
    rng: random.Random,
    *,
    stays: bool,
) -> Upstream | NoCapacity | None:
    """Return the upstream of a call's next attempt, or why there is none."""
    service = run.call.service
    near = own.data_centre if service.near_first else None
    chosen = choose_upstream(
        service.policy,
        choice.table,
        excluded,
        now,
        rng,
        near,
        stays_near=stays,
        target_at=run.call.target_at,
    )
    return _explain_absence(choice.table, now, rng) if chosen is None else chosen


def _explain_absence(table: UpstreamTable, now: Seconds, rng: random.Random) -> NoCapacity | None:
    """Say when there is room again where only cold or limited upstreams are left, else None."""
    room_at = find_earliest_capacity_at(table)
    if room_at is None or room_at <= now:
        return None
    wait_ms = (room_at - now) * MILLISECONDS_PER_SECOND
    limits = [find_rate_limit(table.notices, view.upstream) for view in table.upstreams.values()]
    if all(limit is None for limit in limits):
        return NoCapacity(wait_ms)
    # At a limit there is room for one at that moment, and for one more each such while.
    return NoCapacity(wait_ms * rng.uniform(1.0, RETURN_SPREAD), NotRunReason.LIMITED)


def note_own_load(choice: ServiceChoice, owner: OwnerNode, now: Seconds) -> None:
    """Have a choice weigh the exact load of the upstreams beside this process."""
    for name in owner.register.owned:
        if name in choice.table.upstreams:
            record_load(choice.table, name, owner.read_load(name), now)
