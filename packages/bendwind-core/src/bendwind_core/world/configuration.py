"""Hold the accepted configuration as one immutable value."""

from bendwind_core.core import Record
from bendwind_core.world.route import EMPTY_ROUTING, Routing
from bendwind_core.world.service import Service


class Configuration(Record, frozen=True, array_like=True):
    """Hold every service and route as of one version, which is a position in the control log.

    `evacuated` names the data centres whose upstreams get nothing new.
    """

    version: int
    services: tuple[Service, ...] = ()
    routing: Routing = EMPTY_ROUTING
    evacuated: tuple[str, ...] = ()

    def find_service(self, name: str) -> Service | None:
        """Return the service of this name, or None."""
        return next((service for service in self.services if service.name == name), None)


EMPTY_CONFIGURATION = Configuration(version=0)
