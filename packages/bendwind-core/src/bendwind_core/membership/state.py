"""Define a voter's registry of nodes, their upstreams and their watched services."""

import msgspec

from bendwind_core.claims import ClaimGroup
from bendwind_core.core import Seconds
from bendwind_core.membership.content import digest_shared
from bendwind_core.membership.customer_history import CustomerHistory
from bendwind_core.membership.digest import digest_record
from bendwind_core.membership.events import DrainMarksAccepted
from bendwind_core.membership.member import BUCKET_COUNT, Member
from bendwind_core.membership.messages import VoterPlace
from bendwind_core.membership.routing_changes import HeldRouting, RoutingHistory
from bendwind_core.membership.settings import LeaseTimes
from bendwind_core.membership.watch_cache import UpstreamKey
from bendwind_core.suspicion import SuspectTable
from bendwind_core.world import EMPTY_CONFIGURATION, Configuration, Service, Upstream


class Client(msgspec.Struct):
    """Hold a node attached to this voter: its last heartbeat and its watched services.

    `has_digest_mismatch` is true if the digest of the last heartbeat differed from that of the
    pushed upstreams and claim groups.
    `version` and `customers` are what the node reported last. `pushes` are the versions sent since
    then and the time of each, the oldest first.
    `customers` is the version for which the node, by its own report, holds all customers.
    Units: `renewed_at` and the times of `pushes` in seconds of the voter's clock.
    """

    incarnation: int
    sequence: int = 0
    renewed_at: Seconds = 0.0
    version: int = 0
    watch: int = 0
    services: tuple[str, ...] = ()
    has_digest_mismatch: bool = False
    pushes: dict[int, Seconds] = msgspec.field(default_factory=dict)
    customers: int = 0


class ServiceRow(msgspec.Struct):
    """Hold the watchers of a service and the state that was pushed to them.

    `service_digest` covers `service`. `digest` covers `upstreams` and `claim_group`. `dirty_owners`
    lists the owners whose upstreams of the service may differ from those pushed. `drain_marks` is
    the version of the marks by which the pushed states were found.
    """

    service: Service | None = None
    service_digest: int = 0
    changed_at: int = 0
    claim_group: ClaimGroup | None = None
    upstreams: dict[UpstreamKey, Upstream] = msgspec.field(default_factory=dict)
    watchers: dict[str, None] = msgspec.field(default_factory=dict)
    dirty_owners: set[str] = msgspec.field(default_factory=set)
    digest: int = 0
    drain_marks: int | None = 0


class VoterRegistry(msgspec.Struct):
    """Hold a voter's soft state, all of which can be rebuilt from nodes and other voters.

    `clients` is ordered by the time of renewal, the oldest first.
    `held_versions` lists the newest versions that this run held, for each of which it can determine
    what changed since; `routing` does so for routes.
    `changed_members` lists the members to send to the other voters.
    `dirty_services` and `urgent_services` list services, and `outdated_clients` lists clients, for
    which pushes are due.
    `shared_digest` covers what the configuration contains for all nodes alike.
    `voters` are all voters, including this process if it is one. `clients_awaiting_voters` lists
    the clients to which they have not been sent.
    `confirmed_round_started_at` is the start of the last quorum round that confirmed the version.
    `no_expiry_until` is the time until which no client or voter expires.
    `suspects` are the requests that may crash the upstreams which run them.
    Units: times in seconds of the voter's clock.
    """

    name: str
    times: LeaseTimes
    peers: dict[str, Seconds]
    ticked_at: Seconds
    no_expiry_until: Seconds
    clients: dict[str, Client] = msgspec.field(default_factory=dict)
    members: dict[str, Member] = msgspec.field(default_factory=dict)
    buckets: list[int] = msgspec.field(default_factory=lambda: [0] * BUCKET_COUNT)
    services: dict[str, ServiceRow] = msgspec.field(default_factory=dict)
    configuration: Configuration = EMPTY_CONFIGURATION
    routing: RoutingHistory = msgspec.field(default_factory=RoutingHistory)
    evacuated_changed_at: int = 0
    customers: CustomerHistory = msgspec.field(default_factory=CustomerHistory)
    shared_digest: int = digest_shared(HeldRouting().digest, (), 0, is_key_needed=False)
    voters: tuple[VoterPlace, ...] = ()
    clients_awaiting_voters: dict[str, None] = msgspec.field(default_factory=dict)
    held_versions: dict[int, None] = msgspec.field(default_factory=lambda: {0: None})
    confirmed_round_started_at: Seconds | None = None
    changed_members: dict[str, None] = msgspec.field(default_factory=dict)
    dirty_services: dict[str, None] = msgspec.field(default_factory=dict)
    urgent_services: dict[str, None] = msgspec.field(default_factory=dict)
    outdated_clients: dict[str, None] = msgspec.field(default_factory=dict)
    drain_marks: DrainMarksAccepted = DrainMarksAccepted(frozenset(), frozenset())
    lost_voters: set[str] = msgspec.field(default_factory=set)
    gossip_sent_at: Seconds = 0.0
    next_digest_at: Seconds = 0.0
    next_eviction_at: Seconds = 0.0
    suspects: SuspectTable = msgspec.field(default_factory=SuspectTable)
    next_suspects_repeat_at: Seconds = 0.0


def find_or_create_row(registry: VoterRegistry, service: str) -> ServiceRow:
    """Return the row of a service, creating it if there is none."""
    row = registry.services.get(service)
    if row is None:
        row = registry.services[service] = ServiceRow()
    return row


def put_claim_group(row: ServiceRow, group: ClaimGroup | None) -> None:
    """Replace the claim group of a row and update the row's digest."""
    if row.claim_group:
        row.digest ^= digest_record(row.claim_group)
    row.claim_group = group
    if group:
        row.digest ^= digest_record(group)


def discard_empty_row(registry: VoterRegistry, name: str, row: ServiceRow) -> None:
    """Remove the row of a service that nobody watches and that says nothing."""
    is_used = row.watchers or row.upstreams or row.dirty_owners or row.service or row.claim_group
    if not is_used and row.changed_at == 0:
        del registry.services[name]
