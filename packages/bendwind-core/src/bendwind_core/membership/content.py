"""Hold what a version contains for a node, with a digest that node and voter can compare.

A version only names a content. A node that hears of changes from several voters has to check that
what it holds under a version is what that version contains.
"""

import functools
import operator
from collections.abc import Iterable, Mapping

import msgspec

from bendwind_core.membership.digest import digest_record, digest_text
from bendwind_core.membership.messages import ConfigurationChanged
from bendwind_core.membership.routing_changes import HeldRouting, apply_routing_change
from bendwind_core.world import Service

# Distinguishes a deployment that has no customers yet from one whose requests need no key.
_KEYS_NEEDED = digest_text("keys needed")


class HeldContent(msgspec.Struct, frozen=True):
    """Hold the services, routes and evacuated data centres that a node has received.

    `services` has those of the watched services that exist; `services_digest` covers them.
    """

    services: Mapping[str, Service] = msgspec.field(default_factory=dict)
    services_digest: int = 0
    routing: HeldRouting = HeldRouting()
    evacuated: frozenset[str] = frozenset()


def digest_services(services: Iterable[Service]) -> int:
    """Return the digest of services."""
    return functools.reduce(operator.xor, map(digest_record, services), 0)


def digest_shared(
    routing_digest: int, evacuated: Iterable[str], customers_digest: int, *, is_key_needed: bool
) -> int:
    """Return the digest of what a version contains for all nodes alike."""
    names = (digest_text(f"evacuated\n{name}") for name in evacuated)
    customers = customers_digest ^ _KEYS_NEEDED if is_key_needed else 0
    return functools.reduce(operator.xor, names, routing_digest ^ customers)


def digest_content(content: HeldContent, customers_digest: int, *, is_key_needed: bool) -> int:
    """Return the digest of all that a version contains for a node."""
    return content.services_digest ^ digest_shared(
        content.routing.digest, content.evacuated, customers_digest, is_key_needed=is_key_needed
    )


def change_content(
    held: HeldContent, message: ConfigurationChanged, watched: Iterable[str]
) -> HeldContent:
    """Return the services, routes and evacuations that result from applying a message."""
    routing = held.routing
    if message.routing is not None:
        routing = apply_routing_change(routing, message.routing)
    put = {service.name: service for service in message.services if service.name in watched}
    if message.base == 0:
        services, digest = put, digest_services(put.values())
    else:
        services, digest = _change_services(held, put, message.removed)
    return HeldContent(services, digest, routing, frozenset(message.evacuated))


def _change_services(
    held: HeldContent, put: dict[str, Service], removed: tuple[str, ...]
) -> tuple[dict[str, Service], int]:
    replaced = [held.services[name] for name in {*put, *removed} if name in held.services]
    digest = held.services_digest ^ digest_services(replaced) ^ digest_services(put.values())
    kept = {name: service for name, service in held.services.items() if name not in removed}
    return kept | put, digest


def remove_service(held: HeldContent, name: str) -> HeldContent:
    """Return the content without a service that is no longer watched."""
    services, digest = _change_services(held, {}, (name,))
    return msgspec.structs.replace(held, services=services, services_digest=digest)
