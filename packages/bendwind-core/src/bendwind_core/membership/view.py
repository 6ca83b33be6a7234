"""Define a node's view: its voter, the applied configuration and the proof of freshness."""

import random
from collections.abc import Mapping

import msgspec

from bendwind_core.claims import ClaimGroup
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.customers import CustomerTable
from bendwind_core.membership import watch_cache
from bendwind_core.membership.attachment import Attachment, SentHeartbeat, order_voters
from bendwind_core.membership.content import digest_content
from bendwind_core.membership.messages import VoterPlace
from bendwind_core.membership.settings import LeaseTimes
from bendwind_core.world import Instance, Routing, Service, Upstream


class PendingConfirmation(msgspec.Struct):
    """Hold a confirmation of a version that the node has not applied yet."""

    version: int
    confirmed_at: Seconds


class Queries(msgspec.Struct):
    """Hold the queries to other voters that are unanswered, and when and whom to query next.

    `is_returning` is true if the node returns to its preferred voter once that answers.
    """

    unanswered: dict[int, SentHeartbeat] = msgspec.field(default_factory=dict)
    number: int = 0
    position: int = -1
    next_at: Seconds = 0.0
    is_returning: bool = False


class NodeView(msgspec.Struct):
    """Hold the configuration and the upstreams that one run of a node has received.

    `version` is the applied version; `is_complete` is true if it covers all services now watched
    and what is held is not known to differ from it.
    `pending` lists watched services for which nothing has been received yet.
    `confirmed_at` is the time, on the node's own clock, up to which nothing newer than `version`
    had been accepted; `groups_confirmed_at` is the same time for the claim groups it holds.
    `newest_peer_version` is the highest version that another process has stated.
    `overtaken_since` is the time since which a peer is known to hold a newer version,
    `incomplete_since` the time since which everything is awaited, for a new watch or because what
    is held differs from what `version` contains; both are None if there is none.
    `has_uncertain_customers` is true if the customers held may not be those of `version`.
    `has_other_digests` is true if the voter that sent a whole configuration computes other digests
    than this process, as another release may; what voters state is then not compared.
    `seeds` are the voters listed in the settings, to be tried when no known voter replies.
    """

    instance: Instance
    times: LeaseTimes
    attachment: Attachment
    cache: watch_cache.WatchCache
    version: int = 0
    is_complete: bool = False
    confirmed_at: Seconds | None = None
    groups_confirmed_at: Seconds | None = None
    pending_confirmation: PendingConfirmation | None = None
    watch_sequence: int = 0
    announce_sequence: int = 0
    announced: dict[str, Upstream] = msgspec.field(default_factory=dict)
    pending: set[str] = msgspec.field(default_factory=set)
    newest_peer_version: int = 0
    was_fresh: bool = False
    has_uncertain_customers: bool = False
    has_other_digests: bool = False
    seeds: tuple[VoterPlace, ...] = ()
    overtaken_since: Seconds | None = None
    incomplete_since: Seconds | None = None
    queries: Queries = msgspec.field(default_factory=Queries)

    def is_fresh(self, now: Seconds) -> bool:
        """Return whether nothing newer can have been accepted more than a lease ago."""
        confirmed = self.confirmed_at
        return confirmed is not None and now - confirmed < self.times.provable_lease

    def confirmed_age_ms(self, now: Seconds) -> Milliseconds | None:
        """Return the age of the proof of freshness, None without one."""
        if self.confirmed_at is None:
            return None
        return (now - self.confirmed_at) * MILLISECONDS_PER_SECOND

    @property
    def services(self) -> Mapping[str, Service]:
        """Return the applied configuration of the watched services that exist."""
        return self.cache.content.services

    @property
    def routing(self) -> Routing:
        """Return the applied routes."""
        return self.cache.content.routing.routing

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the data centres whose upstreams receive no new attempts."""
        return self.cache.content.evacuated

    @property
    def customers(self) -> CustomerTable | None:
        """Return the applied customers, None if requests need no key."""
        return self.cache.customers

    @property
    def claim_groups(self) -> Mapping[str, ClaimGroup]:
        """Return the claim groups of the watched services."""
        return self.cache.claim_groups

    @property
    def content_digest(self) -> int:
        """Return the digest of the configuration held, for the services watched."""
        cache = self.cache
        is_key_needed = cache.customers is not None
        return digest_content(cache.content, cache.customers_digest, is_key_needed=is_key_needed)

    @property
    def voter(self) -> str:
        """Return the name of the voter that the node is attached to."""
        return self.attachment.voter

    def upstreams(self, service: str) -> tuple[Upstream, ...]:
        """List the upstreams of a watched service."""
        return watch_cache.list_upstreams(self.cache, service)


def create_node_view(
    instance: Instance,
    voters: tuple[VoterPlace, ...],
    times: LeaseTimes,
    now: Seconds,
    rng: random.Random,
    services: tuple[str, ...] = (),
) -> NodeView:
    """Create the view of a node that has just started and has received nothing."""
    order = order_voters(instance.name, instance.name, instance.data_centre, voters)
    attachment = Attachment(order, moved_at=now)
    attachment.next_heartbeat_at = now + 0.1 * times.heartbeat * rng.random()
    watched = watch_cache.WatchCache(watched=dict.fromkeys(services))
    pending = set(services)
    return NodeView(
        instance, times, attachment, watched, watch_sequence=1, pending=pending, seeds=voters
    )
