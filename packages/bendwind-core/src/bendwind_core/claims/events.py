"""Define what reaches a holder of claims and what it wants carried out."""

import msgspec

from bendwind_core.claims.group import ClaimGroup
from bendwind_core.claims.messages import ClaimMessage
from bendwind_core.core import Seconds


class GroupChanged(msgspec.Struct, frozen=True):
    """Report the service's group as control decided it."""

    group: ClaimGroup


class LeaseRenewed(msgspec.Struct, frozen=True):
    """Report until when this node's view of the configuration is proven fresh."""

    until: Seconds


class Received(msgspec.Struct, frozen=True):
    """Report a message from a peer."""

    message: ClaimMessage


class Tick(msgspec.Struct, frozen=True):
    """Report that time has passed."""


HolderEvent = GroupChanged | LeaseRenewed | Received | Tick


class Send(msgspec.Struct, frozen=True):
    """Send a message to a node."""

    to: str
    message: ClaimMessage


class SendToControl(msgspec.Struct, frozen=True):
    """Send a message to every control voter; only the leader acts on it."""

    message: ClaimMessage


HolderEffect = Send | SendToControl
