"""Describe one open link and who hears of its messages."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
import trio

from bendwind_core.core import Seconds
from bendwind_core.messages import Hello, PeerMessage
from bendwind_core.world import Instance

OUTBOX_MESSAGES = 2048
# A link that owes an answer for this long is asked for a sign of life; most attempts end sooner.
QUIET_AFTER: Seconds = 0.25


def _ignore() -> None:
    """Do nothing where nobody waits for a link to owe an answer."""


class Link(msgspec.Struct, eq=False):
    """Hold one open link; the dialer's epoch orders the links of a pair of processes.

    `unwritten` counts the messages that the link took and has not written to its connection.
    Units: `owes_since` is when something was first sent that nothing has been heard after, in
    seconds of trio's clock.
    """

    peer: Instance
    epoch: int
    is_dialed: bool
    outbox: trio.MemorySendChannel
    scope: trio.CancelScope
    ping: Callable[[], Awaitable[trio.Event]]
    is_compressed: bool = False
    note_owed: Callable[[], None] = _ignore
    is_open: bool = True
    owes_since: Seconds | None = None
    is_checked: bool = False
    unwritten: int = 0

    @property
    def quiet_at(self) -> Seconds | None:
        """Return when the link is to be asked for a sign of life, None while it need not be."""
        if self.owes_since is None or self.is_checked:
            return None
        return self.owes_since + QUIET_AFTER

    def note_heard(self) -> None:
        """Take a message or a sign of life as an answer to all that was sent so far."""
        self.owes_since = None
        self.is_checked = False

    def send(self, message: PeerMessage) -> bool:
        """Queue a message and tell whether the link took it.

        A full queue closes the link: the peer is too slow, and both ends then recover as from a
        lost link instead of losing single messages in silence.
        """
        if not self.is_open:
            return False
        try:
            self.outbox.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            self.close()
            return False
        self.unwritten += 1
        if self.owes_since is None:
            self.owes_since = trio.current_time()
            self.note_owed()
        return True

    def close(self) -> None:
        """Stop the link's tasks; messages still queued are lost."""
        self.is_open = False
        self.scope.cancel()


class Receiver(Protocol):
    """Hear of links and their messages; every method returns without waiting."""

    def link_opened(self, link: Link, hello: Hello) -> None:
        """Hear that a link is open."""

    def link_closed(self, link: Link) -> None:
        """Hear that a link is closed; no message of it follows."""

    def dial_failed(self, peer: str, unsent: tuple[PeerMessage, ...]) -> None:
        """Hear that a peer was not reached and which messages never left."""

    def receive(self, link: Link, message: PeerMessage) -> None:
        """Hear a message."""

    def is_idle(self, peer: str) -> bool:
        """Tell whether nothing is awaited from a peer that nothing was sent to lately."""
