"""Query the upstreams on this instance: who they are, how they fare, whether they are reachable."""

from collections.abc import Callable, Mapping
from typing import Protocol

import msgspec
import trio

from bendwind_core.admission import find_limited_send_at, is_assumed_cold
from bendwind_core.attempts import owner_events as ev
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.timeline import Recorder
from bendwind_core.world import UpstreamState
from bendwind_node.calls.announced_runs import AnnouncedRuns
from bendwind_node.calls.dialect import Dialect
from bendwind_node.calls.health_check import HealthAnswer, query_health
from bendwind_node.calls.owned_upstream import (
    Announcement,
    AnnouncementRefusal,
    OwnedUpstream,
    UpstreamAddress,
)
from bendwind_node.calls.upstream_h11 import UpstreamPool, wait_until_accepting
from bendwind_node.calls.upstream_notice import UpstreamNotice
from bendwind_node.guarded_tasks import GuardedNursery, record_task_failure

# An answer takes one round trip within the instance; a stalled upstream does not answer at all.
HEALTH_QUERY_TIMEOUT: Seconds = 0.5
# Interval of polls for a health path that the configuration does not name yet, and wait after a
# health query that did not lead to a registration or to a known warm-up state.
HEALTH_PATH_POLL_INTERVAL: Seconds = 0.02
HEALTH_QUERY_INTERVAL: Seconds = 0.2


def _tells_warm_up(owned: OwnedUpstream, answer: HealthAnswer | None) -> bool:
    """Return whether an answer is the word of an upstream about its remaining warm-up time."""
    if answer is None or answer.name != owned.upstream.name:
        return False
    return answer.warm_up_left_ms is not None


def _awaits_word(owned: OwnedUpstream) -> bool:
    """Return whether an upstream counts as cold only because it has not been heard yet."""
    warm_up = owned.owner_state.warm_up
    is_gone = owned.is_unreachable or owned.announced_state is UpstreamState.GONE
    return not is_gone and warm_up.is_queryable and is_assumed_cold(warm_up, trio.current_time())


class QueriedRegister(Protocol):
    """Define what queries, and what they decide on, need of the register of the upstreams."""

    recorder: Recorder
    nursery: trio.Nursery | GuardedNursery
    lease_ms: Milliseconds
    dialect: Dialect
    find_health_path: Callable[[str], str]
    is_service_known: Callable[[str], bool]
    feed: Callable[[OwnedUpstream, ev.OwnerEvent], None]
    runs: AnnouncedRuns
    owned: Mapping[str, OwnedUpstream]
    queries: "UpstreamQueries"
    configured_address: UpstreamAddress | None

    def handle_announcement(self, announcement: Announcement) -> AnnouncementRefusal | None:
        """Register an upstream or renew its lease; return why the announcement changes nothing."""

    def apply_announcement(self, owned: OwnedUpstream, announcement: Announcement) -> None:
        """Put a verified announcement in force."""

    def handle_leaving(self, owned: OwnedUpstream) -> None:
        """Publish an upstream as draining that reports that it leaves."""

    def end_previous(self, announcement: Announcement) -> None:
        """End the upstreams that were registered at the announced address before."""

    def is_registered_at(self, address: UpstreamAddress) -> bool:
        """Return whether an upstream is registered at an address and has not ended."""

    def feed_state(self, owned: OwnedUpstream) -> None:
        """Tell the state of an upstream to its owner."""

    def set_state(self, owned: OwnedUpstream) -> None:
        """Publish the state of an upstream if it has changed."""


class UpstreamQueries(msgspec.Struct, eq=False):
    """Query the upstreams that a register holds, and apply their answers to it."""

    register: QueriedRegister

    async def verify(
        self, owned: OwnedUpstream, announcement: Announcement, is_first: bool
    ) -> None:
        """Apply an announcement once the health path names the upstream that sent it."""
        while True:
            queried_at = trio.current_time()
            answer = await self._query_owned(owned, announcement.service)
            if answer is not None or not self._awaits_verification(owned, announcement):
                break
            # The configuration may not name the path yet, or the upstream may be busy. The next
            # announcement, which may come a second later, verifies it too.
            has_path = bool(self.register.find_health_path(announcement.service))
            await trio.sleep(HEALTH_QUERY_INTERVAL if has_path else HEALTH_PATH_POLL_INTERVAL)
        if owned.born_ms != announcement.born_ms:
            # Another run has begun since, and the answer may be from that run.
            return
        if answer is not None and answer.name == announcement.name:
            self.register.end_previous(announcement)
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
            self.record_answer(owned, answer, queried_at)
            self.register.apply_announcement(owned, announcement)

    def _awaits_verification(self, owned: OwnedUpstream, announcement: Announcement) -> bool:
        """Return whether an announcement is the newest of an upstream that is not verified yet."""
        return (
            self.register.owned.get(announcement.name) is owned
            and not owned.is_verified
            and not owned.has_left
            and owned.born_ms == announcement.born_ms
            and owned.last_sequence == announcement.sequence
            and trio.current_time() < owned.lease_until
        )

    def record_answer(
        self, owned: OwnedUpstream, answer: HealthAnswer | None, queried_at: Seconds
    ) -> None:
        """Record the pace, warm-up and notice that an upstream reports on its health path."""
        if answer is None or answer.name not in ("", owned.upstream.name):
            # An answer from another upstream does not show that this one is alive.
            return
        # An upstream that has just started is slow. Without its slow factor, the times of its first
        # answers would count as its usual pace.
        if answer.slow_factor is not None:
            self.register.feed(owned, ev.LoadReported(answer.slow_factor))
        if _tells_warm_up(owned, answer):
            self.register.feed(owned, ev.WarmUpReported(answer.warm_up_left_ms, queried_at))
        if answer.name:
            self._record_notice(owned, answer.notice, queried_at)

    def _record_notice(
        self, owned: OwnedUpstream, notice: UpstreamNotice, queried_at: Seconds
    ) -> None:
        # Health answers need not repeat the rate limit, so one without a limit does not lift it.
        if notice.limit_per_s is not None:
            self.register.feed(owned, ev.RateLimitReported(notice.limit_per_s, queried_at))
        if notice.is_leaving:
            self.register.handle_leaving(owned)

    async def _query_owned(self, owned: OwnedUpstream, service: str) -> HealthAnswer | None:
        self.register.feed(owned, ev.UpstreamQueried())
        return await self.query_run(owned, service)

    async def query_run(self, owned: OwnedUpstream, service: str) -> HealthAnswer | None:
        """Return the health answer of an upstream's present run, None if there is none in time.

        An answer that arrives once another run has begun may be of the former one.
        """
        pool, born_ms = owned.pool, owned.born_ms
        answer = await self.query(pool, service)
        return answer if owned.pool is pool and owned.born_ms == born_ms else None

    async def query(self, pool: UpstreamPool, service: str) -> HealthAnswer | None:
        """Return the answer on the health path of a service, None if there is none in time.

        Whoever waits for the answer goes on without one if the query itself fails.
        """
        try:
            with trio.move_on_after(HEALTH_QUERY_TIMEOUT):
                return await query_health(
                    pool, self.register.find_health_path(service), self.register.dialect
                )
        except Exception as error:
            record_task_failure(self.register.recorder, error, f"health query of {service}")
        return None

    def can_query_name(self, service: str) -> bool:
        """Return whether health answers name the upstream, or may once its service is known."""
        has_path = bool(self.register.find_health_path(service))
        is_named = self.register.dialect.answering_upstream is not None
        return is_named and (has_path or not self.register.is_service_known(service))

    async def query_sender(self, announcement: Announcement) -> HealthAnswer | None:
        """Return the health answer at the address of an announcement, None if none in time."""
        pool = UpstreamPool(announcement.host, announcement.port, 1)
        answer = await self.query(pool, announcement.service)
        await pool.aclose()
        return answer

    async def register_known(self, address: UpstreamAddress) -> None:
        """Register the upstream at an address before it announces itself, if it is a known one.

        Its health answer names it, and `runs` holds its service. Without this, a process that has
        just started would refuse every request until the next announcement. The queries end once an
        upstream is registered at the address, or after the length of a lease.
        """
        self.register.configured_address = address
        pool = UpstreamPool(address.host, address.port, 1)
        with trio.move_on_after(self.register.lease_ms / MILLISECONDS_PER_SECOND):
            while not self.register.is_registered_at(address):
                if self.register.runs.is_loaded and not self.register.runs.list_ready():
                    break
                services = self._list_services_with_health_path()
                for service in services:
                    await self._register_by_answer(address, pool, service)
                await trio.sleep(HEALTH_QUERY_INTERVAL if services else HEALTH_PATH_POLL_INTERVAL)
        await pool.aclose()

    def _list_services_with_health_path(self) -> tuple[str, ...]:
        services = {run.service: None for run in self.register.runs.list_ready()}
        return tuple(service for service in services if self.register.find_health_path(service))

    async def _register_by_answer(
        self, address: UpstreamAddress, pool: UpstreamPool, service: str
    ) -> None:
        queried_at = trio.current_time()
        answer = await self.query(pool, service)
        if answer is not None and not self.register.is_registered_at(address):
            self.register_from_answer(address, answer, queried_at)

    def register_from_answer(
        self, address: UpstreamAddress, answer: HealthAnswer, queried_at: Seconds
    ) -> None:
        """Register an upstream that is known to serve and whose health answer has come."""
        run = next(
            (run for run in self.register.runs.list_ready() if run.name == answer.name), None
        )
        if run is None:
            return
        if answer.notice.is_leaving:
            self.register.runs.note_left(run.name, run.born_ms)
            return
        if not answer.is_healthy or not answer.slots:
            return
        self.register.handle_announcement(
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
        registered = self.register.owned.get(answer.name)
        if registered is not None:
            self.record_answer(registered, answer, queried_at)

    async def query_warm_up(self, owned: OwnedUpstream) -> None:
        """Query an upstream once for its remaining warm-up time, and tell its owner the result."""
        queried_at = trio.current_time()
        answer = await self._query_owned(owned, owned.upstream.service)
        self.record_answer(owned, answer, queried_at)
        if not _tells_warm_up(owned, answer):
            self.register.feed(owned, ev.WarmUpNotReported())

    def start_warm_up_queries(self, owned: OwnedUpstream) -> None:
        """Query an upstream that counts as cold only because its warm-up state is unknown."""
        if _awaits_word(owned) and not owned.is_being_queried:
            owned.is_being_queried = True
            self.register.nursery.start_soon(self._query_until_warm_up_known, owned)

    async def _query_until_warm_up_known(self, owned: OwnedUpstream) -> None:
        try:
            while _awaits_word(owned):
                await self.query_warm_up(owned)
                await self._wait_for_next_query(owned)
        finally:
            owned.is_being_queried = False

    async def _wait_for_next_query(self, owned: OwnedUpstream) -> None:
        if _awaits_word(owned):
            now = trio.current_time()
            next_send_at = find_limited_send_at(owned.owner_state.rate_limit, 0, now)
            await trio.sleep(max(HEALTH_QUERY_INTERVAL, next_send_at - now))

    async def wait_until_reachable(self, owned: OwnedUpstream) -> None:
        """Use an upstream again once it accepts connections."""
        pool = owned.pool
        is_reachable = await wait_until_accepting(
            pool.host, pool.port, lambda: owned.is_unreachable and owned.pool is pool
        )
        if is_reachable:
            owned.is_unreachable = False
            # An upstream that accepts connections again has most likely been restarted.
            self.register.feed(owned, ev.UpstreamAssumedCold())
            self.register.feed(owned, ev.UpstreamReachable())
            self.register.set_state(owned)
            self.register.feed_state(owned)
            self.start_warm_up_queries(owned)
