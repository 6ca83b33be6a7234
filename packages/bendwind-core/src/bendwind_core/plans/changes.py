"""Compute and apply the changes that turn one configuration into another."""

from msgspec.structs import replace

from bendwind_core.core import Record
from bendwind_core.plans.customer_changes import (
    CustomerChanges,
    apply_customer_changes,
    compute_customer_changes,
)
from bendwind_core.plans.intent import Intent
from bendwind_core.world import Configuration, Service


class Changes(Record, frozen=True, array_like=True):
    """Hold the services to add or replace in `put`, and the names of those to remove.

    `customers` holds the same for customers.
    """

    put: tuple[Service, ...] = ()
    removed: tuple[str, ...] = ()
    customers: CustomerChanges = CustomerChanges()


def compute_changes(configuration: Configuration, intent: Intent) -> Changes:
    """Return the changes that make a configuration match an intent, sorted by service name."""
    current = {service.name: service for service in configuration.services}
    desired = {service.name: service for service in intent.services}
    put = [desired[name] for name in sorted(desired) if current.get(name) != desired[name]]
    to_remove = intent.remove if intent.partial else current.keys() - desired.keys()
    removed = tuple(sorted(name for name in to_remove if name in current))
    customers = compute_customer_changes(configuration.customers, intent)
    return Changes(tuple(put), removed, customers)


def apply_changes(configuration: Configuration, changes: Changes, version: int) -> Configuration:
    """Return the configuration with the changes applied, as the given version."""
    services = {service.name: service for service in configuration.services}
    services |= {service.name: service for service in changes.put}
    for name in changes.removed:
        services.pop(name, None)
    kept = tuple(services[name] for name in sorted(services))
    customers = apply_customer_changes(configuration.customers, changes.customers)
    return replace(configuration, version=version, services=kept, customers=customers)
