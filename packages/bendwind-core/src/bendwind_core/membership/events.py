"""Define what happens to a NodeView or a VoterRegistry, and what these want done."""

import msgspec

from bendwind_core.claims import ClaimGroup
from bendwind_core.core import Milliseconds, Record, Seconds
from bendwind_core.membership.messages import VoterPlace
from bendwind_core.suspicion import SuspectReport
from bendwind_core.world import Configuration, Instance, Upstream


class Tick(msgspec.Struct, frozen=True):
    """Let time pass."""


class MessageReceived(msgspec.Struct, frozen=True):
    """Deliver a message of a peer."""

    sender: str
    message: Record


class LinkLost(msgspec.Struct, frozen=True):
    """Tell that the link to a peer broke."""

    peer: str


class ServiceWatched(msgspec.Struct, frozen=True):
    """Ask a node to watch a service from now on."""

    service: str


class UpstreamAnnounced(msgspec.Struct, frozen=True):
    """Register an upstream beside the node, or its new state; GONE takes it back."""

    upstream: Upstream


class PeerVersionReceived(msgspec.Struct, frozen=True):
    """Report the version and the age of confirmation that another process stated.

    Units: `confirmed_age_ms` in milliseconds, None without a confirmation.
    """

    peer: str
    version: int
    confirmed_age_ms: Milliseconds | None = None


class ConfigurationAccepted(msgspec.Struct, frozen=True):
    """Give a voter's registry the state that its control log has reached."""

    configuration: Configuration
    claim_groups: tuple[ClaimGroup, ...] = ()


class DrainMarksAccepted(msgspec.Struct, frozen=True):
    """Give a voter's registry the drain marks that its control log holds."""

    instances: frozenset[str]
    upstreams: frozenset[str]


class QuorumConfirmed(msgspec.Struct, frozen=True):
    """Tell that a barrier round which started at `started` has ended.

    Everything accepted before `started` was given by ConfigurationAccepted before this event.
    """

    started: Seconds


class VotersChanged(msgspec.Struct, frozen=True):
    """Tell a registry which voters there are now."""

    voters: tuple[VoterPlace, ...]


class SendTo(msgspec.Struct, frozen=True):
    """Send a message to a peer; it may be lost."""

    to: str
    message: Record


class ConfigurationApplied(msgspec.Struct, frozen=True):
    """Tell that a node has put a version in force for all it watches."""

    version: int


class CustomersChanged(msgspec.Struct, frozen=True):
    """Tell that a node has put other customers in force; `names` are those that differ.

    Customers and keys in force are counted, None where requests need no key.
    """

    names: tuple[str, ...]
    customers: int | None
    keys: int | None


class UpstreamsChanged(msgspec.Struct, frozen=True):
    """Tell that a node's set of upstreams of a service changed."""

    service: str


class SuspectsReceived(msgspec.Struct, frozen=True):
    """Tell what a voter knows against requests of the services that a node watches."""

    suspects: tuple[SuspectReport, ...]


class ClaimGroupsChanged(msgspec.Struct, frozen=True):
    """Tell that a claim group of a service which a node watches changed."""


class InstancesReceived(msgspec.Struct, frozen=True):
    """Tell a node where other instances are reached."""

    instances: tuple[Instance, ...]


class VotersReceived(msgspec.Struct, frozen=True):
    """Tell a node which voters there are."""

    voters: tuple[VoterPlace, ...]


class AttachmentChanged(msgspec.Struct, frozen=True):
    """Tell that a node moved to another voter, and why."""

    voter: str
    reason: str


class FreshnessChanged(msgspec.Struct, frozen=True):
    """Tell that a node's proof of freshness began or ended."""

    is_fresh: bool


class MemberAppeared(msgspec.Struct, frozen=True):
    """Tell that a voter counts a node as alive."""

    node: Instance


class MemberLost(msgspec.Struct, frozen=True):
    """Tell that a voter no longer counts a node as alive."""

    node: Instance


ViewEvent = (
    Tick | MessageReceived | LinkLost | ServiceWatched | UpstreamAnnounced | PeerVersionReceived
)
ViewEffect = (
    InstancesReceived
    | VotersReceived
    | SendTo
    | ConfigurationApplied
    | CustomersChanged
    | UpstreamsChanged
    | SuspectsReceived
    | ClaimGroupsChanged
    | AttachmentChanged
    | FreshnessChanged
)
RegistryEvent = (
    Tick
    | MessageReceived
    | ConfigurationAccepted
    | DrainMarksAccepted
    | QuorumConfirmed
    | VotersChanged
)
RegistryEffect = SendTo | MemberAppeared | MemberLost
