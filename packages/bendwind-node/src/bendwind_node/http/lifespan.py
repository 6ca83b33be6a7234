"""Implement the lifespan protocol of ASGI, which announces a server's start and stop."""

from collections.abc import Awaitable, Callable


async def serve_lifespan(
    receive: Callable[[], Awaitable[dict]], send: Callable[[dict], Awaitable[None]]
) -> None:
    """Acknowledge the server's start and stop."""
    while True:
        message = await receive()
        match message["type"]:
            case "lifespan.startup":
                await send({"type": "lifespan.startup.complete"})
            case "lifespan.shutdown":
                await send({"type": "lifespan.shutdown.complete"})
                return
