"""Send one request to an upstream over HTTP and report exactly how far it got."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

import httpcore
from expression import Error, Ok, Result

from bendwind_core.attempts import CutReason, Header, NotRunReason

KEEP_ALIVE_S = 30.0

_CONNECT_ERRORS = (httpcore.ConnectError, httpcore.ConnectTimeout, httpcore.PoolTimeout)
_CUT_ERRORS = (httpcore.NetworkError, httpcore.RemoteProtocolError, httpcore.LocalProtocolError)


@dataclass(slots=True)
class UpstreamRequest:
    """Hold one request whose body is complete."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestNotSent:
    """Tell that no byte of the request went to the upstream."""

    reason: NotRunReason


@dataclass(frozen=True, slots=True)
class AnswerCut:
    """Tell that the request was sent, at least in part, and its answer did not come whole."""

    reason: CutReason


class UpstreamAnswer:
    """Hold an answer's head and give its body in parts."""

    __slots__ = ("headers", "parts", "response", "status")

    def __init__(self, response: httpcore.Response):
        self.response = response
        self.status = response.status
        self.headers = tuple((key.lower(), value) for key, value in response.headers)
        self.parts: AsyncIterator[bytes] = aiter(response.aiter_stream())

    async def next_part(self) -> Result[bytes, AnswerCut]:
        """Return the next part of the body, empty at its end."""
        try:
            return Ok(await anext(self.parts, b""))
        except _CUT_ERRORS:
            return Error(AnswerCut(CutReason.UPSTREAM_RESET))

    async def aclose(self) -> None:
        """Give the connection back, or close it if the body was not read to its end."""
        await self.response.aclose()


class UpstreamPool:
    """Own the connections to one upstream."""

    __slots__ = ("host", "pool", "port")

    def __init__(self, host: str, port: int, connections: int):
        self.host = host
        self.port = port
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=connections,
            max_keepalive_connections=connections,
            keepalive_expiry=KEEP_ALIVE_S,
            retries=0,
        )

    async def start(
        self, request: UpstreamRequest
    ) -> Result[UpstreamAnswer, RequestNotSent | AnswerCut]:
        """Send a request and return its answer as soon as the head is there."""
        outgoing = httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=b"http", host=self.host.encode(), port=self.port, target=request.target
            ),
            headers=list(request.headers),
            content=request.body,
        )
        try:
            return Ok(UpstreamAnswer(await self.pool.handle_async_request(outgoing)))
        except _CONNECT_ERRORS:
            return Error(RequestNotSent(NotRunReason.CONNECT_FAILED))
        except _CUT_ERRORS:
            return Error(AnswerCut(CutReason.UPSTREAM_RESET))

    async def aclose(self) -> None:
        """Close every connection."""
        await self.pool.aclose()
