"""Provide the TLS contexts of a process and the identities that certificates prove."""

from bendwind_node.security.contexts import (
    KeyFault,
    create_client_context,
    create_operators_context,
    create_server_context,
)
from bendwind_node.security.identity import Identity, Role, read_identity
from bendwind_node.security.keys import Keys, load_keys
from bendwind_node.security.reload import watch_keys

__all__ = [
    "Identity",
    "KeyFault",
    "Keys",
    "Role",
    "create_client_context",
    "create_operators_context",
    "create_server_context",
    "load_keys",
    "read_identity",
    "watch_keys",
]
