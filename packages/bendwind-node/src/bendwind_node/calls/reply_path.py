"""Send the replies of an owner over the link on which the attempt arrived."""

from typing import Protocol

import msgspec

from bendwind_core.attempts import AttemptId
from bendwind_core.messages import PeerMessage
from bendwind_core.world import Instance


class ReplyLink(Protocol):
    """Link to one entry node, in this process or in another."""

    peer: Instance
    epoch: int

    def send(self, message: PeerMessage) -> bool:
        """Queue a message and return whether the link accepted it."""


class ReplyPath(msgspec.Struct):
    """Hold the newest link to each entry node."""

    links: dict[str, ReplyLink] = msgspec.field(default_factory=dict)

    def open(self, link: ReplyLink) -> None:
        """Use a link for the replies to its peer."""
        self.links[link.peer.name] = link

    def close(self, link: ReplyLink) -> bool:
        """Remove a link; return False if a newer one has replaced it."""
        if self.links.get(link.peer.name) is not link:
            return False
        del self.links[link.peer.name]
        return True

    def send(self, attempt: AttemptId, epoch: int, message: PeerMessage) -> bool:
        """Send to the entry node of an attempt unless the link on which it arrived is gone."""
        link = self.links.get(attempt.entry)
        is_same = link is not None and link.epoch == epoch
        if not is_same or link.peer.incarnation != attempt.incarnation:
            return False
        return link.send(message)
