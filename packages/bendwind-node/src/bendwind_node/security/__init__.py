"""Offer the TLS contexts of links and the names that certificates prove."""

from bendwind_node.security.contexts import KeyFault, client_tls, operators_tls, server_tls
from bendwind_node.security.identity import Identity, Role, read_identity
from bendwind_node.security.keys import Keys, load_keys
from bendwind_node.security.reload import watch_keys

__all__ = [
    "Identity",
    "KeyFault",
    "Keys",
    "Role",
    "client_tls",
    "load_keys",
    "operators_tls",
    "read_identity",
    "server_tls",
    "watch_keys",
]
