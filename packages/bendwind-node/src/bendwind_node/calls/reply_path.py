"""Send an owner's replies back over the link that the attempt came in on."""

from typing import Protocol

import msgspec

from bendwind_core.attempts import AttemptId
from bendwind_core.messages import PeerMessage
from bendwind_core.world import Instance


class ReplyLink(Protocol):
    """Send to one entry node, in this process or another."""

    peer: Instance
    epoch: int

    def send(self, message: PeerMessage) -> bool:
        """Queue a message and tell whether the link took it."""


class ReplyPath(msgspec.Struct):
    """Hold the newest link of each entry node."""

    links: dict[str, ReplyLink] = msgspec.field(default_factory=dict)

    def open(self, link: ReplyLink) -> None:
        """Use this link for the replies to its peer."""
        self.links[link.peer.name] = link

    def close(self, link: ReplyLink) -> bool:
        """Forget a link; False if a newer one has replaced it."""
        if self.links.get(link.peer.name) is not link:
            return False
        del self.links[link.peer.name]
        return True

    def send(self, attempt: AttemptId, epoch: int, message: PeerMessage) -> bool:
        """Send to the attempt's entry node unless the link it came in on is gone."""
        link = self.links.get(attempt.entry)
        is_same = link is not None and link.epoch == epoch
        if not is_same or link.peer.incarnation != attempt.incarnation:
            return False
        return link.send(message)
