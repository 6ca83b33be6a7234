"""Take over the accepted configuration at a voter, and mark the nodes that lack some of it."""

from bendwind_core.claims import ClaimGroup
from bendwind_core.membership.content import digest_shared
from bendwind_core.membership.customer_history import update_customers
from bendwind_core.membership.digest import digest_record
from bendwind_core.membership.events import DrainMarksAccepted
from bendwind_core.membership.routing_changes import record_routing_change
from bendwind_core.membership.state import VoterRegistry, find_or_create_row, put_claim_group
from bendwind_core.membership.upstream_updates import mark_dirty
from bendwind_core.world import Configuration

_HELD_VERSIONS = 256


def accept_configuration(
    registry: VoterRegistry, configuration: Configuration, claim_groups: tuple[ClaimGroup, ...]
) -> None:
    """Store a newer configuration and the claim groups, and mark the clients to push them to."""
    if configuration.version > registry.configuration.version:
        _update_services(registry, configuration)
    groups = {group.service: group for group in claim_groups}
    for name in groups:
        find_or_create_row(registry, name)
    for name, row in registry.services.items():
        if row.claim_group != groups.get(name):
            put_claim_group(row, groups.get(name))
            registry.outdated_clients.update(row.watchers)


def accept_drain_marks(registry: VoterRegistry, marks: DrainMarksAccepted) -> None:
    """Replace the drain marks and mark the owners of the affected upstreams as dirty."""
    changed_instances = registry.drain_marks.instances ^ marks.instances
    changed_upstreams = registry.drain_marks.upstreams ^ marks.upstreams
    registry.drain_marks = marks
    for owner, member in registry.members.items():
        touched = tuple(
            upstream
            for upstream in member.state.upstreams
            if owner in changed_instances or upstream.name in changed_upstreams
        )
        mark_dirty(registry, owner, touched, is_urgent=True)


def _update_services(registry: VoterRegistry, configuration: Configuration) -> None:
    services = {service.name: service for service in configuration.services}
    for name in services:
        find_or_create_row(registry, name)
    for name, row in registry.services.items():
        if row.service != services.get(name):
            row.service = services.get(name)
            row.service_digest = digest_record(row.service) if row.service else 0
            row.changed_at = configuration.version
            registry.outdated_clients.update(row.watchers)
    if configuration.routing != registry.configuration.routing:
        oldest = next(iter(registry.held_versions))
        before = registry.configuration.routing
        record_routing_change(
            registry.routing, before, configuration.routing, configuration.version, oldest
        )
        registry.outdated_clients.update(dict.fromkeys(registry.clients))
    if configuration.evacuated != registry.configuration.evacuated:
        registry.evacuated_changed_at = configuration.version
        registry.outdated_clients.update(dict.fromkeys(registry.clients))
    if update_customers(registry.customers, configuration.customers, configuration.version):
        registry.outdated_clients.update(dict.fromkeys(registry.clients))
    registry.configuration = configuration
    registry.shared_digest = digest_shared(
        registry.routing.digest,
        configuration.evacuated,
        registry.customers.digest,
        is_key_needed=registry.customers.customers is not None,
    )
    registry.held_versions[configuration.version] = None
    if len(registry.held_versions) > _HELD_VERSIONS:
        del registry.held_versions[next(iter(registry.held_versions))]
