"""Find customers by the keys of their callers, and apply changes of customers."""

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
