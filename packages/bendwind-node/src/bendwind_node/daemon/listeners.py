"""Open every listening socket before any task starts: a port already in use fails the start."""

import msgspec
import trio
from expression import Error, Ok, Result

from bendwind_node.settings import Settings


class Listeners(msgspec.Struct):
    """Hold the open listening sockets of one process.

    `extra` holds the sockets of the extension and of the metrics server.
    """

    peers: list[trio.SocketListener]
    callers: list[trio.SocketListener] = msgspec.field(default_factory=list)
    upstreams: list[trio.SocketListener] = msgspec.field(default_factory=list)
    operators: list[trio.SocketListener] = msgspec.field(default_factory=list)
    readiness: list[trio.SocketListener] = msgspec.field(default_factory=list)
    extra: dict[str, list[trio.SocketListener]] = msgspec.field(default_factory=dict)


def find_port(listeners: list[trio.SocketListener]) -> int:
    """Return the port that a listener is bound to, also if it was opened on port 0.

    The result is 0 if there is no listener.
    """
    return listeners[0].socket.getsockname()[1] if listeners else 0


async def open_listeners(settings: Settings) -> Result[Listeners, str]:
    """Open a listening socket for each server table in the settings.

    Errors: a text that names the table whose address cannot be bound.
    """
    opened: dict[str, list[trio.SocketListener]] = {}
    for name in ("peers", "callers", "upstreams", "operators", "readiness"):
        table = getattr(settings, name)
        if table is None:
            continue
        try:
            opened[name] = await trio.open_tcp_listeners(table.port, host=table.host)
        except OSError as error:
            return Error(f"[{name}] {table.host}:{table.port}: {error.strerror or error}")
    return Ok(Listeners(**opened))
