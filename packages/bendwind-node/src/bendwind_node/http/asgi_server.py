"""Run hypercorn on an open listening socket."""

import ssl
from collections.abc import Callable

import msgspec
import trio

from bendwind_core.core import Seconds

# By default hypercorn closes a connection after 1,000 requests.
MAX_REQUESTS_PER_CONNECTION = 1_000_000_000
GRACEFUL_TIMEOUT: Seconds = 60.0


class AsgiServer(msgspec.Struct, eq=False):
    """Configure a server; it takes ownership of the listening socket's file descriptor."""

    file_descriptor: int
    keep_alive: Seconds
    header_bytes: int
    shutdown: trio.Event = msgspec.field(default_factory=trio.Event)
    tls: ssl.SSLContext | None = None


async def serve_asgi(app: Callable, server: AsgiServer) -> None:
    """Serve an ASGI application until shutdown, then finish the requests in flight."""
    # hypercorn is expensive to import, and a process that only checks settings does not need it.
    from hypercorn.config import Config
    from hypercorn.trio import serve

    class _Config(Config):
        """Use the process's own TLS context, which switches to renewed keys."""

        @property
        def ssl_enabled(self) -> bool:
            return server.tls is not None

        def create_ssl_context(self) -> ssl.SSLContext | None:
            return server.tls

    config = _Config()
    config.bind = [f"fd://{server.file_descriptor}"]
    config.keep_alive_timeout = server.keep_alive
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.graceful_timeout = GRACEFUL_TIMEOUT
    config.h11_max_incomplete_size = server.header_bytes
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = None
    await serve(app, config, shutdown_trigger=server.shutdown.wait, mode="asgi")
