"""Serve callers by hypercorn: HTTP/1.1 and HTTP/2 as the library offers them."""

import ssl
from collections.abc import Awaitable, Callable

import trio

from bendwind_core.attempts import Header
from bendwind_core.core import Seconds
from bendwind_node.calls.caller_exchange import CallerExchange, CallerGoneError, CallerRequest
from bendwind_node.operators.http import serve_lifespan

# hypercorn closes a connection after 1,000 requests unless told otherwise.
MAX_REQUESTS_PER_CONNECTION = 1_000_000_000
GRACEFUL_TIMEOUT: Seconds = 60.0

Handle = Callable[[CallerExchange], Awaitable[None]]


class AsgiExchange:
    """Carry one ASGI request."""

    __slots__ = ("is_aborted", "is_body_read", "receive", "request", "send")

    def __init__(self, scope: dict, receive: Callable, send: Callable):
        path = scope["raw_path"].split(b"?")[0]
        query = scope["query_string"]
        target = path + b"?" + query if query else path
        headers = tuple((bytes(key), bytes(value)) for key, value in scope["headers"])
        self.request = CallerRequest(scope["method"], target, headers)
        self.receive = receive
        self.send = send
        self.is_body_read = False
        self.is_aborted = False

    async def receive_part(self) -> bytes | None:
        """Return the next part of the body, None at its end."""
        if self.is_body_read:
            return None
        event = await self.receive()
        if event["type"] == "http.disconnect":
            raise CallerGoneError
        self.is_body_read = not event.get("more_body", False)
        return event.get("body", b"")

    async def send_head(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of the answer."""
        await self.send({"type": "http.response.start", "status": status, "headers": list(headers)})

    async def send_part(self, data: bytes, *, more: bool) -> None:
        """Send a part of the body."""
        await self.send({"type": "http.response.body", "body": data, "more_body": more})

    def abort(self) -> None:
        """End without the rest of the body, upon which hypercorn closes the connection."""
        self.is_aborted = True

    async def wait_gone(self) -> None:
        """Return when the caller has closed its connection."""
        while (await self.receive())["type"] != "http.disconnect":
            continue


async def serve_callers_asgi(
    handle: Handle,
    file_number: int,
    keep_alive_s: Seconds,
    header_bytes: int,
    shutdown: trio.Event,
) -> None:
    """Serve callers on an open listening socket until shut down, then finish what is in flight."""

    async def app(scope: dict, receive: Callable, send: Callable) -> None:
        match scope["type"]:
            case "http":
                await handle(AsgiExchange(scope, receive, send))
            case "lifespan":
                await serve_lifespan(receive, send)

    await serve_asgi(app, file_number, keep_alive_s, header_bytes, shutdown)


async def serve_asgi(
    app: Callable,
    file_number: int,
    keep_alive_s: Seconds,
    header_bytes: int,
    shutdown: trio.Event,
    tls: ssl.SSLContext | None = None,
) -> None:
    """Serve an ASGI application on an open listening socket until shut down."""
    from hypercorn.config import Config
    from hypercorn.trio import serve

    config = Config()
    config.bind = [f"fd://{file_number}"]
    config.keep_alive_timeout = keep_alive_s
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.graceful_timeout = GRACEFUL_TIMEOUT
    config.h11_max_incomplete_size = header_bytes
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = None
    if tls is not None:
        # hypercorn takes file names or, from this method, a context; the context can be renewed.
        config.certfile = config.keyfile = "held by the context"
        config.create_ssl_context = lambda: tls
    await serve(app, config, shutdown_trigger=shutdown.wait, mode="asgi")
