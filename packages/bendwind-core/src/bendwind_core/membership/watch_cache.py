"""Cache the configuration, claim groups and upstreams of the services that a node watches."""

import msgspec
from msgspec.structs import replace

from bendwind_core.claims import ClaimGroup
from bendwind_core.customers import (
    CustomersChange,
    CustomerTable,
    change_customers,
    create_customer_table,
)
from bendwind_core.membership.content import HeldContent, remove_service
from bendwind_core.membership.digest import digest_record
from bendwind_core.membership.messages import ConfigurationChanged, WatchUpdate
from bendwind_core.world import Upstream, UpstreamState

UpstreamKey = tuple[str, str]


class WatchCache(msgspec.Struct):
    """Hold the configuration, claim groups and upstreams of watched services, and their digest.

    `upstreams` is keyed by service, then by (owner, upstream); `digest` covers upstreams and
    claim groups. `customers` holds all customers, None if no key is needed; `customers_digest`
    covers them. `content` and the customers are what the applied version contains. `drain_marks`
    is the newest version of the drain marks by which a voter has found the states of upstreams.
    """

    watched: dict[str, None] = msgspec.field(default_factory=dict)
    content: HeldContent = HeldContent()
    claim_groups: dict[str, ClaimGroup] = msgspec.field(default_factory=dict)
    upstreams: dict[str, dict[UpstreamKey, Upstream]] = msgspec.field(default_factory=dict)
    digest: int = 0
    customers: CustomerTable | None = None
    customers_digest: int = 0
    drain_marks: int = 0


def upstream_key(upstream: Upstream) -> UpstreamKey:
    """Return the key of a registration: the names of the owner and of the upstream."""
    return upstream.owner.name, upstream.name


def upstream_order(upstream: Upstream) -> tuple[int, int]:
    """Return the sort key of an upstream's announcements; the highest is the newest."""
    return upstream.owner.incarnation, upstream.sequence


def put_content(cache: WatchCache, content: HeldContent, message: ConfigurationChanged) -> None:
    """Replace the content by the one that results from a message."""
    cache.content = content
    if message.base == 0:
        listed = {group.service for group in message.claim_groups}
        _remove_claim_groups(cache, set(cache.claim_groups) - listed)


def is_for_held_customers(cache: WatchCache, change: CustomersChange) -> bool:
    """Return whether a change of customers is whole, or was made for the customers held."""
    return change.base == 0 or _compute_changed_digest(cache, change) == change.digest


def put_customers(cache: WatchCache, change: CustomersChange) -> frozenset[str]:
    """Apply a change of customers and return the names of those that differ."""
    differing = _find_differing(cache, change)
    if not change.is_key_needed:
        cache.customers = None
    elif change.base == 0:
        cache.customers = create_customer_table(change.put)
    else:
        change_customers(cache.customers, change.put, change.removed)
    cache.customers_digest = change.digest
    return differing


def _find_differing(cache: WatchCache, change: CustomersChange) -> frozenset[str]:
    held = cache.customers.by_name if cache.customers else {}
    put = {customer.name for customer in change.put if held.get(customer.name) != customer}
    if change.base:
        return frozenset(put | (held.keys() & set(change.removed)))
    return frozenset(put | (held.keys() - {customer.name for customer in change.put}))


def _compute_changed_digest(cache: WatchCache, change: CustomersChange) -> int | None:
    """Return the digest of the held customers after a change, None if the change does not fit."""
    if change.is_key_needed is not (cache.customers is not None):
        return None
    if cache.customers is None:
        return 0
    held = cache.customers.by_name
    digest = cache.customers_digest
    for name in {*change.removed, *(customer.name for customer in change.put)}:
        if name in held:
            digest ^= digest_record(held[name])
    for customer in change.put:
        digest ^= digest_record(customer)
    return digest


def _remove_claim_groups(cache: WatchCache, services: set[str]) -> None:
    for service in services:
        cache.digest ^= digest_record(cache.claim_groups.pop(service))


def put_claim_groups(cache: WatchCache, groups: tuple[ClaimGroup, ...]) -> bool:
    """Store claim groups of the same or a newer epoch; return whether any changed."""
    is_changed = False
    for group in groups:
        held = cache.claim_groups.get(group.service)
        if group.service not in cache.watched or (held and group.epoch < held.epoch):
            continue
        if held:
            cache.digest ^= digest_record(held)
        cache.claim_groups[group.service] = group
        cache.digest ^= digest_record(group)
        is_changed = is_changed or group != held
    return is_changed


def put_upstreams(cache: WatchCache, update: WatchUpdate) -> bool:
    """Apply an update of upstreams and return whether the set changed.

    A voter that lacks newer drain marks makes no draining upstream ready.
    """
    if update.service not in cache.watched:
        return False
    marks = cache.drain_marks if update.drain_marks is None else update.drain_marks
    has_all_marks = marks >= cache.drain_marks
    cache.drain_marks = max(marks, cache.drain_marks)
    held = cache.upstreams.setdefault(update.service, {})
    pushed = {upstream_key(upstream) for upstream in update.upstreams}
    dropped = [key for key in held if key not in pushed] if update.is_full else []
    for key in dropped:
        cache.digest ^= digest_record(held.pop(key))
    upstreams = update.upstreams
    if not has_all_marks:
        upstreams = tuple(_keep_draining(held, upstream) for upstream in upstreams)
    changed = [_put_upstream(cache, held, upstream) for upstream in upstreams]
    return bool(dropped) or any(changed)


def _keep_draining(held: dict[UpstreamKey, Upstream], upstream: Upstream) -> Upstream:
    old = held.get(upstream_key(upstream))
    is_draining = old is not None and old.state is UpstreamState.DRAINING
    if is_draining and upstream.state is UpstreamState.READY:
        return replace(upstream, state=UpstreamState.DRAINING)
    return upstream


def _put_upstream(cache: WatchCache, held: dict[UpstreamKey, Upstream], upstream: Upstream) -> bool:
    key = upstream_key(upstream)
    old = held.get(key)
    if old == upstream or (old and upstream_order(upstream) < upstream_order(old)):
        return False
    if old:
        cache.digest ^= digest_record(held.pop(key))
    if upstream.state is not UpstreamState.GONE:
        held[key] = upstream
        cache.digest ^= digest_record(upstream)
    return old is not None or key in held


def remove_watched(cache: WatchCache, service: str) -> None:
    """Remove a service that is no longer watched."""
    cache.watched.pop(service, None)
    cache.content = remove_service(cache.content, service)
    _remove_claim_groups(cache, {service} & cache.claim_groups.keys())
    for upstream in cache.upstreams.pop(service, {}).values():
        cache.digest ^= digest_record(upstream)


def list_upstreams(cache: WatchCache, service: str) -> tuple[Upstream, ...]:
    """List the upstreams of a service; of equal names only that of the newest owner."""
    newest: dict[str, Upstream] = {}
    for upstream in cache.upstreams.get(service, {}).values():
        other = newest.get(upstream.name)
        if other is None or upstream_order(upstream) > upstream_order(other):
            newest[upstream.name] = upstream
    return tuple(newest.values())
