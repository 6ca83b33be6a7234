"""Define an open link and the interface of the object that receives its messages."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import msgspec
import trio

from bendwind_core.core import Seconds
from bendwind_core.messages import Hello, PeerMessage
from bendwind_core.world import Instance

MAX_QUEUED_MESSAGES = 2048
DEFAULT_LINK_MBPS = 1000.0
BYTES_PER_MEGABIT = 125_000
# A link on which nothing was received for this long after a send is pinged. Most attempts end
# sooner, so they cause no ping.
LIVENESS_CHECK_DELAY: Seconds = 0.25


def _ignore() -> None:
    """Do nothing: the default callback of a link whose liveness is not checked."""


class Link(msgspec.Struct, eq=False):
    """Hold one open link; the dialer's epoch orders the links of a pair of processes.

    `unwritten_count` is the number of messages that the link accepted and has not yet written to
    its connection. `close_reason` says why this process closed the link, empty if the peer or the
    network did.
    `unsendable_kinds` are the types of the messages of which one could not be sent,
    `refused_kinds` those of which one could not be taken.
    `on_reply_awaited` is called when the link begins to wait for a message or pong of the peer.
    Units: `awaiting_reply_since` is the time of the first send after which nothing was received,
    in seconds of trio's clock.
    """

    peer: Instance
    epoch: int
    is_dialed: bool
    send_channel: trio.MemorySendChannel
    scope: trio.CancelScope
    ping: Callable[[], Awaitable[trio.Event]]
    is_compressed: bool = False
    on_reply_awaited: Callable[[], None] = _ignore
    is_open: bool = True
    awaiting_reply_since: Seconds | None = None
    is_being_checked: bool = False
    unwritten_count: int = 0
    close_reason: str = ""
    unsendable_kinds: set[type[PeerMessage]] = msgspec.field(default_factory=set)
    refused_kinds: set[type[PeerMessage]] = msgspec.field(default_factory=set)

    @property
    def check_due_at(self) -> Seconds | None:
        """Return when the link is due to be pinged, None if no ping is needed."""
        if self.awaiting_reply_since is None or self.is_being_checked:
            return None
        return self.awaiting_reply_since + LIVENESS_CHECK_DELAY

    def record_reply(self) -> None:
        """Record that a message or pong was received, which answers everything sent so far."""
        self.awaiting_reply_since = None
        self.is_being_checked = False

    def send(self, message: PeerMessage) -> bool:
        """Queue a message and return whether the link accepted it.

        A full queue closes the link because the peer is too slow. Both ends then recover as from a
        lost link; otherwise single messages would be lost unnoticed.
        """
        if not self.is_open:
            return False
        try:
            self.send_channel.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            self.close("queue full")
            return False
        self.unwritten_count += 1
        if self.awaiting_reply_since is None:
            self.awaiting_reply_since = trio.current_time()
            self.on_reply_awaited()
        return True

    def close(self, reason: str = "") -> None:
        """Close the link and stop its tasks; messages still queued are lost."""
        self.is_open = False
        self.close_reason = self.close_reason or reason
        self.scope.cancel()


class Receiver(Protocol):
    """Handle events and messages of links; every method returns without waiting."""

    def link_opened(self, link: Link, hello: Hello) -> None:
        """Handle the opening of a link."""

    def link_closed(self, link: Link) -> None:
        """Handle the closing of a link; none of its messages follows."""

    def dial_failed(self, peer: str, unsent: tuple[PeerMessage, ...]) -> None:
        """Handle a failed dial to a peer; `unsent` are the messages that were never sent."""

    def receive(self, link: Link, message: PeerMessage) -> None:
        """Handle a message that a link received."""

    def handle_version(self, link: Link, version: int) -> None:
        """Handle a peer's configuration version that is higher than this process's."""

    def is_idle(self, peer: str) -> bool:
        """Return whether nothing is awaited from a peer to which nothing was sent recently."""
