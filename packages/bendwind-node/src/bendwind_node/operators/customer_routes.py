"""Answer the requests about customers."""

import msgspec

from bendwind_core.world import Customer
from bendwind_node.operators.control_client import ControlClient
from bendwind_node.operators.errors import control_error
from bendwind_node.operators.http import Response, json_response


class CustomerView(msgspec.Struct, frozen=True):
    """Describe a customer; `keys` is the number of its keys, whose values are never shown.

    Units: `rate_per_s` in requests per second, 0 without a limit; `burst` in requests.
    """

    name: str
    keys: int
    rank: int | None
    rate_per_s: float
    burst: float


class CustomersView(msgspec.Struct, frozen=True):
    """List all customers; `are_keys_needed` is false if requests need no key."""

    version: int
    are_keys_needed: bool
    customers: tuple[CustomerView, ...]


class CustomerRoutes(msgspec.Struct):
    """Answer requests about customers on a control voter."""

    control: ControlClient

    async def get_customers(self) -> Response:
        """Return the customers in force, as confirmed by a quorum."""
        confirmed = await self.control.barrier()
        if confirmed.is_error():
            return control_error(confirmed.error)
        configuration = self.control.state.configuration
        views = tuple(map(_make_view, configuration.customers or ()))
        return json_response(
            200, CustomersView(configuration.version, configuration.customers is not None, views)
        )


def _make_view(customer: Customer) -> CustomerView:
    return CustomerView(
        customer.name, len(customer.keys), customer.rank, customer.rate_per_s, customer.burst
    )
