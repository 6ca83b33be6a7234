"""Define the messages between a node and its voter, and between the registries of voters."""

from bendwind_core.claims import ClaimGroup
from bendwind_core.core import Count, Finite, Incarnation, Int64, Port, Record, Unsigned64
from bendwind_core.customers import CustomersChange
from bendwind_core.membership.routing_changes import RoutingChange
from bendwind_core.suspicion import SuspectReport
from bendwind_core.world import Instance, Service, Upstream


class Heartbeat(Record, frozen=True, array_like=True, tag="beat"):
    """Renew the lease of a node and of the upstreams it announced.

    `sequence` numbers the heartbeats of one incarnation; the reply repeats it.
    `version` is the configuration version that the node applies for all services it watches, -1 if
    it lacks the configuration of any of them.
    `watch` and `announced` are the numbers of the newest Watch and Announce that the node sent.
    `digest` covers the upstreams and claim groups that the node holds, so that the voter detects
    lost pushes.
    `customers` is the version for which the node holds all customers, -1 if it is not certain that
    it does.
    """

    node: Instance
    sequence: Count
    version: Int64
    watch: Count = 0
    announced: Count = 0
    digest: Unsigned64 = 0
    customers: Int64 = 0


class HeartbeatReply(Record, frozen=True, array_like=True, tag="beat-reply"):
    """Confirm a heartbeat and report how fresh the voter's configuration is.

    `is_current` is true if nothing that the node watches changed between the version in its
    heartbeat and `version`. `resync` requests Watch and Announce again. `is_same` is true if the
    node's digest equals the voter's, so that the node holds every upstream and claim group that the
    voter had registered. `content` is the digest of all that `version` contains for the services
    of the node's newest Watch; None if the voter does not have that Watch. Without it, as in what
    a process of a former release sends, `is_current` says whether `version` may be put in force.
    Units: `confirmed_age_ms` is the time since the start of the last quorum round that confirmed
    `version` as the newest, in milliseconds on the voter's clock; None if there was none.
    """

    sequence: Count
    version: Int64
    confirmed_age_ms: Finite | None
    is_current: bool = False
    resync: bool = False
    is_same: bool = False
    content: Unsigned64 | None = None


class ConfigurationQuery(Record, frozen=True, array_like=True, tag="configuration?"):
    """Ask a voter that a node is not attached to for what is new, without registering the node.

    `number` identifies the query; `version`, `customers`, `watch` and `services` are as in the
    node's heartbeats and its newest Watch.
    """

    node: str
    number: Count
    version: Int64
    customers: Int64
    watch: Count
    services: tuple[str, ...]


class Announce(Record, frozen=True, array_like=True, tag="announce"):
    """Register all upstreams of a node with its voter; the highest `sequence` replaces the rest."""

    node: str
    incarnation: Incarnation
    sequence: Count
    upstreams: tuple[Upstream, ...]


class Watch(Record, frozen=True, array_like=True, tag="watch"):
    """List every service whose configuration and upstreams the voter should push to the node.

    `version`, `digest` and `customers` state what the node already holds, as in its heartbeats.
    """

    node: str
    services: tuple[str, ...]
    incarnation: Incarnation = 0
    sequence: Count = 0
    version: Int64 = -1
    digest: Unsigned64 = 0
    customers: Int64 = 0


class WatchUpdate(Record, frozen=True, array_like=True, tag="watch-update"):
    """Push the upstreams of a watched service: all of them, or only those that changed.

    In an update that is not full, an upstream in state GONE is removed from the set.
    `drain_marks` is the version of the drain marks by which the states were found, None if the
    voter does not know it, as one of a former release.
    """

    service: str
    upstreams: tuple[Upstream, ...]
    is_full: bool = True
    drain_marks: Count | None = None


class ConfigurationChanged(Record, frozen=True, array_like=True, tag="configuration"):
    """Push the services that a node watches, as of a version.

    `removed` lists the watched services that no longer exist.
    `base` is the lowest version to which the message may be applied; 0 means that the message is
    complete, so that a watched service that it does not list does not exist.
    `watch` is the number of the Watch that the message answers.
    `holders` lists the instances, with their addresses, that the claim groups' members run on.
    `routing` is None if the routes have not changed since `base`.
    `evacuated` lists all data centres whose upstreams receive no new attempts.
    `customers` has its own base, since customers are the same for every node, regardless of the
    services that it watches.
    `content` is the digest of all that `version` contains for the services of that Watch; None from
    a process of a former release.
    """

    version: Int64
    services: tuple[Service, ...]
    removed: tuple[str, ...] = ()
    claim_groups: tuple[ClaimGroup, ...] = ()
    base: Int64 = 0
    watch: Count = 0
    holders: tuple[Instance, ...] = ()
    routing: RoutingChange | None = None
    evacuated: tuple[str, ...] = ()
    customers: CustomersChange = CustomersChange()
    content: Unsigned64 | None = None


class ConfigurationAnswer(Record, frozen=True, array_like=True, tag="configuration!"):
    """Answer a ConfigurationQuery; the first fields are as in a HeartbeatReply.

    `change` is what the node lacks, None if it lacks nothing or more than one message should carry
    to a node that another voter pushes it to.
    Units: `confirmed_age_ms` as in a HeartbeatReply.
    """

    number: Count
    version: Int64
    confirmed_age_ms: Finite | None
    is_current: bool = False
    change: ConfigurationChanged | None = None
    content: Unsigned64 | None = None


class VoterPlace(Record, frozen=True, array_like=True):
    """Hold the name of a control voter, its data centre and the address for its peers."""

    name: str
    data_centre: str = ""
    host: str = ""
    port: Port = 0


class VoterList(Record, frozen=True, array_like=True, tag="voters"):
    """Send a node the current voters, so that it does not depend on those in its settings."""

    voters: tuple[VoterPlace, ...]


class MemberState(Record, frozen=True, array_like=True):
    """Describe a node as last registered by its home voter, the voter that it is attached to.

    `beat` is the sequence number of the heartbeat, `announced` that of the Announce.
    Liveness is ordered by (incarnation, `beat`, not `is_alive`), content by (incarnation,
    `announced`). The highest wins on every voter, in whatever order states arrive.
    """

    node: Instance
    home: str
    beat: Count
    is_alive: bool = True
    announced: Count = 0
    upstreams: tuple[Upstream, ...] = ()


class MemberGossip(Record, frozen=True, array_like=True, tag="gossip"):
    """Send changed members from one voter to another; without members it is a keepalive."""

    voter: str
    members: tuple[MemberState, ...] = ()


class MemberDigest(Record, frozen=True, array_like=True, tag="gossip-digest"):
    """Send one digest for each bucket of members, so that the receiver finds those that differ."""

    voter: str
    buckets: tuple[Unsigned64, ...]


class MemberPull(Record, frozen=True, array_like=True, tag="gossip-pull"):
    """Request all members of some buckets from a voter."""

    voter: str
    buckets: tuple[Count, ...]


class NodeStatus(Record, frozen=True, array_like=True):
    """Report the status of a node as of its last heartbeat to the voter that it is attached to.

    Units: `heartbeat_age_ms` in milliseconds on the voter's clock.
    """

    node: str
    data_centre: str
    voter: str
    version: Int64
    heartbeat_age_ms: Finite
    is_fresh: bool
    operators: str = ""


class SuspectReports(Record, frozen=True, array_like=True, tag="suspects"):
    """Send reports on suspect requests from node to voter, between voters and to nodes."""

    suspects: tuple[SuspectReport, ...]


class StatusRequest(Record, frozen=True, array_like=True, tag="status-request"):
    """Request the status of the nodes attached to a voter."""

    voter: str
    number: Count


class StatusReply(Record, frozen=True, array_like=True, tag="status-reply"):
    """Send a part of the requested status; `more` is true if another part follows."""

    voter: str
    number: Count
    rows: tuple[NodeStatus, ...]
    more: bool = False
