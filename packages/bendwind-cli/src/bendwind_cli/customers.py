"""Show the customers with their keys, ranks and rate limits."""

from expression import Result

from bendwind_cli.client import Client
from bendwind_cli.outcome import Failure
from bendwind_cli.replies import CustomerReply, CustomersReply


def show(client: Client) -> Result[str, Failure]:
    """List the customers in force.

    Errors: no answer.
    """
    return client.request_control("GET", "/v1/customers", CustomersReply).map(_render)


def _render(reply: CustomersReply) -> str:
    if not reply.are_keys_needed:
        return f"version {reply.version}: there are no customers, and requests need no key"
    title = f"version {reply.version}: {len(reply.customers)} customers"
    return "\n".join((title, *map(_render_customer, reply.customers)))


def _render_customer(customer: CustomerReply) -> str:
    keys = "1 key" if customer.keys == 1 else f"{customer.keys} keys"
    rank = "rank of the route" if customer.rank is None else f"rank {customer.rank}"
    return f"{customer.name}: {keys}, {rank}, {_render_limit(customer)}"


def _render_limit(customer: CustomerReply) -> str:
    if not customer.rate_per_s:
        return "no limit"
    return f"{customer.rate_per_s:g} requests/s, burst {customer.burst:g}"
