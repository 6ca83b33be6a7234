"""Receive the announcements of the upstreams on this instance over HTTP."""

import urllib.parse
from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from bendwind_core.core import MAX_BORN_MS, Milliseconds, decode_json, read_whole_number
from bendwind_core.world import UpstreamState
from bendwind_node.calls.owned_upstream import (
    Announcement,
    AnnouncementRefusal,
    is_upstream_name,
)
from bendwind_node.calls.upstream_register import UpstreamRegister
from bendwind_node.http import serve_lifespan

MAX_BODY_BYTES = 16 * 1024
_PREFIX = "/v1/upstreams"
_BORN_KEY = "born_ms"
_JSON = [(b"content-type", b"application/json")]


class LeaseReply(msgspec.Struct, frozen=True):
    """Report to an upstream how long its announcement is valid.

    Units: milliseconds.
    """

    lease_ms: Milliseconds


class ErrorReply(msgspec.Struct, frozen=True):
    """Report to an upstream why its request was rejected."""

    error: str


_NOT_RECORDED = ErrorReply("not recorded yet; send it again")


class AnnounceApp:
    """Serve the interface for upstreams (docs/UPSTREAMS.md) as an ASGI application."""

    __slots__ = ("lease_ms", "register")

    def __init__(self, register: UpstreamRegister, lease_ms: Milliseconds):
        self.register = register
        self.lease_ms = lease_ms

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Answer one request."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        query = scope.get("query_string", b"")
        status, reply = await self._answer(scope["method"], scope["path"], query, receive)
        body = b"" if reply is None else msgspec.json.encode(reply)
        length = (b"content-length", str(len(body)).encode())
        headers = _JSON if reply is not None else []
        await send({"type": "http.response.start", "status": status, "headers": [*headers, length]})
        await send({"type": "http.response.body", "body": body})

    async def _answer(
        self, method: str, path: str, query: bytes, receive: Callable
    ) -> tuple[int, LeaseReply | ErrorReply | None]:
        if method == "POST" and path == _PREFIX:
            return await self._announce(await _read_body(receive))
        if method == "DELETE" and path.startswith(_PREFIX + "/"):
            return await self._leave(path.removeprefix(_PREFIX + "/"), query)
        return 404, ErrorReply("no such route")

    async def _leave(self, name: str, query: bytes) -> tuple[int, ErrorReply | None]:
        if not is_upstream_name(name):
            return 404, ErrorReply("unknown upstream")
        born_ms = _read_born_ms(query)
        if born_ms.is_error():
            return 400, ErrorReply(born_ms.error)
        is_known = self.register.handle_departure(name, born_ms.ok)
        if not await self.register.runs.wait_recorded(name):
            return 503, _NOT_RECORDED
        return (204, None) if is_known else (404, ErrorReply("unknown upstream"))

    async def _announce(self, body: bytes | None) -> tuple[int, LeaseReply | ErrorReply]:
        if body is None:
            return 413, ErrorReply(f"at most {MAX_BODY_BYTES} bytes")
        decoded = decode_json(body, Announcement)
        if decoded.is_error():
            return 400, ErrorReply(decoded.error)
        announcement = decoded.ok
        if announcement.state is UpstreamState.GONE:
            return 400, ErrorReply("leave by DELETE")
        match self.register.handle_announcement(announcement):
            case AnnouncementRefusal.NO_CAPACITY:
                return 429, ErrorReply("this node holds no more upstreams")
            case AnnouncementRefusal.OTHER_SERVICE:
                return 409, ErrorReply("this upstream is registered for another service")
        is_draining = announcement.state is UpstreamState.DRAINING
        if is_draining and not await self.register.runs.wait_recorded(announcement.name):
            return 503, _NOT_RECORDED
        return 200, LeaseReply(self.lease_ms)


def _read_born_ms(query: bytes) -> Result[int, str]:
    """Return the start of the run that a departure names, or 0 if it names none.

    Errors: a text that describes the fault in the query.
    """
    pairs = urllib.parse.parse_qsl(query.decode("latin-1"), keep_blank_values=True)
    named = {value for key, value in pairs if key == _BORN_KEY}
    if not named:
        return Ok(0)
    born_ms = read_whole_number(named.pop(), MAX_BORN_MS)
    if born_ms is None or named:
        return Error(f"{_BORN_KEY}: one whole number up to {MAX_BORN_MS}")
    return Ok(born_ms)


async def _read_body(receive: Callable) -> bytes | None:
    body = b""
    more = True
    while more:
        event = await receive()
        body += event.get("body", b"")
        more = event.get("more_body", False)
        if len(body) > MAX_BODY_BYTES:
            return None
    return body
