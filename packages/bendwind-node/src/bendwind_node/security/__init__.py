"""Offer the TLS contexts of links and the names that certificates prove."""

from bendwind_node.security.identity import Identity, Role, read_identity
from bendwind_node.security.keys import KeyFault, Keys, client_tls, load_keys, server_tls
from bendwind_node.security.reload import watch_keys

__all__ = [
    "Identity",
    "KeyFault",
    "Keys",
    "Role",
    "client_tls",
    "load_keys",
    "read_identity",
    "server_tls",
    "watch_keys",
]
