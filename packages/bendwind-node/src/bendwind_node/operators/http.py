"""Convert between ASGI calls and the requests and responses of the operators' API."""

import urllib.parse
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import msgspec
from expression import Error, Ok, Result

MAX_BODY_BYTES = 2 * 1024 * 1024
JSON = "application/json"

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class Request(msgspec.Struct, frozen=True):
    """Hold a request with its complete body; header names are in lower case."""

    method: str
    path: tuple[str, ...]
    query: Mapping[str, str]
    headers: Mapping[str, str]
    body: bytes


class Response(msgspec.Struct, frozen=True):
    """Hold a complete response."""

    status: int
    body: bytes
    content_type: str = JSON
    headers: tuple[tuple[bytes, bytes], ...] = msgspec.field(default=())


class BodyTooLarge(msgspec.Struct, frozen=True):
    """Report that a request's body exceeds the limit."""


class ClientDisconnected(msgspec.Struct, frozen=True):
    """Report that the client disconnected before its request was complete."""


def json_response(status: int, body: msgspec.Struct) -> Response:
    """Return a response whose body is a record encoded as JSON."""
    return Response(status, msgspec.json.encode(body))


def read_head(scope: Scope) -> Request:
    """Return the request without its body."""
    return Request(
        scope["method"],
        tuple(part for part in scope["path"].split("/") if part),
        dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1"))),
        {name.decode("latin-1").lower(): text.decode("latin-1") for name, text in scope["headers"]},
        b"",
    )


async def read_body(receive: Receive) -> Result[bytes, BodyTooLarge | ClientDisconnected]:
    """Read a request's complete body.

    Errors: the body exceeds the limit, or the client disconnected.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return Error(ClientDisconnected())
        body += message.get("body", b"")
        if len(body) > MAX_BODY_BYTES:
            return Error(BodyTooLarge())
        if not message.get("more_body", False):
            return Ok(bytes(body))


async def send_response(send: Send, response: Response) -> None:
    """Send a complete response."""
    headers = [
        (b"content-type", response.content_type.encode("latin-1")),
        (b"content-length", str(len(response.body)).encode("latin-1")),
        *response.headers,
    ]
    await send({"type": "http.response.start", "status": response.status, "headers": headers})
    await send({"type": "http.response.body", "body": response.body})
