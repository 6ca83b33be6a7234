"""Keep the upstreams beside this process: which there are, whether they stay, until when."""

from collections.abc import Callable, Iterable

import msgspec
import trio
from msgspec.structs import replace

from bendwind_core.admission import WarmUp, WarmUpLimits, find_turn_at, is_assumed_cold
from bendwind_core.attempts import owner
from bendwind_core.attempts import owner_events as ev
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.suspicion import SuspectTable
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Instance, Upstream, UpstreamState, WarmUpRule
from bendwind_node.calls.departures import Departures
from bendwind_node.calls.dialect import Dialect
from bendwind_node.calls.health_check import HealthAnswer, query_health
from bendwind_node.calls.owned_upstream import (
    Announcement,
    OwnedUpstream,
    UpstreamAddress,
    is_earlier_run,
    is_later_run,
    names_other_service,
)
from bendwind_node.calls.reply_path import ReplyLink
from bendwind_node.calls.upstream_h11 import UpstreamPool, wait_until_accepting
from bendwind_node.calls.upstream_notice import UpstreamNotice

QUEUE_LIMIT = 16
MAX_OWNED_UPSTREAMS = 8
# A health answer is a round trip within the instance; a stalled upstream answers none.
HEALTH_QUERY_TIMEOUT: Seconds = 0.5
# Until the configuration names the health path, and after an answer that introduced nobody.
HEALTH_PATH_POLL_INTERVAL: Seconds = 0.02
HEALTH_QUERY_INTERVAL: Seconds = 0.2

Feed = Callable[[OwnedUpstream, ev.OwnerEvent], None]


class UpstreamRegister(msgspec.Struct, eq=False):
    """Hold the upstreams beside this process by name.

    `feed` and `list_links` lead to the owner node: to an upstream's state, and to the links
    that a new one has to hear of. `started_at` is when this process started, `suspects` are the
    requests that may end upstreams. `is_evacuated` says that operators want nothing sent to the
    upstreams of this data centre. `place` is where the settings say that the one upstream beside
    this process is, which no other process reaches, None where they do not say.
    """

    own: Instance
    recorder: Recorder
    nursery: trio.Nursery
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
    departures: Departures = msgspec.field(default_factory=Departures)
    has_evicted: bool = False
    owned: dict[str, OwnedUpstream] = msgspec.field(default_factory=dict)
    is_draining: bool = False
    is_evacuated: bool = False
    configured_address: UpstreamAddress | None = None

    def handle_announcement(self, announcement: Announcement) -> bool:
        """Register or renew an upstream; False if this process holds too many."""
        owned = self.owned.get(announcement.name)
        is_first = owned is None
        if owned is None:
            if announcement.sequence and self.departures.has_departed(
                announcement.name, announcement.born_ms
            ):
                return True
            if len(self.owned) >= MAX_OWNED_UPSTREAMS and not self._evict_gone():
                return False
            owned = self._create_owned(announcement)
        elif is_earlier_run(owned, announcement):
            return True
        elif is_later_run(owned, announcement):
            self._begin_run(owned, announcement)
        elif owned.has_left and not announcement.sequence:
            # It has said goodbye and tells no birth: that of its next run is when it is heard of.
            self._begin_run(owned, announcement)
            owned.born_ms = max(owned.born_ms + 1, self.recorder.clock.wall_ms())
        elif names_other_service(owned, announcement):
            self.recorder.record(
                EventKind.ANNOUNCEMENT_REFUSED,
                upstream=announcement.name,
                detail=announcement.service,
            )
            return True
        if announcement.sequence and (
            owned.has_left or announcement.sequence <= owned.last_sequence
        ):
            # A late announcement of one that has said more since; what it said then stands.
            return True
        owned.last_sequence = max(owned.last_sequence, announcement.sequence)
        owned.born_ms = max(owned.born_ms, announcement.born_ms)
        owned.lease_until = trio.current_time() + self.lease_ms / MILLISECONDS_PER_SECOND
        self._move_pool(owned, announcement)
        if self._needs_verification(owned, announcement, is_first=is_first):
            self._start_verification(owned, announcement, is_first=is_first)
        else:
            owned.is_verified = True
            self._end_previous(announcement)
            self._apply_announcement(owned, announcement)
        return True

    def _begin_run(self, owned: OwnedUpstream, announcement: Announcement) -> None:
        """Turn to the next run of an upstream, which knows nothing of the earlier one."""
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
        # Announcements that a cut held up may come after those of the one that replaced it.
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
        if owned.born_ms != announcement.born_ms:
            # The answer may be that of the run which has begun since.
            return
        if answer is not None and answer.name == announcement.name:
            self._end_previous(announcement)
            # One that leaves may say that it is not well, so that nothing else is believed.
            self._record_notice(owned, answer.notice, queried_at)
            # An upstream that is well may say otherwise, but not that it announces itself twice.
            owned.is_verified = owned.is_verified or answer.is_healthy or not is_first
        if (
            owned.is_verified
            and not owned.has_left
            and owned.last_sequence == announcement.sequence
        ):
            self.record_health_answer(owned, answer, queried_at)
            self._apply_announcement(owned, announcement)

    def record_health_answer(
        self, owned: OwnedUpstream, answer: HealthAnswer | None, queried_at: Seconds
    ) -> None:
        """Note what an upstream said of its pace and of how cold it is."""
        if answer is None or answer.name not in ("", owned.upstream.name):
            # What another upstream says of itself is no sign of life of this one.
            return
        # One that has just started is slow: its first answers would be taken for its usual pace.
        if answer.slow_factor is not None:
            self.feed(owned, ev.LoadReported(answer.slow_factor))
        if answer.warm_up_left_ms is not None and answer.name:
            self.feed(owned, ev.WarmUpReported(answer.warm_up_left_ms, queried_at))
        if answer.name:
            self._record_notice(owned, answer.notice, queried_at)

    def _record_notice(
        self, owned: OwnedUpstream, notice: UpstreamNotice, queried_at: Seconds
    ) -> None:
        # An answer on the health path that names no limit ends none: it need not repeat it.
        if notice.limit_per_s is not None:
            self.feed(owned, ev.RateLimitReported(notice.limit_per_s, queried_at))
        if notice.is_leaving:
            self.handle_leaving(owned)

    def handle_leaving(self, owned: OwnedUpstream) -> None:
        """Hear from an upstream itself that it leaves, and tell all; it may never announce it."""
        if owned.owner_state.is_leaving:
            return
        self.feed(owned, ev.LeavingReported())
        self._set_state(owned)
        self.recorder.record(EventKind.UPSTREAM_LEAVING, upstream=owned.upstream.name)

    async def _query_owned(self, owned: OwnedUpstream, service: str) -> HealthAnswer | None:
        self.feed(owned, ev.UpstreamQueried())
        return await self._query_health(owned.pool, service)

    async def _query_health(self, pool: UpstreamPool, service: str) -> HealthAnswer | None:
        with trio.move_on_after(HEALTH_QUERY_TIMEOUT):
            return await query_health(pool, self.find_health_path(service), self.dialect)
        return None

    async def register_by_health_path(self, address: UpstreamAddress) -> None:
        """Register the upstream at a place by its own word, without waiting to be told of it.

        A process that has just started would otherwise refuse every request until the next
        announcement. It stops asking once one was heard or a lease has passed.
        """
        self.configured_address = address
        pool = UpstreamPool(address.host, address.port, 1)
        with trio.move_on_after(self.lease_ms / MILLISECONDS_PER_SECOND):
            while not self._is_known_at(address):
                path = self.find_health_path(address.service)
                queried_at = trio.current_time()
                answer = await self._query_health(pool, address.service) if path else None
                if answer is not None and not self._is_known_at(address):
                    self._register_from_answer(address, answer, queried_at)
                await trio.sleep(HEALTH_QUERY_INTERVAL if path else HEALTH_PATH_POLL_INTERVAL)
        await pool.aclose()

    def _register_from_answer(
        self, address: UpstreamAddress, answer: HealthAnswer, queried_at: Seconds
    ) -> None:
        owned = self.owned.get(answer.name)
        if answer.notice.is_leaving:
            self.departures.record(answer.name, 0)
        has_left = self.departures.has_any_departed(answer.name) or (
            owned is not None and owned.has_left
        )
        if has_left or not answer.name or not answer.is_healthy or not answer.slots:
            return
        self.handle_announcement(
            Announcement(
                answer.name,
                address.service,
                address.host,
                address.port,
                answer.slots,
                answer.slots,
                UpstreamState.READY,
            )
        )
        registered = self.owned.get(answer.name)
        if registered is not None:
            self.record_health_answer(registered, answer, queried_at)

    def _is_known_at(self, address: UpstreamAddress) -> bool:
        return bool(self._list_at(address.host, address.port))

    def _list_at(self, host: str, port: int) -> list[OwnedUpstream]:
        """List the upstreams that are registered at an address and have not ended."""
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
        """Return the state that others are told: one that refuses connections serves nobody."""
        if owned.is_unreachable or owned.announced_state is UpstreamState.GONE:
            return UpstreamState.GONE
        is_leaving = self.is_draining or owned.owner_state.is_leaving
        return UpstreamState.DRAINING if is_leaving else owned.announced_state

    def _evict_gone(self) -> bool:
        """Forget an upstream that is gone and has nothing under way, to make room for another."""
        for name, owned in self.owned.items():
            is_idle = not owned.owner_state.running and not owned.owner_state.waiting
            if owned.announced_state is UpstreamState.GONE and is_idle:
                del self.owned[name]
                self.has_evicted = True
                self.departures.record(name, owned.born_ms)
                return True
        return False

    def _find_previous(self, announcement: Announcement) -> OwnedUpstream | None:
        """Return another upstream that is registered at the announced address, or None."""
        registered = self._list_at(announcement.host, announcement.port)
        return next(
            (owned for owned in registered if owned.upstream.name != announcement.name), None
        )

    def _end_previous(self, announcement: Announcement) -> None:
        """Take an address away from the upstream that had it before."""
        while (previous := self._find_previous(announcement)) is not None:
            self._end_replaced(previous)
            previous.has_left = True

    def handle_pushed_upstream(self, pushed: Upstream) -> None:
        """Hear what the voters push of an upstream; a drain mark shows as a state not announced."""
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
        """Hear that a configuration came into force, and which data centres are evacuated."""
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
            # It was sent nothing, and may have been restarted meanwhile.
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
            warm_up=WarmUp(
                self.warm_up_limits,
                assumed_at=trio.current_time(),
                sent_at=self.started_at,
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
        """Return when no other process sends to an upstream any more that is new here.

        One that was announced to another process before is that one's until its lease runs out.
        """
        now = trio.current_time()
        if self.configured_address is not None and (
            self.configured_address.host,
            self.configured_address.port,
        ) == (announcement.host, announcement.port):
            return now
        return now + self.lease_ms / MILLISECONDS_PER_SECOND

    def _start_warm_up_queries(self, owned: OwnedUpstream) -> None:
        """Have an upstream asked that counts as cold only since nothing is known of it."""
        is_assumed = is_assumed_cold(owned.owner_state.warm_up, trio.current_time())
        if is_assumed and not owned.is_being_queried and self.dialect.warm_up is not None:
            owned.is_being_queried = True
            self.nursery.start_soon(self._query_until_warm_up_known, owned)

    async def _query_until_warm_up_known(self, owned: OwnedUpstream) -> None:
        while is_assumed_cold(owned.owner_state.warm_up, trio.current_time()):
            queried_at = trio.current_time()
            answer = await self._query_owned(owned, owned.upstream.service)
            self.record_health_answer(owned, answer, queried_at)
            now = trio.current_time()
            if is_assumed_cold(owned.owner_state.warm_up, now):
                next_send_at = find_turn_at(owned.owner_state.rate_limit, 0, now)
                await trio.sleep(max(HEALTH_QUERY_INTERVAL, next_send_at - now))
        owned.is_being_queried = False

    def mark_unreachable(self, owned: OwnedUpstream) -> None:
        """Tell all that an upstream refuses connections, and try it aside until it does not."""
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
            # Whatever refuses connections and takes them again has most likely started anew.
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
        """Hear that a run of an upstream leaves for good; False if it is unknown.

        `born_ms` 0 means whichever run is there.
        """
        owned = self.owned.get(name)
        if owned is None:
            # An earlier run of this process may have known it: a late announcement may follow.
            self.departures.record(name, born_ms)
            return False
        if born_ms and born_ms < owned.born_ms:
            return True
        owned.born_ms = max(owned.born_ms, born_ms)
        owned.has_left = True
        self._end(owned)
        return True

    def handle_misdirected(self, name: str) -> None:
        """Hear from the upstream at an address that it is not the one registered there."""
        owned = self.owned.get(name)
        if owned is None or owned.announced_state is UpstreamState.GONE:
            return
        address = UpstreamAddress(owned.upstream.service, owned.pool.host, owned.pool.port)
        self._end_replaced(owned)
        # Whoever stands there now may be taken at its own word.
        self.nursery.start_soon(self.register_by_health_path, address)

    def end_expired(self, now: Seconds) -> None:
        """End the upstreams that have not renewed their announcement in time."""
        for owned in tuple(self.owned.values()):
            if owned.lease_until < now and owned.announced_state is not UpstreamState.GONE:
                self._end(owned)

    def _end_replaced(self, owned: OwnedUpstream) -> None:
        """End an upstream at whose address another one stands."""
        self._end(owned, is_replaced=owned.announced_state is UpstreamState.READY)

    def _end(self, owned: OwnedUpstream, *, is_replaced: bool = False) -> None:
        owned.announced_state = UpstreamState.GONE
        owned.is_unreachable = False
        self.feed(owned, ev.UpstreamLost(is_replaced))
        self._set_state(owned)

    def _set_state(self, owned: OwnedUpstream) -> None:
        self._publish(owned, replace(owned.upstream, state=self._find_state(owned)))

    def drain(self) -> None:
        """Refuse new attempts for good and tell every watcher."""
        self.is_draining = True
        for owned in self.owned.values():
            self._set_state(owned)
            self.feed(owned, ev.Drain())


_STATE_EVENTS = {
    UpstreamState.READY: EventKind.UPSTREAM_READY,
    UpstreamState.DRAINING: EventKind.UPSTREAM_DRAINING,
    UpstreamState.GONE: EventKind.UPSTREAM_GONE,
}
