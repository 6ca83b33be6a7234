"""Run hypercorn on an open listening socket."""

from __future__ import annotations

import ssl
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import trio

from bendwind_core.core import Seconds
from bendwind_core.timeline import Recorder
from bendwind_node.guarded_tasks import record_task_failure
from bendwind_node.streams import SEND_STALL_TIMEOUT, StallLimitedListener, wait_until_accepted

if TYPE_CHECKING:
    from hypercorn.config import Config
    from hypercorn.trio.worker_context import WorkerContext
    from hypercorn.typing import ConnectionState

# By default hypercorn closes a connection after 1,000 requests.
MAX_REQUESTS_PER_CONNECTION = 1_000_000_000
GRACEFUL_TIMEOUT: Seconds = 60.0


class AsgiServer(msgspec.Struct, eq=False):
    """Configure a server; it takes ownership of the listening socket's file descriptor.

    `stall_timeout` is the time after which a peer that takes no byte is closed.
    `recorder` records what the library raises for a connection; without one it is raised.
    """

    file_descriptor: int
    keep_alive: Seconds
    header_bytes: int
    shutdown: trio.Event = msgspec.field(default_factory=trio.Event)
    tls: ssl.SSLContext | None = None
    recorder: Recorder | None = None
    stall_timeout: Seconds = SEND_STALL_TIMEOUT


async def serve_asgi(app: Callable, server: AsgiServer) -> None:
    """Serve an ASGI application until shutdown, then finish the requests in flight."""
    # hypercorn is expensive to import, and a process that only checks settings does not need it.
    from hypercorn.trio.worker_context import WorkerContext
    from hypercorn.typing import ConnectionState

    config = _create_config(server)
    context = WorkerContext(None)
    handle = partial(_serve_connection, app, config, context, ConnectionState({}), server.recorder)
    transports = _open_transports(config, server.stall_timeout)
    listeners = [_add_tls(transport, config) for transport in transports]
    async with trio.open_nursery() as watching:
        watching.start_soon(_abort_if_cancelled, transports)
        async with trio.open_nursery() as serving:
            try:
                async with trio.open_nursery() as accepting:
                    accepting.start_soon(
                        partial(trio.serve_listeners, handle, listeners, handler_nursery=serving)
                    )
                    await server.shutdown.wait()
                    await wait_until_accepted([transport.socket for transport in transports])
                    accepting.cancel_scope.cancel()
            finally:
                await context.terminated.set()
                watching.cancel_scope.deadline = trio.current_time() + GRACEFUL_TIMEOUT
        watching.cancel_scope.cancel()


async def _abort_if_cancelled(transports: list[StallLimitedListener]) -> None:
    # hypercorn shields its sends from cancellation: a peer that does not read would hold a stop.
    try:
        await trio.sleep_forever()
    finally:
        for transport in transports:
            transport.abort()


def _create_config(server: AsgiServer) -> Config:
    from hypercorn.config import Config

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
    return config


def _open_transports(config: Config, stall_timeout: Seconds) -> list[StallLimitedListener]:
    sockets = config.create_sockets()
    transports = []
    for socket in (*sockets.secure_sockets, *sockets.insecure_sockets):
        socket.listen(config.backlog)
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(socket))
        transports.append(StallLimitedListener(listener, stall_timeout))
    return transports


def _add_tls(transport: StallLimitedListener, config: Config) -> trio.abc.Listener:
    if not config.ssl_enabled:
        return transport
    return trio.SSLListener(transport, config.create_ssl_context(), https_compatible=True)


async def _serve_connection(
    app: Callable,
    config: Config,
    context: WorkerContext,
    state: ConnectionState,
    recorder: Recorder | None,
    stream: trio.abc.Stream,
) -> None:
    """Serve one connection, and close only that one if the library raises.

    The library's own server would end with it, and the process with the server: an upgrade to
    HTTP/2 with invalid settings is enough.
    """
    from hypercorn.utils import wrap_app

    from bendwind_node.http.bounded_server import BoundedTCPServer

    try:
        await BoundedTCPServer(
            wrap_app(app, config.wsgi_max_body_size, "asgi"), config, context, state, stream
        )
    except Exception as error:
        if recorder is None:
            raise
        record_task_failure(recorder, error, _serve_connection.__name__)
