"""Find the customer of a request by the key that its caller sends."""

from expression import Error, Ok, Result

from bendwind_core.attempts import Header
from bendwind_core.customers import CustomerTable, find_customer
from bendwind_core.world import Customer
from bendwind_node.calls import outcomes
from bendwind_node.calls.dialect import Dialect
from bendwind_node.calls.refusal import Refusal

# No Retry-After: sending the request again gives the same answer until the keys change.
_UNKNOWN_KEY = Refusal(401, outcomes.REFUSED, "unknown-key")
# Created once, since all requests of a deployment without customers get this result.
_NOBODY: Result[Customer | None, Refusal] = Ok(None)


def authenticate(
    customers: CustomerTable | None,
    headers: tuple[Header, ...],
    dialect: Dialect,
    *,
    is_open: bool,
) -> Result[Customer | None, Refusal]:
    """Return the customer of a request, None if it needs none and has no valid key.

    Errors: the refusal of a request that needs a key and does not have exactly one that is known.
    """
    if customers is None:
        return _NOBODY
    keys = [value for name, value in headers if name == dialect.key]
    # With two keys, the caller could not know to which customer its request counts.
    customer = find_customer(customers, keys[0]) if len(keys) == 1 else None
    if customer is not None:
        return Ok(customer)
    return _NOBODY if is_open else Error(_UNKNOWN_KEY)
