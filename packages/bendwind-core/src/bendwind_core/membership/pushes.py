"""Push configuration and upstreams from a voter to the nodes that watch them."""

import functools
import operator

from bendwind_core.claims import ClaimGroup, parse_node_name
from bendwind_core.core import Seconds
from bendwind_core.membership.customer_history import make_customers_change
from bendwind_core.membership.events import RegistryEffect, SendTo
from bendwind_core.membership.messages import (
    ConfigurationChanged,
    Heartbeat,
    VoterList,
    Watch,
)
from bendwind_core.membership.routing_changes import find_routing_change
from bendwind_core.membership.state import (
    Client,
    ServiceRow,
    VoterRegistry,
    discard_empty_row,
    find_or_create_row,
)
from bendwind_core.membership.upstream_updates import flush_service, make_full_update
from bendwind_core.world import Instance

# Maximum number of pushes per flush, so that the loss of a data centre does not delay heartbeats.
_PUSHES_PER_FLUSH = 1000
# What was sent is taken to arrive within this time while its link stays open. Until then, a later
# push contains only what has changed since, and a large push is not repeated: on a slow link, a
# copy would delay all later versions by as much time again.
PUSH_TRAVEL_LIMIT: Seconds = 1.5
# A push with more services, routes and customers than this is large. A smaller one is repeated for
# each heartbeat that does not confirm it.
LARGE_PUSH_ITEMS = 128


def record_report(client: Client, version: int, customers: int) -> None:
    """Record the versions that a node reports, and drop the pushes that they confirm."""
    if version < client.version or customers < client.customers:
        # The node could not apply what was sent.
        client.pushes.clear()
    client.version = version
    client.customers = customers
    for pushed in [pushed for pushed in client.pushes if pushed <= version]:
        del client.pushes[pushed]


def push_missing_configuration(
    registry: VoterRegistry, beat: Heartbeat, client: Client, effects: list[RegistryEffect]
) -> bool:
    """Return whether a node's configuration is current; if it is not, push what it lacks."""
    rows = [find_or_create_row(registry, name) for name in client.services]
    has_all = is_current(registry, beat.version, beat.customers, rows)
    is_ahead = beat.version > registry.configuration.version
    if not has_all and not is_ahead:
        _repeat_push(registry, beat.node.name, client, effects)
    return has_all


def _repeat_push(
    registry: VoterRegistry, node: str, client: Client, effects: list[RegistryEffect]
) -> None:
    """Push all that a node lacks by its own report, unless a large push of it is under way."""
    message = make_push(registry, client.services, client.watch, client.version, client.customers)
    is_newest_pushed = message.version in client.pushes
    if is_large(message) and is_newest_pushed and _has_push_under_way(registry, client):
        return
    client.pushes.clear()
    _send_push(registry, node, client, message, effects)


def _has_push_under_way(registry: VoterRegistry, client: Client) -> bool:
    oldest = next(iter(client.pushes.values()), None)
    return oldest is not None and registry.ticked_at - oldest < PUSH_TRAVEL_LIMIT


def is_current(
    registry: VoterRegistry, version: int, customers: int, rows: list[ServiceRow]
) -> bool:
    """Return whether nothing in the rows or for all nodes changed since these versions."""
    # Between two versions that this voter held, a service may have changed and changed back.
    # Therefore the voter cannot determine the node's state from a version it never held itself.
    newest_for_all = max(registry.routing.newest, registry.evacuated_changed_at)
    if version not in registry.held_versions or newest_for_all > version:
        return False
    if customers and customers not in registry.held_versions:
        return False
    if registry.customers.newest_change > customers:
        return False
    return all(row.changed_at <= version for row in rows)


def _sum_digests(rows: list[ServiceRow]) -> int:
    return functools.reduce(operator.xor, (row.digest for row in rows), 0)


def digest_watched(registry: VoterRegistry, services: tuple[str, ...]) -> int:
    """Return the digest of all that the configuration contains for a node that watches services."""
    digests = (find_or_create_row(registry, name).service_digest for name in services)
    return functools.reduce(operator.xor, digests, registry.shared_digest)


def answer_watch(
    registry: VoterRegistry, watch: Watch, client: Client, effects: list[RegistryEffect]
) -> None:
    """Push to a node what it lacks of the services in its Watch."""
    # 3,000 nodes may move here from another voter at once. Most of them already hold all of it and
    # are sent nothing.
    rows = [find_or_create_row(registry, name) for name in watch.services]
    is_ahead = watch.version > registry.configuration.version
    record_report(client, watch.version, watch.customers)
    if watch.digest != _sum_digests(rows):
        _push_watched(registry, watch.node, client, effects)
    elif not is_ahead and not is_current(registry, watch.version, watch.customers, rows):
        _push_configuration(registry, watch.node, client, effects)


def compare_digest(
    registry: VoterRegistry, beat: Heartbeat, client: Client, effects: list[RegistryEffect]
) -> bool:
    """Return whether a node holds all that the voter does; push all upstreams after a loss."""
    rows = [find_or_create_row(registry, name) for name in client.services]
    is_same = beat.digest == _sum_digests(rows)
    # One mismatch may come from a push that crossed the heartbeat; two in a row mean a lost push.
    if not is_same and client.has_digest_mismatch:
        _push_watched(registry, beat.node.name, client, effects)
    client.has_digest_mismatch = not is_same and not client.has_digest_mismatch
    return is_same


def is_large(message: ConfigurationChanged) -> bool:
    """Return whether a push is so large that it should not be sent twice."""
    routes = message.routing.routes if message.routing is not None else ()
    customers = message.customers.put if message.customers is not None else ()
    return len(message.services) + len(routes) + len(customers) > LARGE_PUSH_ITEMS


def _find_base(registry: VoterRegistry, version: int) -> int:
    """Return a version that a node holds, 0 if the changes since then are not known."""
    return version if version in registry.held_versions else 0


def _push_configuration(
    registry: VoterRegistry, node: str, client: Client, effects: list[RegistryEffect]
) -> None:
    """Push what has changed since the last push under way, or else since the node's report."""
    if _has_push_under_way(registry, client):
        version = customers = next(reversed(client.pushes))
    else:
        client.pushes.clear()
        version, customers = client.version, client.customers
    message = make_push(registry, client.services, client.watch, version, customers)
    _send_push(registry, node, client, message, effects)


def _send_push(
    registry: VoterRegistry,
    node: str,
    client: Client,
    message: ConfigurationChanged,
    effects: list[RegistryEffect],
) -> None:
    client.pushes.setdefault(message.version, registry.ticked_at)
    effects.append(SendTo(node, message))


def make_push(
    registry: VoterRegistry, services: tuple[str, ...], watch: int, version: int, customers: int
) -> ConfigurationChanged:
    """Return what a node lacks that holds these versions of its services and of the customers."""
    base = _find_base(registry, version)
    rows = [(name, find_or_create_row(registry, name)) for name in services]
    changed = [(name, row) for name, row in rows if base == 0 or row.changed_at > base]
    groups = tuple(row.claim_group for _, row in rows if row.claim_group)
    return ConfigurationChanged(
        registry.configuration.version,
        tuple(row.service for _, row in changed if row.service),
        tuple(name for name, row in changed if base and not row.service),
        groups,
        base,
        watch,
        _find_holders(registry, groups),
        find_routing_change(registry.routing, registry.configuration.routing, base),
        registry.configuration.evacuated,
        make_customers_change(registry.customers, _find_base(registry, customers)),
        digest_watched(registry, services),
    )


def _find_holders(registry: VoterRegistry, groups: tuple[ClaimGroup, ...]) -> tuple[Instance, ...]:
    named = {
        parse_node_name(member)
        for group in groups
        for member in (*group.members, group.joining)
        if member
    }
    known = [registry.members[name].state.node for name in sorted(named & registry.members.keys())]
    return tuple(known)


def _push_watched(
    registry: VoterRegistry, node: str, client: Client, effects: list[RegistryEffect]
) -> None:
    # The digest also covers the claim groups, which are sent with a configuration.
    if client.version <= registry.configuration.version:
        _push_configuration(registry, node, client, effects)
    for name in client.services:
        effects.append(SendTo(node, make_full_update(registry, name)))


def set_watch(registry: VoterRegistry, node: str, client: Client, watch: Watch) -> None:
    """Replace the services that a node watches."""
    _stop_watching(registry, node, client)
    client.watch = watch.sequence
    client.pushes.clear()
    client.services = watch.services
    for name in watch.services:
        find_or_create_row(registry, name).watchers[node] = None


def remove_client(registry: VoterRegistry, node: str) -> None:
    """Remove a node that is no longer attached to this voter."""
    client = registry.clients.pop(node, None)
    if client:
        _stop_watching(registry, node, client)
        registry.outdated_clients.pop(node, None)
        registry.clients_awaiting_voters.pop(node, None)


def _stop_watching(registry: VoterRegistry, node: str, client: Client) -> None:
    for name in client.services:
        row = registry.services.get(name)
        if row:
            row.watchers.pop(node, None)
            discard_empty_row(registry, name, row)


def flush(registry: VoterRegistry, effects: list[RegistryEffect]) -> None:
    """Push changes since the last flush; voter lists and drains go first and ignore the limit."""
    limit = len(effects) + _PUSHES_PER_FLUSH
    while registry.clients_awaiting_voters:
        effects.append(
            SendTo(_pop_first(registry.clients_awaiting_voters), VoterList(registry.voters))
        )
    while registry.urgent_services:
        flush_service(registry, _pop_first(registry.urgent_services), effects)
    while registry.outdated_clients and len(effects) < limit:
        node = _pop_first(registry.outdated_clients)
        client = registry.clients.get(node)
        if client:
            _push_configuration(registry, node, client, effects)
    while registry.dirty_services and len(effects) < limit:
        flush_service(registry, _pop_first(registry.dirty_services), effects)


def _pop_first(queue: dict[str, None]) -> str:
    name = next(iter(queue))
    del queue[name]
    return name
