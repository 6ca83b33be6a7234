"""Define the events that a NodeView or a VoterRegistry handles, and the resulting effects."""

import msgspec

from bendwind_core.claims import ClaimGroup
from bendwind_core.core import Milliseconds, Record, Seconds
from bendwind_core.membership.messages import VoterPlace
from bendwind_core.suspicion import SuspectReport
from bendwind_core.world import Configuration, Instance, Upstream


class Tick(msgspec.Struct, frozen=True):
    """Check all timeouts and intervals against the current time."""


class MessageReceived(msgspec.Struct, frozen=True):
    """Deliver a message from a peer."""

    sender: str
    message: Record


class LinkLost(msgspec.Struct, frozen=True):
    """Report that the link to a peer broke."""

    peer: str


class PushLost(msgspec.Struct, frozen=True):
    """Report that this process dropped a configuration that the voter in use had sent."""


class ServiceWatched(msgspec.Struct, frozen=True):
    """Request that a node watches a service from now on."""

    service: str


class UpstreamAnnounced(msgspec.Struct, frozen=True):
    """Register an upstream on the node's instance, or its new state; GONE unregisters it."""

    upstream: Upstream


class PeerVersionReceived(msgspec.Struct, frozen=True):
    """Report the version, and the age of its confirmation, that another process stated.

    Units: `confirmed_age_ms` in milliseconds, None without a confirmation.
    """

    peer: str
    version: int
    confirmed_age_ms: Milliseconds | None = None


class ConfigurationAccepted(msgspec.Struct, frozen=True):
    """Report the state that a voter's control log has reached to its registry."""

    configuration: Configuration
    claim_groups: tuple[ClaimGroup, ...] = ()


class DrainMarksAccepted(msgspec.Struct, frozen=True):
    """Report the drain marks in a voter's control log to its registry.

    `version` is the index of the entry that changed them last, None if it is not known.
    """

    instances: frozenset[str]
    upstreams: frozenset[str]
    version: int | None = 0


class QuorumConfirmed(msgspec.Struct, frozen=True):
    """Report that a barrier round which started at `started` has completed.

    Everything accepted before `started` was reported by ConfigurationAccepted before this event.
    """

    started: Seconds


class VotersChanged(msgspec.Struct, frozen=True):
    """Report the current voters to a registry."""

    voters: tuple[VoterPlace, ...]


class SendTo(msgspec.Struct, frozen=True):
    """Send a message to a peer; the message may be lost."""

    to: str
    message: Record


class ConfigurationApplied(msgspec.Struct, frozen=True):
    """Report that a node has applied a version for all services that it watches."""

    version: int


class ServicesReceived(msgspec.Struct, frozen=True):
    """Report watched services that a node has received and that its version contained before."""

    names: tuple[str, ...]


class ConfigurationDropped(msgspec.Struct, frozen=True):
    """Report that a node could not apply a newer configuration that it received."""

    version: int
    reason: str


class ConfigurationDiffers(msgspec.Struct, frozen=True):
    """Report that a node holds something else under its version than that version contains."""

    version: int


class ConfigurationFetched(msgspec.Struct, frozen=True):
    """Report that a newer configuration came from a voter that the node is not attached to."""

    version: int
    voter: str


class CustomersChanged(msgspec.Struct, frozen=True):
    """Report that a node has applied changed customers; `names` lists those that differ.

    `customers` and `keys` count the applied ones; they are None if requests need no key.
    """

    names: tuple[str, ...]
    customers: int | None
    keys: int | None


class UpstreamsChanged(msgspec.Struct, frozen=True):
    """Report that a node's set of upstreams of a service changed."""

    service: str


class SuspectsReceived(msgspec.Struct, frozen=True):
    """Pass on a voter's reports on suspect requests of the services that a node watches."""

    suspects: tuple[SuspectReport, ...]


class ClaimGroupsChanged(msgspec.Struct, frozen=True):
    """Report that the claim group of a service which a node watches changed."""


class InstancesReceived(msgspec.Struct, frozen=True):
    """Pass on the addresses of other instances to a node."""

    instances: tuple[Instance, ...]


class VotersReceived(msgspec.Struct, frozen=True):
    """Pass on the current voters to a node."""

    voters: tuple[VoterPlace, ...]


class AttachmentChanged(msgspec.Struct, frozen=True):
    """Report that a node moved to another voter, with the reason."""

    voter: str
    reason: str


class FreshnessChanged(msgspec.Struct, frozen=True):
    """Report that a node gained or lost its proof of freshness."""

    is_fresh: bool


class MemberAppeared(msgspec.Struct, frozen=True):
    """Report that a voter now considers a node alive."""

    node: Instance


class MemberLost(msgspec.Struct, frozen=True):
    """Report that a voter no longer considers a node alive."""

    node: Instance


class RunOvertaken(msgspec.Struct, frozen=True):
    """Report that a voter ignores the heartbeats of a node, since it knows a later run of it."""

    name: str
    incarnation: int


ViewEvent = (
    Tick
    | MessageReceived
    | LinkLost
    | PushLost
    | ServiceWatched
    | UpstreamAnnounced
    | PeerVersionReceived
)
ViewEffect = (
    InstancesReceived
    | VotersReceived
    | SendTo
    | ConfigurationApplied
    | ServicesReceived
    | ConfigurationDropped
    | ConfigurationDiffers
    | ConfigurationFetched
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
    | LinkLost
)
RegistryEffect = SendTo | MemberAppeared | MemberLost | RunOvertaken
