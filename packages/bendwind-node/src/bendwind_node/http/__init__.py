"""Offer the ASGI server of everything but the callers' hot path."""

from bendwind_node.http.asgi_server import AsgiServer, serve_asgi
from bendwind_node.http.lifespan import serve_lifespan

__all__ = ["AsgiServer", "serve_asgi", "serve_lifespan"]
