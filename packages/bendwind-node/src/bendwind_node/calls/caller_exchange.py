"""Define the interface between the HTTP servers for callers and the entry node."""

from typing import Protocol

import msgspec

from bendwind_core.attempts import Header


class CallerRequest(msgspec.Struct):
    """Hold the head of a caller's request; header names are in lower case.

    `may_have_body` is false only if the head states that no body follows.
    """

    method: str
    target: bytes
    headers: tuple[Header, ...]
    may_have_body: bool = True

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.split(b"?")[0].decode("latin-1")


class CallerExchange(Protocol):
    """Exchange one request of a caller and its answer.

    The handler sets `may_have_run` once the request may have had an effect; until then the request
    has not run.
    """

    request: CallerRequest
    may_have_run: bool

    async def receive_part(self) -> bytes | None:
        """Return the next part of the request's body, None at its end.

        Errors: CallerGoneError.
        """

    async def send_head(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the head of the answer."""

    async def send_part(self, data: bytes, *, more: bool) -> None:
        """Send a part of the answer's body; the last has `more` false."""

    def abort(self) -> None:
        """Close the connection, so that the caller sees that the answer is incomplete."""

    async def wait_gone(self) -> None:
        """Return when the caller has closed its connection."""


class CallerGoneError(Exception):
    """Report that the caller closed its connection, or stopped reading its answer."""
