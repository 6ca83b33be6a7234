"""Define the messages between a node and its voter, and between the registries of voters."""

from bendwind_core.claims import ClaimGroup
from bendwind_core.core import Milliseconds, Record
from bendwind_core.customers import CustomersChange
from bendwind_core.membership.routing_changes import RoutingChange
from bendwind_core.suspicion import SuspectReport
from bendwind_core.world import Instance, Service, Upstream


class Heartbeat(Record, frozen=True, array_like=True, tag="beat"):
    """Renew the lease of a node and of the upstreams it announced.

    `sequence` numbers the heartbeats of one incarnation; the reply repeats it.
    `version` is the configuration the node has in force for all it watches, -1 if it lacks any.
    `watch` and `announced` number the newest Watch and Announce the node sent; `digest` sums up
    the upstreams and claim groups it holds, so that the voter sees what was lost on the way.
    `customers` is the version as of which it holds all customers, -1 if it is in doubt of them.
    """

    node: Instance
    sequence: int
    version: int
    watch: int = 0
    announced: int = 0
    digest: int = 0
    customers: int = 0


class HeartbeatReply(Record, frozen=True, array_like=True, tag="beat-reply"):
    """Confirm a heartbeat and say how fresh the voter's configuration is.

    `is_current` says that nothing the node watches changed between the version it stated and
    `version`. `resync` asks for Watch and Announce again. `is_same` says that the node's digest was
    the voter's, so that it holds every upstream and claim group that the voter knew of.
    Units: `confirmed_age_ms` is the time since the start of the last quorum round that confirmed
    `version` as the newest, in milliseconds on the voter's clock; None if there was none.
    """

    sequence: int
    version: int
    confirmed_age_ms: Milliseconds | None
    is_current: bool = False
    resync: bool = False
    is_same: bool = False


class Announce(Record, frozen=True, array_like=True, tag="announce"):
    """Register all upstreams of a node with its voter; the highest `sequence` replaces the rest."""

    node: str
    incarnation: int
    sequence: int
    upstreams: tuple[Upstream, ...]


class Watch(Record, frozen=True, array_like=True, tag="watch"):
    """Name every service whose configuration and upstreams the node wants pushed.

    `version`, `digest` and `customers` say what the node already has, as in its heartbeats.
    """

    node: str
    services: tuple[str, ...]
    incarnation: int = 0
    sequence: int = 0
    version: int = -1
    digest: int = 0
    customers: int = 0


class WatchUpdate(Record, frozen=True, array_like=True, tag="watch-update"):
    """Push the upstreams of a watched service: all of them, or those that changed.

    In an update that is not full, an upstream in state GONE leaves the set.
    """

    service: str
    upstreams: tuple[Upstream, ...]
    is_full: bool = True


class ConfigurationChanged(Record, frozen=True, array_like=True, tag="configuration"):
    """Push the services a node watches as of a version; `removed` names those that ended.

    `base` is the lowest version it may be applied to; 0 means that it is complete, so that a
    watched service it does not list does not exist. `watch` numbers the Watch it answers.
    `holders` says where the members of the claim groups are reached. `routing` is None if it has
    not changed since `base`; `evacuated` names all data centres whose upstreams get nothing new.
    `customers` has a base of its own, since they are the same for every node, whatever it watches.
    """

    version: int
    services: tuple[Service, ...]
    removed: tuple[str, ...] = ()
    claim_groups: tuple[ClaimGroup, ...] = ()
    base: int = 0
    watch: int = 0
    holders: tuple[Instance, ...] = ()
    routing: RoutingChange | None = None
    evacuated: tuple[str, ...] = ()
    customers: CustomersChange = CustomersChange()


class VoterPlace(Record, frozen=True, array_like=True):
    """Name a control voter, the data centre it runs in and where its peers reach it."""

    name: str
    data_centre: str = ""
    host: str = ""
    port: int = 0


class VoterList(Record, frozen=True, array_like=True, tag="voters"):
    """Tell a node which voters there are, so that it need not rely on its settings."""

    voters: tuple[VoterPlace, ...]


class MemberState(Record, frozen=True, array_like=True):
    """Describe a node as its home voter, the one it is attached to, last registered it.

    Liveness is ordered by (incarnation, `beat`, not `is_alive`), content by (incarnation,
    `announced`): the highest wins on every voter, whatever the order of arrival.
    """

    node: Instance
    home: str
    beat: int
    is_alive: bool = True
    announced: int = 0
    upstreams: tuple[Upstream, ...] = ()


class MemberGossip(Record, frozen=True, array_like=True, tag="gossip"):
    """Carry changed members from one voter to another; empty, it says that the voter lives."""

    voter: str
    members: tuple[MemberState, ...] = ()


class MemberDigest(Record, frozen=True, array_like=True, tag="gossip-digest"):
    """Offer one digest for each bucket of members, so that the receiver sees what differs."""

    voter: str
    buckets: tuple[int, ...]


class MemberPull(Record, frozen=True, array_like=True, tag="gossip-pull"):
    """Ask a voter for all members in some buckets."""

    voter: str
    buckets: tuple[int, ...]


class NodeStatus(Record, frozen=True, array_like=True):
    """Report one node as the voter it is attached to last heard of it.

    Units: `heartbeat_age_ms` in milliseconds on the voter's clock.
    """

    node: str
    data_centre: str
    voter: str
    version: int
    heartbeat_age_ms: Milliseconds
    is_fresh: bool
    operators: str = ""


class SuspectReports(Record, frozen=True, array_like=True, tag="suspects"):
    """Tell what is known against requests, from node to voter, between voters and to nodes."""

    suspects: tuple[SuspectReport, ...]


class StatusRequest(Record, frozen=True, array_like=True, tag="status-request"):
    """Ask a voter for the status of the nodes attached to it."""

    voter: str
    number: int


class StatusReply(Record, frozen=True, array_like=True, tag="status-reply"):
    """Carry a part of the status; `more` says that another part follows."""

    voter: str
    number: int
    rows: tuple[NodeStatus, ...]
    more: bool = False
