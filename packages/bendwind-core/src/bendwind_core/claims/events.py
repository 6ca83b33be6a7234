"""Define the events that a claim holder receives and the effects that it returns."""

import msgspec

from bendwind_core.claims.group import ClaimGroup
from bendwind_core.claims.messages import ClaimMessage
from bendwind_core.core import Seconds


class GroupChanged(msgspec.Struct, frozen=True):
    """Report the service's group as decided by control."""

    group: ClaimGroup


class LeaseRenewed(msgspec.Struct, frozen=True):
    """Report the time until which this node's configuration is proven fresh."""

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
    """Send a message to every control voter; only the leader handles it."""

    message: ClaimMessage


HolderEffect = Send | SendToControl
