"""Define the accepted configuration as one immutable value."""

from bendwind_core.core import Record
from bendwind_core.world.customer import Customer
from bendwind_core.world.route import EMPTY_ROUTING, Routing
from bendwind_core.world.service import Service


class Configuration(Record, frozen=True, array_like=True):
    """Hold all services and routes of one version, which is a position in the control log.

    `evacuated` names the data centres whose upstreams receive no new requests. `customers` are
    sorted by name; None means that requests need no key.
    """

    version: int
    services: tuple[Service, ...] = ()
    routing: Routing = EMPTY_ROUTING
    evacuated: tuple[str, ...] = ()
    customers: tuple[Customer, ...] | None = None

    def find_service(self, name: str) -> Service | None:
        """Return the service of this name, or None."""
        return next((service for service in self.services if service.name == name), None)


EMPTY_CONFIGURATION = Configuration(version=0)
