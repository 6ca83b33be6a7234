"""Serve ASGI applications: all HTTP except the hot path of the callers' requests."""

from bendwind_node.http.asgi_server import AsgiServer, serve_asgi
from bendwind_node.http.lifespan import serve_lifespan

__all__ = ["AsgiServer", "serve_asgi", "serve_lifespan"]
