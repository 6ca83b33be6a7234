"""Find out whose a request is, by the key that its caller sends."""

from expression import Error, Ok, Result

from bendwind_core.attempts import Header
from bendwind_core.customers import CustomerTable, find_customer
from bendwind_core.world import Customer
from bendwind_node.calls import outcomes
from bendwind_node.calls.dialect import Dialect
from bendwind_node.calls.refusal import Refusal

# To send it again brings the same answer until the keys change, so that no time is named.
_UNKNOWN_KEY = Refusal(401, outcomes.REFUSED, "unknown-key")
# Made once, since most requests of a deployment without customers end up here.
_NOBODY: Result[Customer | None, Refusal] = Ok(None)


def authenticate(
    customers: CustomerTable | None,
    headers: tuple[Header, ...],
    dialect: Dialect,
    *,
    is_open: bool,
) -> Result[Customer | None, Refusal]:
    """Return the customer of a request, None where it needs none and names none.

    Errors: the refusal of a request that needs a key and does not bear exactly one known.
    """
    if customers is None:
        return _NOBODY
    keys = [value for name, value in headers if name == dialect.key]
    # Of two keys, the caller could not tell whose request it becomes.
    customer = find_customer(customers, keys[0]) if len(keys) == 1 else None
    if customer is not None:
        return Ok(customer)
    return _NOBODY if is_open else Error(_UNKNOWN_KEY)
