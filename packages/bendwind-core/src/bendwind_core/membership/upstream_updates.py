"""Send changed upstreams from a voter to the nodes that watch their services."""

from collections.abc import Iterator

import msgspec

from bendwind_core.membership.digest import digest_record
from bendwind_core.membership.events import RegistryEffect, SendTo
from bendwind_core.membership.messages import WatchUpdate
from bendwind_core.membership.state import (
    ServiceRow,
    VoterRegistry,
    discard_empty_row,
    find_or_create_row,
)
from bendwind_core.membership.watch_cache import UpstreamKey, upstream_key
from bendwind_core.world import Upstream, UpstreamState


def mark_dirty(
    registry: VoterRegistry, owner: str, upstreams: tuple[Upstream, ...], *, is_urgent: bool
) -> None:
    """Record that the upstreams of a node may differ from what was pushed."""
    queue = registry.urgent_services if is_urgent else registry.dirty_services
    for upstream in upstreams:
        find_or_create_row(registry, upstream.service).dirty_owners.add(owner)
        queue[upstream.service] = None


def flush_service(registry: VoterRegistry, service: str, effects: list[RegistryEffect]) -> None:
    """Send what has changed of a service's upstreams to all nodes that watch it."""
    row = find_or_create_row(registry, service)
    changes = [
        change
        for owner in row.dirty_owners
        for change in _find_changes(registry, service, row, owner)
    ]
    row.dirty_owners.clear()
    row.drain_marks = registry.drain_marks.version
    for change in changes:
        _put_change(row, change)
    if changes:
        update = WatchUpdate(service, tuple(changes), False, row.drain_marks)
        effects.extend(SendTo(node, update) for node in row.watchers)
    discard_empty_row(registry, service, row)


def make_full_update(registry: VoterRegistry, service: str) -> WatchUpdate:
    """Return an update with all upstreams of a service, as they were pushed last."""
    row = find_or_create_row(registry, service)
    # Marks that came since have changed nothing here, or what they have changed is yet to be found.
    marks = row.drain_marks if row.dirty_owners else registry.drain_marks.version
    return WatchUpdate(service, tuple(row.upstreams.values()), drain_marks=marks)


def _find_changes(
    registry: VoterRegistry, service: str, row: ServiceRow, owner: str
) -> Iterator[Upstream]:
    pushed = {key: upstream for key, upstream in row.upstreams.items() if key[0] == owner}
    present = _list_present(registry, service, owner)
    for key, upstream in present.items():
        if pushed.get(key) != upstream:
            yield upstream
    for key, upstream in pushed.items():
        if key not in present:
            yield msgspec.structs.replace(upstream, state=UpstreamState.GONE)


def _list_present(registry: VoterRegistry, service: str, owner: str) -> dict[UpstreamKey, Upstream]:
    member = registry.members.get(owner)
    if member is None or not member.is_visible:
        return {}
    return {
        upstream_key(upstream): _mark_draining(registry, upstream)
        for upstream in member.state.upstreams
        if upstream.service == service
    }


def _mark_draining(registry: VoterRegistry, upstream: Upstream) -> Upstream:
    is_marked = (
        upstream.name in registry.drain_marks.upstreams
        or upstream.owner.name in registry.drain_marks.instances
    )
    if is_marked and upstream.state is UpstreamState.READY:
        return msgspec.structs.replace(upstream, state=UpstreamState.DRAINING)
    return upstream


def _put_change(row: ServiceRow, change: Upstream) -> None:
    old = row.upstreams.pop(upstream_key(change), None)
    if old:
        row.digest ^= digest_record(old)
    if change.state is not UpstreamState.GONE:
        row.upstreams[upstream_key(change)] = change
        row.digest ^= digest_record(change)
