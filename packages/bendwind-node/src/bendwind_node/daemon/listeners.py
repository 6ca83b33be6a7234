"""Open every listening socket before any task starts, so that a taken port stops the start."""

from dataclasses import dataclass

import trio
from expression import Error, Ok, Result

from bendwind_node.settings import Settings


@dataclass(slots=True)
class Listeners:
    """Hold the open listening sockets of one process."""

    peers: list[trio.SocketListener]
    callers: list[trio.SocketListener]
    upstreams: list[trio.SocketListener]
    operators: list[trio.SocketListener]


def find_port(listeners: list[trio.SocketListener]) -> int:
    """Return the port that a listener got, which settles port 0."""
    return listeners[0].socket.getsockname()[1]


async def open_listeners(settings: Settings) -> Result[Listeners, str]:
    """Open the four listening sockets.

    Errors: a text that names the table whose address cannot be had.
    """
    opened: dict[str, list[trio.SocketListener]] = {}
    for name in ("peers", "callers", "upstreams", "operators"):
        table = getattr(settings, name)
        try:
            opened[name] = await trio.open_tcp_listeners(table.port, host=table.host)
        except OSError as error:
            return Error(f"[{name}] {table.host}:{table.port}: {error.strerror or error}")
    return Ok(Listeners(**opened))
