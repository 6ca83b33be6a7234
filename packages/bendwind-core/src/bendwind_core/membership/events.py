"""Define what happens to a NodeView or a VoterRegistry, and what these want done."""

import dataclasses

from bendwind_core.claims import ClaimGroup
from bendwind_core.core import Milliseconds, Record, Seconds
from bendwind_core.membership.messages import VoterPlace
from bendwind_core.world import Configuration, Instance, Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Let time pass."""


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """Deliver a message of a peer."""

    sender: str
    message: Record


@dataclasses.dataclass(frozen=True, slots=True)
class LinkLost:
    """Tell that the link to a peer broke."""

    peer: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceWatched:
    """Ask a node to watch a service from now on."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamAnnounced:
    """Register an upstream beside the node, or its new state; GONE takes it back."""

    upstream: Upstream


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSeen:
    """Report the version and the age of confirmation that another process stated.

    Units: `confirmed_age_ms` in milliseconds, None without a confirmation.
    """

    peer: str
    version: int
    confirmed_age_ms: Milliseconds | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationAccepted:
    """Give a voter's registry the state that its control log has reached."""

    configuration: Configuration
    claim_groups: tuple[ClaimGroup, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class DrainMarksAccepted:
    """Give a voter's registry the drain marks that its control log holds."""

    instances: frozenset[str]
    upstreams: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class QuorumConfirmed:
    """Tell that a barrier round which started at `started` has ended.

    Everything accepted before `started` was given by ConfigurationAccepted before this event.
    """

    started: Seconds


@dataclasses.dataclass(frozen=True, slots=True)
class VotersChanged:
    """Tell a registry which voters there are now."""

    voters: tuple[VoterPlace, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SendTo:
    """Send a message to a peer; it may be lost."""

    to: str
    message: Record


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """Tell that a node has put a version in force for all it watches."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamsChanged:
    """Tell that a node's set of upstreams of a service changed."""

    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimGroupsChanged:
    """Tell that a claim group of a service which a node watches changed."""


@dataclasses.dataclass(frozen=True, slots=True)
class InstancesLearned:
    """Tell a node where other instances are reached."""

    instances: tuple[Instance, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VotersLearned:
    """Tell a node which voters there are."""

    voters: tuple[VoterPlace, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class AttachmentChanged:
    """Tell that a node moved to another voter, and why."""

    voter: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class FreshnessChanged:
    """Tell that a node's proof of freshness began or ended."""

    is_fresh: bool


@dataclasses.dataclass(frozen=True, slots=True)
class MemberAppeared:
    """Tell that a voter counts a node as alive."""

    node: Instance


@dataclasses.dataclass(frozen=True, slots=True)
class MemberLost:
    """Tell that a voter no longer counts a node as alive."""

    node: Instance


ViewEvent = Tick | MessageReceived | LinkLost | ServiceWatched | UpstreamAnnounced | PeerSeen
ViewEffect = (
    InstancesLearned
    | VotersLearned
    | SendTo
    | ConfigurationApplied
    | UpstreamsChanged
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
