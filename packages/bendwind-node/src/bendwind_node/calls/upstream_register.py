"""Keep the upstreams beside this process: which there are, whether they stay, until when."""

from collections.abc import Callable, Iterable

import msgspec
import trio
from msgspec.structs import replace

from bendwind_core.attempts import owner
from bendwind_core.attempts import owner_events as ev
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Instance, Upstream, UpstreamState
from bendwind_node.calls.dialect import Dialect
from bendwind_node.calls.health_check import HealthAnswer, ask_health
from bendwind_node.calls.owned_upstream import Announcement, OwnedUpstream, UpstreamPlace
from bendwind_node.calls.reply_path import ReplyLink
from bendwind_node.calls.upstream_h11 import UpstreamPool

QUEUE_LIMIT = 16
MAX_OWNED_UPSTREAMS = 8
# Names of upstreams that have left, so that a late announcement brings none of them back.
MAX_DEPARTED = 256
# A health answer is a round trip within the instance; a stalled upstream answers none.
VERIFY_TIMEOUT: Seconds = 0.5
# Until the configuration names the health path, and after an answer that introduced nobody.
PATH_POLL: Seconds = 0.02
INTRODUCTION_PAUSE: Seconds = 0.2

Feed = Callable[[OwnedUpstream, ev.OwnerEvent], None]


class UpstreamRegister(msgspec.Struct, eq=False):
    """Hold the upstreams beside this process by name.

    `feed` and `list_links` lead to the owner node: to an upstream's desk, and to the links that a
    new desk has to hear of.
    """

    own: Instance
    recorder: Recorder
    nursery: trio.Nursery
    lease_ms: Milliseconds
    announce: Callable[[Upstream], None]
    dialect: Dialect
    slot_share: float = 1.0
    find_health_path: Callable[[str], str] = lambda service: ""
    feed: Feed = lambda owned, event: None
    list_links: Callable[[], Iterable[ReplyLink]] = lambda: ()
    departed: dict[str, None] = msgspec.field(default_factory=dict)
    has_dropped: bool = False
    owned: dict[str, OwnedUpstream] = msgspec.field(default_factory=dict)
    is_draining: bool = False

    def announced(self, news: Announcement) -> bool:
        """Register or renew an upstream; False if this process holds too many."""
        owned = self.owned.get(news.name)
        is_first = owned is None
        if owned is None:
            if news.sequence and news.name in self.departed:
                return True
            if len(self.owned) >= MAX_OWNED_UPSTREAMS and not self._drop_gone():
                return False
            owned = self._create_owned(news)
        if news.sequence and (owned.has_left or news.sequence <= owned.last_sequence):
            # A late announcement of one that has said more since; what it said then stands.
            return True
        owned.last_sequence = max(owned.last_sequence, news.sequence)
        owned.lease_until = trio.current_time() + self.lease_ms / MILLISECONDS_PER_SECOND
        self._move_pool(owned, news)
        if self._needs_proof(owned, news, is_first=is_first):
            self._ask_for_proof(owned, news, is_first=is_first)
        else:
            owned.is_verified = True
            self._end_former(news)
            self._take(owned, news)
        return True

    def _needs_proof(self, owned: OwnedUpstream, news: Announcement, *, is_first: bool) -> bool:
        if owned.is_verified or not news.sequence:
            return False
        if is_first:
            return True
        if self._find_former(news) is None:
            return False
        # Announcements that a cut held up may come after those of the one that replaced it.
        can_ask = self.dialect.answering_upstream is not None
        return can_ask and bool(self.find_health_path(news.service))

    def _ask_for_proof(self, owned: OwnedUpstream, news: Announcement, *, is_first: bool) -> None:
        if news.state is UpstreamState.READY:
            self.nursery.start_soon(self._verify, owned, news, is_first)
        else:
            self._take(owned, news)

    async def _verify(self, owned: OwnedUpstream, news: Announcement, is_first: bool) -> None:
        answer = await self._ask(owned.pool, news.service)
        if answer is not None and answer.name == news.name:
            self._end_former(news)
            # An upstream that is well may say otherwise, but not that it announces itself twice.
            owned.is_verified = owned.is_verified or answer.is_well or not is_first
        if owned.is_verified and not owned.has_left and owned.last_sequence == news.sequence:
            self._note_pace(owned, answer)
            self._take(owned, news)

    def _note_pace(self, owned: OwnedUpstream, answer: HealthAnswer | None) -> None:
        # One that has just started is slow: its first answers would be taken for its usual pace.
        if answer is not None and answer.slow_factor is not None:
            self.feed(owned, ev.LoadReported(answer.slow_factor))

    async def _ask(self, pool: UpstreamPool, service: str) -> HealthAnswer | None:
        with trio.move_on_after(VERIFY_TIMEOUT):
            return await ask_health(pool, self.find_health_path(service), self.dialect)
        return None

    async def introduce(self, place: UpstreamPlace) -> None:
        """Register the upstream at a place by its own word, without waiting to be told of it.

        A process that has just started would otherwise refuse every request until the next
        announcement. It stops asking once one was heard or a lease has passed.
        """
        pool = UpstreamPool(place.host, place.port, 1)
        with trio.move_on_after(self.lease_ms / MILLISECONDS_PER_SECOND):
            while not self._is_known_at(place):
                path = self.find_health_path(place.service)
                answer = await self._ask(pool, place.service) if path else None
                if answer is not None and not self._is_known_at(place):
                    self._introduce(place, answer)
                await trio.sleep(INTRODUCTION_PAUSE if path else PATH_POLL)
        await pool.aclose()

    def _introduce(self, place: UpstreamPlace, answer: HealthAnswer) -> None:
        owned = self.owned.get(answer.name)
        has_left = answer.name in self.departed or (owned is not None and owned.has_left)
        if has_left or not answer.is_well or not answer.slots:
            return
        self.announced(
            Announcement(
                answer.name,
                place.service,
                place.host,
                place.port,
                answer.slots,
                answer.slots,
                UpstreamState.READY,
            )
        )
        introduced = self.owned.get(answer.name)
        if introduced is not None:
            self._note_pace(introduced, answer)

    def _is_known_at(self, place: UpstreamPlace) -> bool:
        return bool(self._list_at(place.host, place.port))

    def _list_at(self, host: str, port: int) -> list[OwnedUpstream]:
        """List the upstreams that are registered at an address and not gone."""
        return [
            owned
            for owned in self.owned.values()
            if (owned.pool.host, owned.pool.port) == (host, port)
            and owned.upstream.state is not UpstreamState.GONE
        ]

    def _take(self, owned: OwnedUpstream, news: Announcement) -> None:
        state = UpstreamState.DRAINING if self.is_draining else news.state
        changed = replace(
            owned.upstream,
            service=news.service,
            slots=news.slots,
            connections=news.connections,
            state=state,
        )
        self._change(owned, changed)
        self._feed_state(owned)

    def _drop_gone(self) -> bool:
        """Forget an upstream that is gone and has nothing under way, to make room for another."""
        for name, owned in self.owned.items():
            is_idle = not owned.desk.running and not owned.desk.waiting
            if owned.upstream.state is UpstreamState.GONE and is_idle:
                del self.owned[name]
                self.has_dropped = True
                self._remember_departed(name)
                return True
        return False

    def _remember_departed(self, name: str) -> None:
        self.departed[name] = None
        if len(self.departed) > MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]

    def _find_former(self, news: Announcement) -> OwnedUpstream | None:
        """Return another upstream that is registered at the announced address, or None."""
        registered = self._list_at(news.host, news.port)
        return next((owned for owned in registered if owned.upstream.name != news.name), None)

    def _end_former(self, news: Announcement) -> None:
        """Take an address away from the upstream that had it before."""
        while (former := self._find_former(news)) is not None:
            self.left(former.upstream.name)

    def hear_pushed(self, pushed: Upstream) -> None:
        """Hear what the voters push of an upstream; a drain mark shows as a state not announced."""
        owned = self.owned.get(pushed.name)
        if owned is None or pushed.owner != self.own:
            return
        if pushed.sequence != owned.upstream.sequence:
            return
        is_ready = owned.upstream.state is UpstreamState.READY
        is_marked = is_ready and pushed.state is UpstreamState.DRAINING
        if is_marked != owned.is_marked:
            owned.is_marked = is_marked
            self._feed_state(owned)

    def _feed_state(self, owned: OwnedUpstream) -> None:
        upstream = owned.upstream
        state = UpstreamState.DRAINING if owned.is_marked else upstream.state
        self.feed(owned, ev.UpstreamAnnounced(upstream.slots, upstream.connections, state))

    def _create_owned(self, news: Announcement) -> OwnedUpstream:
        upstream = Upstream(
            news.name, news.service, self.own, news.slots, news.connections, UpstreamState.GONE
        )
        desk = owner.create_desk(
            news.name, self.own.incarnation, QUEUE_LIMIT, slot_share=self.slot_share
        )
        pool = UpstreamPool(news.host, news.port, news.connections)
        owned = OwnedUpstream(upstream, desk, pool, 0.0, is_verified=not news.sequence)
        self.owned[news.name] = owned
        for link in self.list_links():
            self.feed(owned, ev.LinkOpened(link.peer.name, link.peer.incarnation, link.epoch))
        return owned

    def _move_pool(self, owned: OwnedUpstream, news: Announcement) -> None:
        if (owned.pool.host, owned.pool.port) == (news.host, news.port):
            return
        self.nursery.start_soon(owned.pool.aclose)
        owned.pool = UpstreamPool(news.host, news.port, news.connections)

    def _change(self, owned: OwnedUpstream, changed: Upstream) -> None:
        if changed == owned.upstream:
            return
        owned.upstream = replace(changed, sequence=changed.sequence + 1)
        kind = _STATE_EVENTS[changed.state]
        self.recorder.record(kind, upstream=changed.name, detail=changed.service)
        self.announce(owned.upstream)

    def left(self, name: str) -> bool:
        """Hear that an upstream leaves for good; False if it is unknown."""
        owned = self.owned.get(name)
        if owned is None:
            # An earlier run of this process may have known it: a late announcement may follow.
            self._remember_departed(name)
            return False
        owned.has_left = True
        self._end(owned)
        return True

    def misdirected(self, name: str) -> None:
        """Hear from the upstream at an address that it is not the one registered there."""
        owned = self.owned.get(name)
        if owned is None or owned.upstream.state is UpstreamState.GONE:
            return
        place = UpstreamPlace(owned.upstream.service, owned.pool.host, owned.pool.port)
        self._end(owned)
        # Whoever stands there now may be taken at its own word.
        self.nursery.start_soon(self.introduce, place)

    def end_expired(self, now: Seconds) -> None:
        """End the upstreams that have not renewed their announcement in time."""
        for owned in tuple(self.owned.values()):
            if owned.lease_until < now and owned.upstream.state is not UpstreamState.GONE:
                self._end(owned)

    def _end(self, owned: OwnedUpstream) -> None:
        self.feed(owned, ev.UpstreamLost())
        self._set_state(owned, UpstreamState.GONE)

    def _set_state(self, owned: OwnedUpstream, state: UpstreamState) -> None:
        self._change(owned, replace(owned.upstream, state=state))

    def drain(self) -> None:
        """Refuse new attempts for good and tell every watcher."""
        self.is_draining = True
        for owned in self.owned.values():
            if owned.upstream.state is not UpstreamState.GONE:
                self._set_state(owned, UpstreamState.DRAINING)
            self.feed(owned, ev.Drain())


_STATE_EVENTS = {
    UpstreamState.READY: EventKind.UPSTREAM_READY,
    UpstreamState.DRAINING: EventKind.UPSTREAM_DRAINING,
    UpstreamState.GONE: EventKind.UPSTREAM_GONE,
}
