"""Serve callers over HTTP/1.1 and HTTP/2 with hypercorn."""

from collections.abc import Awaitable, Callable

from bendwind_core.attempts import Header
from bendwind_node.calls.caller_exchange import CallerExchange, CallerGoneError, CallerRequest
from bendwind_node.calls.request_account import RequestAccount, find_ending
from bendwind_node.http import AsgiServer, serve_asgi, serve_lifespan

Handle = Callable[[CallerExchange], Awaitable[None]]


class AsgiExchange:
    """Exchange one ASGI request and its answer."""

    __slots__ = (
        "is_aborted",
        "is_answer_begun",
        "is_answered",
        "is_body_read",
        "is_gone",
        "may_have_run",
        "receive",
        "request",
        "send",
    )

    def __init__(self, scope: dict, receive: Callable, send: Callable):
        path = scope["raw_path"].split(b"?")[0]
        query = scope["query_string"]
        target = path + b"?" + query if query else path
        headers = tuple((bytes(key), bytes(value)) for key, value in scope["headers"])
        self.request = CallerRequest(scope["method"], target, headers)
        self.receive = receive
        self.send = send
        self.is_body_read = False
        self.may_have_run = False
        self.is_aborted = False
        self.is_answer_begun = False
        self.is_answered = False
        self.is_gone = False

    async def receive_part(self) -> bytes | None:
        """Return the next part of the body, None at its end."""
        if self.is_body_read:
            return None
        event = await self.receive()
        if event["type"] == "http.disconnect":
            self.is_gone = True
            raise CallerGoneError
        self.is_body_read = not event.get("more_body", False)
        return event.get("body", b"")

    async def send_head(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of the answer."""
        self.is_answer_begun = True
        await self.send({"type": "http.response.start", "status": status, "headers": list(headers)})

    async def send_part(self, data: bytes, *, more: bool) -> None:
        """Send a part of the body."""
        await self.send({"type": "http.response.body", "body": data, "more_body": more})
        self.is_answered = not more

    def abort(self) -> None:
        """End the answer without the rest of its body; hypercorn then closes the connection."""
        self.is_aborted = True

    async def wait_gone(self) -> None:
        """Return when the caller has closed its connection."""
        while (await self.receive())["type"] != "http.disconnect":
            continue
        self.is_gone = True


async def serve_callers_asgi(handle: Handle, server: AsgiServer, account: RequestAccount) -> None:
    """Serve callers until shutdown, then finish the requests in flight."""

    async def answer(exchange: AsgiExchange) -> None:
        account.record_received()
        try:
            await handle(exchange)
        finally:
            account.record_ended(exchange.request, find_ending(exchange))

    async def app(scope: dict, receive: Callable, send: Callable) -> None:
        match scope["type"]:
            case "http":
                await answer(AsgiExchange(scope, receive, send))
            case "lifespan":
                await serve_lifespan(receive, send)

    await serve_asgi(app, server)
