"""Define the messages that open and close a link between two processes."""

from bendwind_core.core import Milliseconds, Record
from bendwind_core.world import Instance


class Hello(Record, frozen=True, array_like=True, tag="hello"):
    """Open a link; `epoch` grows with every link that the sender opens to the receiver.

    Units: `confirmed_age_ms` is the age of the sender's proof of freshness, None without one.
    """

    sender: Instance
    epoch: int
    version: int = 0
    confirmed_age_ms: Milliseconds | None = None


class IncarnationQuery(Record, frozen=True, array_like=True, tag="incarnation?"):
    """Ask, instead of a Hello, for the newest known run of a process of this name."""

    name: str


class IncarnationReply(Record, frozen=True, array_like=True, tag="incarnation"):
    """Answer with the newest known run of a process, 0 if none is known."""

    incarnation: int


class Goodbye(Record, frozen=True, array_like=True, tag="goodbye"):
    """Announce that the sender stops and takes no new work."""

    sender: str
