"""Register the upstreams on this instance, verify them and expire their leases."""

from collections.abc import Awaitable, Callable, Iterable

import msgspec
import trio
from msgspec.structs import replace

from bendwind_core.admission import WarmUpLimits, WarmUpState, find_limited_send_at, is_assumed_cold
from bendwind_core.attempts import owner
from bendwind_core.attempts import owner_events as ev
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.runs import (
    RunKeeper,
    create_run_keeper,
    forget_run,
    has_left,
    is_late,
    list_ready,
    report_run,
)
from bendwind_core.suspicion import SuspectTable
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Instance, Upstream, UpstreamState, WarmUpRule
from bendwind_node.calls.dialect import Dialect
from bendwind_node.calls.health_check import HealthAnswer, query_health
from bendwind_node.calls.owned_upstream import (
    Announcement,
    AnnouncementRefusal,
    OwnedUpstream,
    UpstreamAddress,
    is_earlier_run,
    is_later_run,
    names_other_service,
)
from bendwind_node.calls.reply_path import ReplyLink
from bendwind_node.calls.upstream_h11 import UpstreamPool, wait_until_accepting
from bendwind_node.calls.upstream_notice import UpstreamNotice
from bendwind_node.guarded_tasks import GuardedNursery, record_task_failure

QUEUE_LIMIT = 16
MAX_OWNED_UPSTREAMS = 8
# An answer takes one round trip within the instance; a stalled upstream does not answer at all.
HEALTH_QUERY_TIMEOUT: Seconds = 0.5
# Interval of polls for a health path that the configuration does not name yet, and wait after a
# health query that did not lead to a registration or to a known warm-up state.
HEALTH_PATH_POLL_INTERVAL: Seconds = 0.02
HEALTH_QUERY_INTERVAL: Seconds = 0.2

Feed = Callable[[OwnedUpstream, ev.OwnerEvent], None]


async def _confirm_at_once(name: str) -> bool:
    return True


class UpstreamRegister(msgspec.Struct, eq=False):
    """Hold the upstreams on this instance by name.

    `feed` and `list_links` are set by the owner node: `feed` applies an event to the state of an
    upstream, and `list_links` returns the open links, which a new upstream's state has to know.
    `started_at` is when this process started. `suspects` holds the requests that may end
    upstreams. `has_evicted` says that a gone upstream was removed to make room for another.
    `is_evacuated` says that operators withdrew this data centre, so that its upstreams get no
    requests. `configured_address` is the address of the only upstream on this instance
    according to the settings, None if they name none; no other process reaches that upstream.
    `runs` holds what upstreams have announced to this process or to an earlier one here. Nothing
    else shows which service an upstream belongs to, since its address may have been given to one of
    another service, nor that it has not left. `unloaded` holds the newest announcement of each
    upstream that arrived before `runs` was loaded. `wake_runs` is called after `runs` changed, and
    `wait_recorded` returns whether what is known of an upstream will outlive this process: until
    then no draining and no departure of it may be acknowledged.
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
    warm_up_limits: WarmUpLimits = WarmUpLimits()
    started_at: Seconds = 0.0
    suspects: SuspectTable = msgspec.field(default_factory=SuspectTable)
    feed: Feed = lambda owned, event: None
    list_links: Callable[[], Iterable[ReplyLink]] = lambda: ()
    runs: RunKeeper | None = None
    wake_runs: Callable[[], None] = lambda: None
    wait_recorded: Callable[[str], Awaitable[bool]] = _confirm_at_once
    unloaded: dict[str, Announcement] = msgspec.field(default_factory=dict)
    has_evicted: bool = False
    owned: dict[str, OwnedUpstream] = msgspec.field(default_factory=dict)
    is_draining: bool = False
    is_evacuated: bool = False
    configured_address: UpstreamAddress | None = None

    def __post_init__(self):
        if self.runs is None:
            self.runs = create_run_keeper(self.own.name, self.own.incarnation, is_loaded=True)

    def handle_announcement(self, announcement: Announcement) -> AnnouncementRefusal | None:
        """Register an upstream or renew its lease; return why the announcement changes nothing.

        A late announcement is no refusal: a newer one of the same upstream is in force.
        """
        owned = self.owned.get(announcement.name)
        is_first = owned is None
        if owned is None:
            if announcement.sequence and is_late(
                self.runs, announcement.name, announcement.born_ms, announcement.sequence
            ):
                return None
            if announcement.sequence and not self.runs.is_loaded:
                return self._keep_unloaded(announcement)
            if len(self.owned) >= MAX_OWNED_UPSTREAMS and not self._evict_gone():
                return AnnouncementRefusal.NO_CAPACITY
            owned = self._create_owned(announcement)
        elif is_earlier_run(owned, announcement):
            return None
        elif is_later_run(owned, announcement):
            self._begin_run(owned, announcement)
        elif owned.has_left and not announcement.sequence:
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
        if announcement.sequence and (
            owned.has_left or announcement.sequence <= owned.last_sequence
        ):
            # The announcement is late: the upstream has sent a newer one or has left since, which
            # stays in force.
            return None
        owned.last_sequence = max(owned.last_sequence, announcement.sequence)
        owned.born_ms = max(owned.born_ms, announcement.born_ms)
        self._note_run(announcement, owned.born_ms)
        owned.lease_until = trio.current_time() + self.lease_ms / MILLISECONDS_PER_SECOND
        self._move_pool(owned, announcement)
        if self._needs_verification(owned, announcement, is_first=is_first):
            self._start_verification(owned, announcement, is_first=is_first)
        else:
            owned.is_verified = True
            self._end_previous(announcement)
            self._apply_announcement(owned, announcement)
        return None

    def _keep_unloaded(self, announcement: Announcement) -> AnnouncementRefusal | None:
        """Keep an announcement until it can be told whether it is late."""
        kept = self.unloaded.get(announcement.name)
        if kept is None and len(self.unloaded) >= MAX_OWNED_UPSTREAMS:
            return AnnouncementRefusal.NO_CAPACITY
        if kept is None or _find_order(kept) < _find_order(announcement):
            self.unloaded[announcement.name] = announcement
        if announcement.state is UpstreamState.DRAINING:
            self._note_run(announcement, announcement.born_ms)
        return None

    def handle_loaded(self) -> None:
        """Apply the announcements that arrived before it was known what had been announced."""
        unloaded = tuple(self.unloaded.values())
        self.unloaded.clear()
        for announcement in unloaded:
            self.handle_announcement(announcement)

    def _note_run(self, announcement: Announcement, born_ms: int) -> None:
        report_run(
            self.runs,
            announcement.name,
            announcement.state,
            announcement.service,
            born_ms,
            announcement.sequence,
        )
        self.wake_runs()

    def _note_left(self, name: str, born_ms: int) -> None:
        report_run(self.runs, name, UpstreamState.GONE, born_ms=born_ms)
        self.wake_runs()

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
        owned.last_sequence = 0
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
            self.nursery.start_soon(self._verify, owned, announcement, is_first)
        else:
            self._apply_announcement(owned, announcement)

    async def _verify(
        self, owned: OwnedUpstream, announcement: Announcement, is_first: bool
    ) -> None:
        queried_at = trio.current_time()
        answer = await self._query_owned(owned, announcement.service)
        while answer is None and self._awaits_verification(owned, announcement):
            # The configuration may not name the path yet, or the upstream may be busy. The next
            # announcement, which may come a second later, verifies it too.
            has_path = bool(self.find_health_path(announcement.service))
            await trio.sleep(HEALTH_QUERY_INTERVAL if has_path else HEALTH_PATH_POLL_INTERVAL)
            queried_at = trio.current_time()
            answer = await self._query_owned(owned, announcement.service)
        if owned.born_ms != announcement.born_ms:
            # Another run has begun since, and the answer may be from that run.
            return
        if answer is not None and answer.name == announcement.name:
            self._end_previous(announcement)
            # A leaving upstream may report that it is unhealthy, and then the rest of its answer is
            # not used. Its notice is therefore applied first.
            self._record_notice(owned, answer.notice, queried_at)
            # A healthy upstream may report itself as unhealthy. A second announcement therefore
            # verifies it without a healthy answer.
            owned.is_verified = owned.is_verified or answer.is_healthy or not is_first
        if (
            owned.is_verified
            and not owned.has_left
            and owned.last_sequence == announcement.sequence
        ):
            self.record_health_answer(owned, answer, queried_at)
            self._apply_announcement(owned, announcement)

    def _awaits_verification(self, owned: OwnedUpstream, announcement: Announcement) -> bool:
        """Return whether an announcement is the newest of an upstream that is not verified yet."""
        return (
            self.owned.get(announcement.name) is owned
            and not owned.is_verified
            and not owned.has_left
            and owned.born_ms == announcement.born_ms
            and owned.last_sequence == announcement.sequence
            and trio.current_time() < owned.lease_until
        )

    def record_health_answer(
        self, owned: OwnedUpstream, answer: HealthAnswer | None, queried_at: Seconds
    ) -> None:
        """Record the pace, warm-up and notice that an upstream reports on its health path."""
        if answer is None or answer.name not in ("", owned.upstream.name):
            # An answer from another upstream does not show that this one is alive.
            return
        # An upstream that has just started is slow. Without its slow factor, the times of its first
        # answers would count as its usual pace.
        if answer.slow_factor is not None:
            self.feed(owned, ev.LoadReported(answer.slow_factor))
        if answer.warm_up_left_ms is not None and answer.name:
            self.feed(owned, ev.WarmUpReported(answer.warm_up_left_ms, queried_at))
        if answer.name:
            self._record_notice(owned, answer.notice, queried_at)

    def _record_notice(
        self, owned: OwnedUpstream, notice: UpstreamNotice, queried_at: Seconds
    ) -> None:
        # Health answers need not repeat the rate limit, so one without a limit does not lift it.
        if notice.limit_per_s is not None:
            self.feed(owned, ev.RateLimitReported(notice.limit_per_s, queried_at))
        if notice.is_leaving:
            self.handle_leaving(owned)

    def handle_leaving(self, owned: OwnedUpstream) -> None:
        """Publish an upstream as draining that reports that it leaves; it may never announce it."""
        if owned.owner_state.is_leaving:
            return
        self._note_left(owned.upstream.name, owned.born_ms)
        self.feed(owned, ev.LeavingReported())
        self._set_state(owned)
        self.recorder.record(EventKind.UPSTREAM_LEAVING, upstream=owned.upstream.name)

    async def _query_owned(self, owned: OwnedUpstream, service: str) -> HealthAnswer | None:
        self.feed(owned, ev.UpstreamQueried())
        return await self.query_health(owned.pool, service)

    async def query_health(self, pool: UpstreamPool, service: str) -> HealthAnswer | None:
        """Return the answer on the health path of a service, None if there is none in time.

        Whoever waits for the answer goes on without one if the query itself fails.
        """
        try:
            with trio.move_on_after(HEALTH_QUERY_TIMEOUT):
                return await query_health(pool, self.find_health_path(service), self.dialect)
        except Exception as error:
            record_task_failure(self.recorder, error, f"health query of {service}")
        return None

    async def register_by_health_path(self, address: UpstreamAddress) -> None:
        """Register the upstream at an address before it announces itself, if it is a known one.

        Its health answer names it, and `runs` holds its service. Without this, a process that has
        just started would refuse every request until the next announcement. The queries end once an
        upstream is registered at the address, or after the length of a lease.
        """
        self.configured_address = address
        pool = UpstreamPool(address.host, address.port, 1)
        with trio.move_on_after(self.lease_ms / MILLISECONDS_PER_SECOND):
            while not self._is_registered_at(address):
                if self.runs.is_loaded and not list_ready(self.runs):
                    break
                services = self._list_services_with_health_path()
                for service in services:
                    await self._register_by_answer(address, pool, service)
                await trio.sleep(HEALTH_QUERY_INTERVAL if services else HEALTH_PATH_POLL_INTERVAL)
        await pool.aclose()

    def _list_services_with_health_path(self) -> tuple[str, ...]:
        services = {run.service: None for run in list_ready(self.runs)}
        return tuple(service for service in services if self.find_health_path(service))

    async def _register_by_answer(
        self, address: UpstreamAddress, pool: UpstreamPool, service: str
    ) -> None:
        queried_at = trio.current_time()
        answer = await self.query_health(pool, service)
        if answer is not None and not self._is_registered_at(address):
            self._register_from_answer(address, answer, queried_at)

    def _register_from_answer(
        self, address: UpstreamAddress, answer: HealthAnswer, queried_at: Seconds
    ) -> None:
        run = next((run for run in list_ready(self.runs) if run.name == answer.name), None)
        if run is None:
            return
        if answer.notice.is_leaving:
            self._note_left(run.name, run.born_ms)
            return
        if not answer.is_healthy or not answer.slots:
            return
        self.handle_announcement(
            Announcement(
                answer.name,
                run.service,
                address.host,
                address.port,
                answer.slots,
                answer.slots,
                UpstreamState.READY,
                born_ms=run.born_ms,
            )
        )
        registered = self.owned.get(answer.name)
        if registered is not None:
            self.record_health_answer(registered, answer, queried_at)

    def _is_registered_at(self, address: UpstreamAddress) -> bool:
        return bool(self._list_registered_at(address.host, address.port))

    def _list_registered_at(self, host: str, port: int) -> list[OwnedUpstream]:
        """Return the upstreams that are registered at an address and have not ended."""
        return [
            owned
            for owned in self.owned.values()
            if (owned.pool.host, owned.pool.port) == (host, port)
            and owned.announced_state is not UpstreamState.GONE
        ]

    def _apply_announcement(self, owned: OwnedUpstream, announcement: Announcement) -> None:
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
        self.feed(owned, ev.WarmUpConfigured(self.find_warm_up(announcement.service)))
        if announcement.sequence:
            self.feed(owned, ev.WarmUpReported(announcement.warm_up_left_ms))
        self._feed_state(owned)
        self._start_warm_up_queries(owned)

    def _find_state(self, owned: OwnedUpstream) -> UpstreamState:
        """Return the state to publish; an upstream that refuses connections counts as gone."""
        if owned.is_unreachable or owned.announced_state is UpstreamState.GONE:
            return UpstreamState.GONE
        is_leaving = self.is_draining or owned.owner_state.is_leaving
        return UpstreamState.DRAINING if is_leaving else owned.announced_state

    def _evict_gone(self) -> bool:
        """Evict an upstream that is gone and has no attempts, to make room for another one."""
        for name, owned in self.owned.items():
            is_idle = not owned.owner_state.running and not owned.owner_state.waiting
            if owned.announced_state is UpstreamState.GONE and is_idle:
                del self.owned[name]
                self.has_evicted = True
                return True
        return False

    def _find_previous(self, announcement: Announcement) -> OwnedUpstream | None:
        """Return another upstream that is registered at the announced address, or None."""
        registered = self._list_registered_at(announcement.host, announcement.port)
        return next(
            (owned for owned in registered if owned.upstream.name != announcement.name), None
        )

    def _end_previous(self, announcement: Announcement) -> None:
        """End the upstreams that were registered at the announced address before."""
        while (previous := self._find_previous(announcement)) is not None:
            self._end_replaced(previous)
            previous.has_left = True
            self._note_left(previous.upstream.name, previous.born_ms)

    def handle_pushed_upstream(self, pushed: Upstream) -> None:
        """Apply a state pushed by the voters; DRAINING without an announcement is a drain mark."""
        owned = self.owned.get(pushed.name)
        if owned is None or pushed.owner != self.own:
            return
        if pushed.sequence != owned.upstream.sequence:
            return
        is_ready = owned.upstream.state is UpstreamState.READY
        is_drain_marked = is_ready and pushed.state is UpstreamState.DRAINING
        if is_drain_marked != owned.is_drain_marked:
            owned.is_drain_marked = is_drain_marked
            self._feed_state(owned)

    def handle_configuration(self, evacuated: frozenset[str]) -> None:
        """Apply a new configuration and the set of evacuated data centres."""
        was_evacuated = self.is_evacuated
        self.is_evacuated = self.own.data_centre in evacuated
        for owned in self.owned.values():
            self.feed(owned, ev.WarmUpConfigured(self.find_warm_up(owned.upstream.service)))
            if self.is_evacuated != was_evacuated:
                self._evacuate(owned)
            self._start_warm_up_queries(owned)

    def _evacuate(self, owned: OwnedUpstream) -> None:
        self._feed_state(owned)
        if self.is_evacuated:
            self.feed(owned, ev.QueueWithdrawn())
        else:
            # The upstream got no requests during the evacuation and may have been restarted.
            self.feed(owned, ev.UpstreamAssumedCold())

    def _feed_state(self, owned: OwnedUpstream) -> None:
        upstream = owned.upstream
        is_withdrawn = owned.is_drain_marked or self.is_evacuated
        is_ready = upstream.state is UpstreamState.READY
        state = UpstreamState.DRAINING if is_withdrawn and is_ready else upstream.state
        self.feed(owned, ev.UpstreamAnnounced(upstream.slots, upstream.connections, state))

    def _create_owned(self, announcement: Announcement) -> OwnedUpstream:
        upstream = Upstream(
            announcement.name,
            announcement.service,
            self.own,
            announcement.slots,
            announcement.connections,
            UpstreamState.GONE,
        )
        owner_state = owner.create_owner_state(
            announcement.name,
            self.own.incarnation,
            QUEUE_LIMIT,
            slot_share=self.slot_share,
            warm_up=WarmUpState(
                self.warm_up_limits,
                assumed_cold_at=trio.current_time(),
                last_sent_at=self.started_at,
            ),
            suspects=self.suspects,
            alone_from=self._find_alone_from(announcement),
        )
        pool = UpstreamPool(announcement.host, announcement.port, announcement.connections)
        owned = OwnedUpstream(
            upstream, owner_state, pool, 0.0, is_verified=not announcement.sequence
        )
        self.owned[announcement.name] = owned
        for link in self.list_links():
            self.feed(owned, ev.LinkOpened(link.peer.name, link.peer.incarnation, link.epoch))
        return owned

    def _find_alone_from(self, announcement: Announcement) -> Seconds:
        """Return from when on no other process sends requests to a newly registered upstream.

        An upstream that was announced to another process before stays with that process until the
        lease there expires.
        """
        now = trio.current_time()
        if self.configured_address is not None and (
            self.configured_address.host,
            self.configured_address.port,
        ) == (announcement.host, announcement.port):
            return now
        return now + self.lease_ms / MILLISECONDS_PER_SECOND

    def _start_warm_up_queries(self, owned: OwnedUpstream) -> None:
        """Query an upstream that counts as cold only because its warm-up state is unknown."""
        is_assumed = is_assumed_cold(owned.owner_state.warm_up, trio.current_time())
        if is_assumed and not owned.is_being_queried and self.dialect.warm_up is not None:
            owned.is_being_queried = True
            self.nursery.start_soon(self._query_until_warm_up_known, owned)

    async def _query_until_warm_up_known(self, owned: OwnedUpstream) -> None:
        try:
            await self._query_while_assumed_cold(owned)
        finally:
            owned.is_being_queried = False

    async def _query_while_assumed_cold(self, owned: OwnedUpstream) -> None:
        while is_assumed_cold(owned.owner_state.warm_up, trio.current_time()):
            queried_at = trio.current_time()
            answer = await self._query_owned(owned, owned.upstream.service)
            self.record_health_answer(owned, answer, queried_at)
            now = trio.current_time()
            if is_assumed_cold(owned.owner_state.warm_up, now):
                next_send_at = find_limited_send_at(owned.owner_state.rate_limit, 0, now)
                await trio.sleep(max(HEALTH_QUERY_INTERVAL, next_send_at - now))

    def mark_unreachable(self, owned: OwnedUpstream) -> None:
        """Publish an upstream that refuses connections as gone, and retry it in the background."""
        owned.is_unreachable = True
        self._set_state(owned)
        self.nursery.start_soon(self._wait_until_reachable, owned)

    async def _wait_until_reachable(self, owned: OwnedUpstream) -> None:
        pool = owned.pool
        is_reachable = await wait_until_accepting(
            pool.host, pool.port, lambda: owned.is_unreachable and owned.pool is pool
        )
        if is_reachable:
            owned.is_unreachable = False
            self.feed(owned, ev.UpstreamReachable())
            # An upstream that accepts connections again has most likely been restarted.
            self.feed(owned, ev.UpstreamAssumedCold())
            self._set_state(owned)
            self._feed_state(owned)
            self._start_warm_up_queries(owned)

    def _move_pool(self, owned: OwnedUpstream, announcement: Announcement) -> None:
        if (owned.pool.host, owned.pool.port) == (announcement.host, announcement.port):
            return
        self.nursery.start_soon(owned.pool.aclose)
        owned.pool = UpstreamPool(announcement.host, announcement.port, announcement.connections)
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

        `born_ms` is the start time of the run; 0 stands for the run that is registered now.
        """
        owned = self.owned.get(name)
        if owned is None:
            # It may have been registered at an earlier run of this process, and a late announcement
            # of it may still arrive.
            is_known = has_left(self.runs, name)
            self.unloaded.pop(name, None)
            self._note_left(name, born_ms)
            return is_known
        if born_ms and born_ms < owned.born_ms:
            return True
        owned.born_ms = max(owned.born_ms, born_ms)
        owned.has_left = True
        self._note_left(name, owned.born_ms)
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
                forget_run(self.runs, owned.upstream.name)
                self._end(owned)

    def _end_replaced(self, owned: OwnedUpstream) -> None:
        """End an upstream whose address now belongs to another one."""
        self._end(owned, is_replaced=owned.announced_state is UpstreamState.READY)

    def _end(self, owned: OwnedUpstream, *, is_replaced: bool = False) -> None:
        owned.announced_state = UpstreamState.GONE
        owned.is_unreachable = False
        self.feed(owned, ev.UpstreamLost(is_replaced))
        self._set_state(owned)

    def _set_state(self, owned: OwnedUpstream) -> None:
        self._publish(owned, replace(owned.upstream, state=self._find_state(owned)))

    def drain(self) -> None:
        """Refuse new attempts from now on and publish the upstreams as draining."""
        self.is_draining = True
        for owned in self.owned.values():
            self._set_state(owned)
            self.feed(owned, ev.Drain())


def _find_order(announcement: Announcement) -> tuple[int, int]:
    return announcement.born_ms, announcement.sequence


_STATE_EVENTS = {
    UpstreamState.READY: EventKind.UPSTREAM_READY,
    UpstreamState.DRAINING: EventKind.UPSTREAM_DRAINING,
    UpstreamState.GONE: EventKind.UPSTREAM_GONE,
}
