"""Define the messages that open and close a link between two processes."""

from bendwind_core.core import Count, Finite, Incarnation, Int64, Record
from bendwind_core.world import Instance


class Hello(Record, frozen=True, array_like=True, tag="hello"):
    """Open a link; `epoch` increases with every link that the sender opens to the receiver.

    Units: `confirmed_age_ms` is the age in milliseconds of the sender's proof that its
    configuration is fresh, None without a proof.
    """

    sender: Instance
    epoch: Count
    version: Int64 = 0
    confirmed_age_ms: Finite | None = None


class IncarnationQuery(Record, frozen=True, array_like=True, tag="incarnation?"):
    """Query, instead of sending a Hello, the newest known incarnation of the process `name`."""

    name: str


class IncarnationReply(Record, frozen=True, array_like=True, tag="incarnation"):
    """Reply with the newest known incarnation of a process, 0 if none is known."""

    incarnation: Incarnation


class Goodbye(Record, frozen=True, array_like=True, tag="goodbye"):
    """Announce that the sender is stopping and accepts no new work."""

    sender: str
