"""Offer the customers in force: found by the keys of their callers, changed without loss."""

from bendwind_core.customers.change import CustomersChange
from bendwind_core.customers.table import (
    CustomerTable,
    change_customers,
    create_customer_table,
    find_customer,
)

__all__ = [
    "CustomerTable",
    "CustomersChange",
    "change_customers",
    "create_customer_table",
    "find_customer",
]
