"""Define what reaches a holder of claims and what it wants carried out."""

from dataclasses import dataclass

from bendwind_core.claims.group import ClaimGroup
from bendwind_core.claims.messages import ClaimMessage
from bendwind_core.core import Seconds


@dataclass(slots=True, frozen=True)
class GroupChanged:
    """Report the service's group as control decided it."""

    group: ClaimGroup


@dataclass(slots=True, frozen=True)
class LeaseRenewed:
    """Report until when this node's view of the configuration is proven fresh."""

    until: Seconds


@dataclass(slots=True, frozen=True)
class Received:
    """Report a message from a peer."""

    message: ClaimMessage


@dataclass(slots=True, frozen=True)
class Tick:
    """Report that time has passed."""


HolderEvent = GroupChanged | LeaseRenewed | Received | Tick


@dataclass(slots=True, frozen=True)
class Send:
    """Send a message to a node."""

    to: str
    message: ClaimMessage


@dataclass(slots=True, frozen=True)
class SendControl:
    """Send a message to every control voter; only the leader acts on it."""

    message: ClaimMessage


HolderEffect = Send | SendControl
