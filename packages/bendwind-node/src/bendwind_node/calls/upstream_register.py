"""Register the upstreams on this instance, verify them and expire their leases."""

import math
from collections.abc import Callable, Iterable

import msgspec
import trio
from msgspec.structs import replace

from bendwind_core.admission import WarmUpLimits, WarmUpState
from bendwind_core.attempts import owner_events as ev
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.runs import create_run_keeper
from bendwind_core.suspicion import SuspectTable
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Instance, Upstream, UpstreamState, WarmUpRule
from bendwind_node.calls.announced_runs import AnnouncedRuns
from bendwind_node.calls.departure_holds import DepartureHolds
from bendwind_node.calls.dialect import Dialect
from bendwind_node.calls.number_checks import NumberChecks
from bendwind_node.calls.owned_upstream import (
    Announcement,
    AnnouncementRefusal,
    OwnedUpstream,
    UpstreamAddress,
    create_owned_upstream,
    is_earlier_run,
    is_later_run,
    is_ordered,
    is_overtaken,
    names_other_service,
)
from bendwind_node.calls.reply_path import ReplyLink
from bendwind_node.calls.upstream_h11 import UpstreamPool
from bendwind_node.calls.upstream_queries import UpstreamQueries
from bendwind_node.guarded_tasks import GuardedNursery

MAX_OWNED_UPSTREAMS = 8

Feed = Callable[[OwnedUpstream, ev.OwnerEvent], None]


def _find_own_state(owned: OwnedUpstream) -> UpstreamState:
    """Return the state of an upstream; one that refuses connections counts as gone."""
    if owned.is_unreachable or owned.announced_state is UpstreamState.GONE:
        return UpstreamState.GONE
    return UpstreamState.DRAINING if owned.owner_state.is_leaving else owned.announced_state


class UpstreamRegister(msgspec.Struct, eq=False):
    """Hold the upstreams on this instance by name.

    `feed` and `list_links` are set by the owner node: `feed` applies an event to the state of an
    upstream, and `list_links` returns the open links, which a new upstream's state has to know.
    `is_service_known` returns whether this process holds the configuration of a service, so that
    `find_warm_up` finds no rule only where none is needed. `started_at` is when this process
    started. `suspects` holds the requests that may end upstreams. `has_evicted` says that a gone
    upstream was removed to make room for another, and `evicted_sent_at` is when one of these was
    last sent a request: if it returns, it may have been sent all that it bears. `is_evacuated` says
    that operators withdrew this data centre, so that its upstreams get no requests. They get none
    before this process `has_configuration` either, since it cannot know. `stale_version`
    is the version that was held when the last proof that it is the newest was lost, None if none
    was. `configured_address` is the address of the only upstream on this instance according to the
    settings, None if they name none; no other process reaches that upstream. `runs` holds what
    upstreams have announced here, also to earlier processes. `note_origin` is called with the
    service of an upstream that is registered at the configured address.
    """

    own: Instance
    recorder: Recorder
    nursery: trio.Nursery | GuardedNursery
    lease_ms: Milliseconds
    announce: Callable[[Upstream], None]
    dialect: Dialect
    slot_share: float = 1.0
    find_health_path: Callable[[str], str] = lambda service: ""
    find_warm_up: Callable[[str], WarmUpRule | None] = lambda service: None
    is_service_known: Callable[[str], bool] = lambda service: True
    warm_up_limits: WarmUpLimits = WarmUpLimits()
    started_at: Seconds = 0.0
    suspects: SuspectTable = msgspec.field(default_factory=SuspectTable)
    feed: Feed = lambda owned, event: None
    list_links: Callable[[], Iterable[ReplyLink]] = lambda: ()
    runs: AnnouncedRuns | None = None
    has_evicted: bool = False
    owned: dict[str, OwnedUpstream] = msgspec.field(default_factory=dict)
    is_draining: bool = False
    is_evacuated: bool = False
    has_configuration: bool = False
    stale_version: int | None = None
    evicted_sent_at: Seconds = -math.inf
    configured_address: UpstreamAddress | None = None
    queries: UpstreamQueries | None = None
    holds: DepartureHolds | None = None
    number_checks: NumberChecks | None = None
    note_origin: Callable[[str], None] = lambda service: None

    def __post_init__(self):
        self.queries = UpstreamQueries(self)
        self.holds = DepartureHolds(self)
        self.number_checks = NumberChecks(self)
        if self.runs is None:
            keeper = create_run_keeper(self.own.name, self.own.incarnation, is_loaded=True)
            self.runs = AnnouncedRuns(keeper)

    def handle_announcement(self, announcement: Announcement) -> AnnouncementRefusal | None:
        """Register an upstream or renew its lease; return why the announcement changes nothing.

        A late announcement is no refusal: a newer one of the same upstream is in force.
        """
        owned = self.owned.get(announcement.name)
        is_first = owned is None
        if owned is None:
            if self.runs.is_late(announcement) and not self.number_checks.accepts(announcement):
                return None
            if is_ordered(announcement) and not self.runs.is_loaded:
                is_kept = self.runs.keep_unloaded(announcement)
                return None if is_kept else AnnouncementRefusal.NO_CAPACITY
            if self.holds.hold_off(announcement):
                return None
            if len(self.owned) >= MAX_OWNED_UPSTREAMS and not self._evict_gone():
                return AnnouncementRefusal.NO_CAPACITY
            owned = self._create_owned(announcement)
        elif is_earlier_run(owned, announcement):
            return None
        elif is_later_run(owned, announcement):
            if self.runs.is_late(announcement) or self.holds.hold_off(announcement):
                return None
            self._begin_run(owned, announcement)
        elif owned.has_left and not is_ordered(announcement):
            # It has left, and its announcements carry no start time. The arrival of the first
            # announcement after that counts as the start of its next run.
            self._begin_run(owned, announcement)
            owned.born_ms = max(owned.born_ms + 1, self.recorder.clock.wall_ms())
        elif names_other_service(owned, announcement):
            self.recorder.record(
                EventKind.ANNOUNCEMENT_REFUSED,
                upstream=announcement.name,
                detail=announcement.service,
            )
            return AnnouncementRefusal.OTHER_SERVICE
        if is_ordered(announcement) and (owned.has_left or is_overtaken(owned, announcement)):
            # The announcement is late: the upstream has sent a newer one or has left since, which
            # stays in force unless the number alone is to be doubted.
            if not self.number_checks.accepts(announcement):
                return None
        owned.last_sequence = announcement.sequence or owned.last_sequence
        owned.born_ms = max(owned.born_ms, announcement.born_ms)
        self.runs.note(announcement, owned.born_ms)
        owned.lease_until = trio.current_time() + self.lease_ms / MILLISECONDS_PER_SECOND
        self._move_pool(owned, announcement)
        if self._needs_verification(owned, announcement, is_first=is_first):
            self._start_verification(owned, announcement, is_first=is_first)
        else:
            if owned.is_verified and owned.announced_state is UpstreamState.GONE:
                # Whatever happened to the upstream while it was gone, it has not told it.
                self.feed(owned, ev.UpstreamAssumedCold())
            owned.is_verified = True
            self.end_previous(announcement)
            self.apply_announcement(owned, announcement)
        return None

    def handle_loaded(self) -> None:
        """Apply the announcements that arrived before it was known what had been announced."""
        for name in self.runs.list_unnamed():
            self.holds.begin(name)
        for announcement in self.runs.take_unloaded():
            self.handle_announcement(announcement)

    def _create_owned(self, announcement: Announcement) -> OwnedUpstream:
        now = trio.current_time()
        # An upstream that was announced to another process before stays with that process until the
        # lease there expires. No other process reaches the one at the configured address.
        is_alone = self._is_beside(announcement)
        lease = self.lease_ms / MILLISECONDS_PER_SECOND
        owned = create_owned_upstream(
            announcement,
            self.own,
            self.slot_share,
            WarmUpState(
                self.warm_up_limits,
                assumed_cold_at=now,
                last_sent_at=max(self.started_at, self.evicted_sent_at),
                is_rule_known=False,
            ),
            self.suspects,
            alone_from=now if is_alone else now + lease,
        )
        self.owned[announcement.name] = owned
        for link in self.list_links():
            self.feed(owned, ev.LinkOpened(link.peer.name, link.peer.incarnation, link.epoch))
        return owned

    def _begin_run(self, owned: OwnedUpstream, announcement: Announcement) -> None:
        """Reset the state for the next run of an upstream, which knows nothing of the last one."""
        self.recorder.record(
            EventKind.UPSTREAM_RESTARTED,
            upstream=announcement.name,
            detail=str(announcement.born_ms),
        )
        self.feed(owned, ev.UpstreamRestarted())
        self.nursery.start_soon(owned.pool.aclose)
        owned.pool = UpstreamPool(announcement.host, announcement.port, announcement.connections)
        owned.last_sequence = None
        owned.has_left = False
        owned.is_verified = False
        owned.is_unreachable = False

    def _needs_verification(
        self, owned: OwnedUpstream, announcement: Announcement, *, is_first: bool
    ) -> bool:
        if owned.is_verified or not announcement.sequence:
            return False
        if is_first:
            return True
        if self._find_previous(announcement) is None:
            return False
        # Announcements that a network partition delayed may arrive after those of the upstream that
        # replaced this one, so a query decides whether this one still has the address.
        can_query = self.dialect.answering_upstream is not None
        return can_query and bool(self.find_health_path(announcement.service))

    def _start_verification(
        self, owned: OwnedUpstream, announcement: Announcement, *, is_first: bool
    ) -> None:
        if announcement.state is UpstreamState.READY:
            self.nursery.start_soon(self.queries.verify, owned, announcement, is_first)
        else:
            self.apply_announcement(owned, announcement)

    def handle_leaving(self, owned: OwnedUpstream) -> None:
        """Publish an upstream as draining that reports that it leaves; it may never announce it."""
        if owned.owner_state.is_leaving:
            return
        self.runs.note_left(owned.upstream.name, owned.born_ms)
        self.feed(owned, ev.LeavingReported())
        self.set_state(owned)
        self.recorder.record(EventKind.UPSTREAM_LEAVING, upstream=owned.upstream.name)

    def is_registered_at(self, address: UpstreamAddress) -> bool:
        """Return whether an upstream is registered at an address and has not ended."""
        return bool(self.list_registered_at(address.host, address.port))

    def list_registered_at(self, host: str, port: int) -> list[OwnedUpstream]:
        """Return the upstreams that are registered at an address and have not ended."""
        return [
            owned
            for owned in self.owned.values()
            if (owned.pool.host, owned.pool.port) == (host, port)
            and owned.announced_state is not UpstreamState.GONE
        ]

    def apply_announcement(self, owned: OwnedUpstream, announcement: Announcement) -> None:
        """Put a verified announcement in force."""
        if owned.announced_state is UpstreamState.GONE and self._is_beside(announcement):
            self.note_origin(announcement.service)
        owned.announced_state = announcement.state
        changed = replace(
            owned.upstream,
            service=announcement.service,
            slots=announcement.slots,
            connections=announcement.connections,
            state=self._find_state(owned),
            born_ms=owned.born_ms,
        )
        self._publish(owned, changed)
        # Each event may start attempts that wait. What raises doubt about the upstream comes first.
        if announcement.sequence:
            self.feed(owned, ev.WarmUpReported(announcement.warm_up_left_ms))
        self._feed_rule(owned)
        self.feed_state(owned)
        self.queries.start_warm_up_queries(owned)

    def _is_beside(self, announcement: Announcement) -> bool:
        address = UpstreamAddress(announcement.host, announcement.port)
        return self.configured_address == address

    def _find_state(self, owned: OwnedUpstream) -> UpstreamState:
        """Return the state to publish; this process takes no attempts any more once it stops."""
        state = _find_own_state(owned)
        is_ready = state is UpstreamState.READY
        return UpstreamState.DRAINING if self.is_draining and is_ready else state

    def _evict_gone(self) -> bool:
        """Evict an upstream that is gone and has no attempts, to make room for another one."""
        for name, owned in self.owned.items():
            is_idle = not owned.owner_state.running and not owned.owner_state.waiting
            if owned.announced_state is UpstreamState.GONE and is_idle:
                del self.owned[name]
                self.has_evicted = True
                sent_at = owned.owner_state.warm_up.last_sent_at
                self.evicted_sent_at = max(self.evicted_sent_at, sent_at)
                return True
        return False

    def _find_previous(self, announcement: Announcement) -> OwnedUpstream | None:
        """Return another upstream that is registered at the announced address, or None."""
        registered = self.list_registered_at(announcement.host, announcement.port)
        return next(
            (owned for owned in registered if owned.upstream.name != announcement.name), None
        )

    def end_previous(self, announcement: Announcement) -> None:
        """End the upstreams that were registered at the announced address before."""
        while (previous := self._find_previous(announcement)) is not None:
            self._end_replaced(previous)
            previous.has_left = True
            self.runs.note_left(previous.upstream.name, previous.born_ms)

    def handle_pushed_upstream(self, pushed: Upstream) -> None:
        """Apply a state pushed by the voters; DRAINING without an announcement is a drain mark.

        While this process stops, it has announced all upstreams as draining itself.
        """
        owned = self.owned.get(pushed.name)
        if owned is None or pushed.owner != self.own or self.is_draining:
            return
        if pushed.sequence != owned.upstream.sequence:
            return
        is_ready = owned.upstream.state is UpstreamState.READY
        is_drain_marked = is_ready and pushed.state is UpstreamState.DRAINING
        if is_drain_marked != owned.is_drain_marked:
            owned.is_drain_marked = is_drain_marked
            self.feed_state(owned)

    def handle_configuration(self, evacuated: frozenset[str]) -> None:
        """Apply a new configuration and the set of evacuated data centres."""
        was_evacuated = self.is_evacuated
        is_first = not self.has_configuration
        self.is_evacuated = self.own.data_centre in evacuated
        self.has_configuration = True
        for owned in self.owned.values():
            if was_evacuated and not self.is_evacuated:
                # The upstream got no requests during the evacuation and may have been restarted.
                self.feed(owned, ev.UpstreamAssumedCold())
            self._feed_rule(owned)
            if is_first or self.is_evacuated != was_evacuated:
                self.feed_state(owned)
            if self.is_evacuated and not was_evacuated:
                self.feed(owned, ev.QueueWithdrawn())
            self.queries.start_warm_up_queries(owned)

    def handle_services(self) -> None:
        """Apply the configuration of services that came later than the version they belong to."""
        for owned in self.owned.values():
            self._feed_rule(owned)
            self.queries.start_warm_up_queries(owned)

    def _feed_rule(self, owned: OwnedUpstream) -> None:
        """Tell the owner of an upstream what is known of the warm-up of its service."""
        service = owned.upstream.service
        has_headers = None not in (self.dialect.warm_up, self.dialect.answering_upstream)
        is_queryable = has_headers and bool(self.find_health_path(service))
        rule = self.find_warm_up(service)
        self.feed(owned, ev.WarmUpConfigured(rule, self.is_service_known(service), is_queryable))

    def handle_freshness(self, version: int, *, is_fresh: bool) -> None:
        """Apply that the proof that a version is the newest was lost, or is there again."""
        if not is_fresh:
            self.stale_version = version
        elif self.stale_version not in (None, version):
            # An evacuation may have begun and ended unseen, during which upstreams turned cold.
            self.doubt_all()

    def doubt_all(self) -> None:
        """Assume that all upstreams are cold, since what happened to them may have been missed."""
        for owned in tuple(self.owned.values()):
            self.feed(owned, ev.UpstreamAssumedCold())
            self.queries.start_warm_up_queries(owned)

    def feed_state(self, owned: OwnedUpstream) -> None:
        """Tell the state of an upstream to its owner, which knows by itself that it stops."""
        upstream = owned.upstream
        state = _find_own_state(owned)
        if state is UpstreamState.READY:
            state = self._find_permitted_state(owned)
        if self.is_draining:
            # The upstream may have announced itself only since the stop began.
            self.feed(owned, ev.Drain())
        self.feed(owned, ev.UpstreamAnnounced(upstream.slots, upstream.connections, state))

    def _find_permitted_state(self, owned: OwnedUpstream) -> UpstreamState:
        """Return the state of an upstream that is ready itself, as operators permit it."""
        if not self.has_configuration:
            # To drain it would report that all its requests have ended.
            return UpstreamState.GONE
        is_withdrawn = owned.is_drain_marked or self.is_evacuated
        return UpstreamState.DRAINING if is_withdrawn else UpstreamState.READY

    def mark_unreachable(self, owned: OwnedUpstream) -> None:
        """Publish an upstream that refuses connections as gone, and retry it in the background."""
        owned.is_unreachable = True
        self.set_state(owned)
        self.nursery.start_soon(self.queries.wait_until_reachable, owned)

    def _move_pool(self, owned: OwnedUpstream, announcement: Announcement) -> None:
        if (owned.pool.host, owned.pool.port) == (announcement.host, announcement.port):
            return
        self.nursery.start_soon(owned.pool.aclose)
        owned.pool = UpstreamPool(announcement.host, announcement.port, announcement.connections)
        # Whoever is at another address has most likely been started there.
        self.feed(owned, ev.UpstreamAssumedCold())
        if owned.is_unreachable:
            owned.is_unreachable = False
            self.feed(owned, ev.UpstreamReachable())

    def _publish(self, owned: OwnedUpstream, changed: Upstream) -> None:
        if changed == owned.upstream:
            return
        owned.upstream = replace(changed, sequence=changed.sequence + 1)
        kind = _STATE_EVENTS[changed.state]
        self.recorder.record(kind, upstream=changed.name, detail=changed.service)
        self.announce(owned.upstream)

    def handle_departure(self, name: str, born_ms: int = 0) -> bool:
        """Handle the final departure of an upstream's run; return False if the name is unknown.

        `born_ms` is the start time of the run; 0 stands for the newest one that is known, unless a
        later one has left of which nothing has arrived.
        """
        is_unnamed = not born_ms
        if is_unnamed:
            self.holds.begin(name)
        owned = self.owned.get(name)
        if owned is None:
            # It may have been registered at an earlier run of this process, and a late announcement
            # of it may still arrive.
            is_known = self.runs.has_left(name)
            self.runs.note_left(name, born_ms, is_unnamed=is_unnamed)
            return is_known
        if born_ms and born_ms < owned.born_ms:
            return True
        owned.born_ms = max(owned.born_ms, born_ms or self.runs.find_born_ms(name))
        owned.has_left = True
        self.runs.note_left(name, owned.born_ms, is_unnamed=is_unnamed)
        self._end(owned)
        return True

    def withdraw_all(self) -> None:
        """Publish all upstreams as gone, since this process stops; they run on and may return."""
        for owned in tuple(self.owned.values()):
            owned.has_left = True
            self._end(owned)

    def handle_misdirected(self, name: str) -> None:
        """End an upstream after another one at its address has answered that it is not the one.

        The other one may be of any service, so it gets no requests before it announces itself.
        """
        owned = self.owned.get(name)
        if owned is None or owned.announced_state is UpstreamState.GONE:
            return
        self._end_replaced(owned)

    def end_expired(self, now: Seconds) -> None:
        """End the upstreams whose announcement lease has expired."""
        for owned in tuple(self.owned.values()):
            if owned.lease_until < now and owned.announced_state is not UpstreamState.GONE:
                self.runs.forget(owned.upstream.name)
                self._end(owned)

    def _end_replaced(self, owned: OwnedUpstream) -> None:
        """End an upstream whose address now belongs to another one."""
        self._end(owned, is_replaced=owned.announced_state is UpstreamState.READY)

    def _end(self, owned: OwnedUpstream, *, is_replaced: bool = False) -> None:
        owned.announced_state = UpstreamState.GONE
        owned.is_unreachable = False
        self.feed(owned, ev.UpstreamLost(is_replaced))
        self.set_state(owned)

    def set_state(self, owned: OwnedUpstream) -> None:
        """Publish the state of an upstream if it has changed."""
        self._publish(owned, replace(owned.upstream, state=self._find_state(owned)))

    def drain(self) -> None:
        """Refuse new attempts from now on and publish the upstreams as draining."""
        self.is_draining = True
        for owned in self.owned.values():
            self.set_state(owned)
            self.feed(owned, ev.Drain())


_STATE_EVENTS = {
    UpstreamState.READY: EventKind.UPSTREAM_READY,
    UpstreamState.DRAINING: EventKind.UPSTREAM_DRAINING,
    UpstreamState.GONE: EventKind.UPSTREAM_GONE,
}
