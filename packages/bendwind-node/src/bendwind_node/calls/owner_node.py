"""Own the upstreams beside this process: decide by their desks and carry out the effects."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from expression import Result
from msgspec.structs import replace

from bendwind_core.attempts import (
    AttemptId,
    BodyCredit,
    BodyPart,
    Cancel,
    Fence,
    Fenced,
    FenceVerdict,
    HandOver,
    NotRun,
    NotRunReason,
    Unknown,
    owner,
)
from bendwind_core.attempts import owner_events as ev
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.limits import ProbeBudget, spend_probe
from bendwind_core.messages import PeerMessage
from bendwind_core.routing import LoadProbe, LoadReport
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Instance, LoadSample, Upstream, UpstreamState
from bendwind_node.calls.assembly import AssemblyTable
from bendwind_node.calls.body_flow import Outflow
from bendwind_node.calls.dialect import BENDWIND_DIALECT, Dialect, read_slow_factor
from bendwind_node.calls.dispatch import DispatchEnd, UpstreamDispatch, format_attempt
from bendwind_node.calls.health_check import ask_load, is_well
from bendwind_node.calls.owned_upstream import Announcement, OwnedUpstream
from bendwind_node.calls.reply_path import ReplyLink, ReplyPath
from bendwind_node.calls.upstream_h11 import UpstreamPool

QUEUE_LIMIT = 16
MAX_OWNED_UPSTREAMS = 8
# Names of upstreams that have left, so that a late announcement brings none of them back.
MAX_DEPARTED = 256
VERIFY_TIMEOUT: Seconds = 0.5
REPORT_BYTES = 80
# Leases of announcements are looked at this often; queued attempts expire on time.
LEASE_CHECK: Seconds = 0.5


@dataclass(slots=True, eq=False)
class OwnerNode:
    """Own the desks of the upstreams beside this process."""

    own: Instance
    recorder: Recorder
    nursery: trio.Nursery
    lease_ms: Milliseconds
    assemblies: AssemblyTable
    probe_budget: ProbeBudget
    announce: Callable[[Upstream], None]
    dialect: Dialect = BENDWIND_DIALECT
    slot_share: float = 1.0
    find_health_path: Callable[[str], str] = lambda service: ""
    departed: dict[str, None] = field(default_factory=dict)
    has_dropped: bool = False
    replies: ReplyPath = field(default_factory=ReplyPath)
    owned: dict[str, OwnedUpstream] = field(default_factory=dict)
    outflows: dict[AttemptId, Outflow] = field(default_factory=dict)
    is_draining: bool = False
    probes_answered: int = 0
    loads_asked: int = 0
    clock_moved: trio.Event = field(default_factory=trio.Event)
    wakes_at: Seconds = math.inf

    def link_opened(self, link: ReplyLink) -> None:
        """Hear that an entry node opened a link."""
        self.replies.open(link)
        event = ev.LinkOpened(link.peer.name, link.peer.incarnation, link.epoch)
        self._feed_all(event)

    def link_closed(self, link: ReplyLink) -> None:
        """Hear that an entry node's link broke."""
        if not self.replies.close(link):
            return
        self.assemblies.drop_all_of(link.peer.name)
        for attempt, outflow in self.outflows.items():
            if attempt.entry == link.peer.name:
                outflow.lose()
        self._feed_all(ev.LinkLost(link.peer.name, link.peer.incarnation, link.epoch))

    def receive(self, link: ReplyLink, message: PeerMessage) -> None:
        """Hear a message of an entry node."""
        match message:
            case HandOver(more=False):
                self._hand_over(message, link.epoch)
            case HandOver():
                self._start_assembly(link, message)
            case BodyPart():
                self._add_part(link, message)
            case BodyCredit(attempt=attempt, credit=credit):
                outflow = self.outflows.get(attempt)
                if outflow is not None:
                    outflow.add_credit(credit)
            case Cancel(attempt=attempt, upstream=name):
                self._cancel(name, attempt, link.epoch)
            case LoadProbe(upstream=name):
                self._answer_probe(link, name)
            case Fence():
                self._fence(message, link.epoch)

    def _hand_over(self, hand_over: HandOver, epoch: int) -> None:
        owned = self.owned.get(hand_over.upstream)
        if owned is None:
            self._refuse(hand_over.attempt, epoch, NotRunReason.WRONG_OWNER)
            return
        self._feed(owned, ev.HandOverArrived(hand_over, epoch))

    def _refuse(self, attempt: AttemptId, epoch: int, reason: NotRunReason) -> None:
        self.replies.send(attempt, epoch, NotRun(attempt, reason))

    def _start_assembly(self, link: ReplyLink, hand_over: HandOver) -> None:
        started = self.assemblies.start(hand_over, link.epoch)
        if started.is_error():
            self._refuse(hand_over.attempt, link.epoch, started.error)

    def _add_part(self, link: ReplyLink, part: BodyPart) -> None:
        match self.assemblies.add(part, link.epoch):
            case Result(tag="ok", ok=None):
                link.send(BodyCredit(part.attempt, len(part.data)))
            case Result(tag="ok", ok=hand_over):
                self._hand_over(hand_over, link.epoch)
            case Result(tag="error", error=reason):
                self._refuse(part.attempt, link.epoch, reason)

    def _cancel(self, name: str, attempt: AttemptId, epoch: int) -> None:
        self.assemblies.drop(attempt)
        owned = self.owned.get(name)
        if owned is not None:
            self._feed(owned, ev.CancelArrived(attempt, epoch))

    def _fence(self, fence: Fence, epoch: int) -> None:
        # A body that is still coming belongs to an attempt that has not started.
        self.assemblies.drop(fence.attempt)
        owned = self.owned.get(fence.upstream)
        if owned is not None:
            self._feed(owned, ev.FenceArrived(fence, epoch))
            return
        # A desk lives as long as the process: without one, this run never held the upstream, and
        # the hand-over, if it still came, would be refused as one to the wrong owner.
        is_own_run = fence.owner_incarnation == self.own.incarnation and not self.has_dropped
        verdict = FenceVerdict.NEVER_STARTED if is_own_run else FenceVerdict.FORGOTTEN
        self.replies.send(fence.attempt, epoch, Fenced(fence.attempt, verdict))

    def announced(self, news: Announcement) -> bool:
        """Register or renew an upstream; False if this process holds too many."""
        now = trio.current_time()
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
        owned.is_verified = not is_first or not news.sequence
        owned.last_sequence = news.sequence
        self._end_former(news)
        owned.lease_until = now + self.lease_ms / MILLISECONDS_PER_SECOND
        self._move_pool(owned, news)
        if not owned.is_verified and news.state is UpstreamState.READY:
            self.nursery.start_soon(self._verify, owned, news)
            return True
        self._take(owned, news)
        return True

    def _take(self, owned: OwnedUpstream, news: Announcement) -> None:
        state = UpstreamState.DRAINING if self.is_draining else news.state
        self._publish(owned, news, state)
        self._feed_state(owned)

    async def _verify(self, owned: OwnedUpstream, news: Announcement) -> None:
        path = self.find_health_path(news.service)
        name_header = self.dialect.answering_upstream
        if path and name_header is not None:
            with trio.move_on_after(VERIFY_TIMEOUT):
                is_verified = await is_well(owned.pool, path, news.name, name_header)
                owned.is_verified = owned.is_verified or is_verified
        if owned.is_verified and not owned.has_left and owned.last_sequence == news.sequence:
            self._take(owned, news)

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

    def _end_former(self, news: Announcement) -> None:
        """Take an address away from the upstream that had it before."""
        for owned in self.owned.values():
            is_same_place = (owned.pool.host, owned.pool.port) == (news.host, news.port)
            is_former = owned.upstream.name != news.name
            if is_former and is_same_place and owned.upstream.state is not UpstreamState.GONE:
                self.left(owned.upstream.name)

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
        self._feed(owned, ev.UpstreamAnnounced(upstream.slots, upstream.connections, state))

    def _create_owned(self, news: Announcement) -> OwnedUpstream:
        upstream = Upstream(
            news.name, news.service, self.own, news.slots, news.connections, UpstreamState.GONE
        )
        desk = owner.create_desk(
            news.name, self.own.incarnation, QUEUE_LIMIT, slot_share=self.slot_share
        )
        pool = UpstreamPool(news.host, news.port, news.connections)
        owned = OwnedUpstream(upstream, desk, pool, 0.0)
        self.owned[news.name] = owned
        for link in self.replies.links.values():
            self._feed(owned, ev.LinkOpened(link.peer.name, link.peer.incarnation, link.epoch))
        return owned

    def _move_pool(self, owned: OwnedUpstream, news: Announcement) -> None:
        if (owned.pool.host, owned.pool.port) == (news.host, news.port):
            return
        self.nursery.start_soon(owned.pool.aclose)
        owned.pool = UpstreamPool(news.host, news.port, news.connections)

    def _publish(self, owned: OwnedUpstream, news: Announcement, state: UpstreamState) -> None:
        changed = replace(
            owned.upstream,
            service=news.service,
            slots=news.slots,
            connections=news.connections,
            state=state,
        )
        self._change(owned, changed)

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
        self._expire_lease(owned)
        return True

    def _expire_lease(self, owned: OwnedUpstream) -> None:
        self._feed(owned, ev.UpstreamLost())
        self._set_state(owned, UpstreamState.GONE)

    def _set_state(self, owned: OwnedUpstream, state: UpstreamState) -> None:
        self._change(owned, replace(owned.upstream, state=state))

    def drain(self) -> None:
        """Refuse new attempts for good and tell every watcher."""
        self.is_draining = True
        for owned in self.owned.values():
            if owned.upstream.state is not UpstreamState.GONE:
                self._set_state(owned, UpstreamState.DRAINING)
            self._feed(owned, ev.Drain())

    def read_load(self, name: str) -> LoadSample:
        """Return the load of an upstream beside this process."""
        return owner.load_sample(self.owned[name].desk, trio.current_time())

    def _answer_probe(self, link: ReplyLink, name: str) -> None:
        owned = self.owned.get(name)
        now = trio.current_time()
        if owned is not None and spend_probe(self.probe_budget, 1, REPORT_BYTES, now):
            self.probes_answered += 1
            link.send(LoadReport(name, owned.upstream.service, self.read_load(name)))

    def is_idle(self) -> bool:
        """Tell whether no attempt runs, waits or is still coming in."""
        has_work = any(owned.desk.running or owned.desk.waiting for owned in self.owned.values())
        return not has_work and not self.assemblies.open and not self.outflows

    async def run_clock(self) -> None:
        """Let queued attempts and announcements expire."""
        while True:
            self.clock_moved = trio.Event()
            self.wakes_at = self._find_next_due()
            with trio.move_on_at(self.wakes_at):
                await self.clock_moved.wait()
            self._expire(trio.current_time())

    def _find_next_due(self) -> Seconds:
        now = trio.current_time()
        dues = [owner.next_due(owned.desk, now) for owned in self.owned.values()]
        soonest = min((due for due in dues if due is not None), default=math.inf)
        return min(soonest, now + LEASE_CHECK)

    def _expire(self, now: Seconds) -> None:
        for owned in tuple(self.owned.values()):
            due = owner.next_due(owned.desk, now)
            if due is not None and due <= now:
                self._feed(owned, ev.Tick())
            if owned.lease_until < now and owned.upstream.state is not UpstreamState.GONE:
                self._expire_lease(owned)

    def _feed_all(self, event: ev.OwnerEvent) -> None:
        for owned in tuple(self.owned.values()):
            self._feed(owned, event)

    def _feed(self, owned: OwnedUpstream, event: ev.OwnerEvent) -> None:
        for effect in owner.step(owned.desk, event, trio.current_time()):
            self._carry_out(owned, effect)
        due = owner.next_due(owned.desk, trio.current_time())
        if due is not None and due < self.wakes_at:
            self.clock_moved.set()

    def _carry_out(self, owned: OwnedUpstream, effect: ev.OwnerEffect) -> None:
        match effect:
            case ev.Dispatch(hand_over=hand_over, expires_at=expires_at):
                scope = trio.CancelScope(deadline=expires_at)
                owned.scopes[hand_over.attempt] = scope
                self.nursery.start_soon(self._dispatch, owned, hand_over, scope)
            case ev.AskLoad():
                self.nursery.start_soon(self._ask_load, owned)
            case ev.CancelDispatch(attempt=attempt):
                scope = owned.scopes.get(attempt)
                if scope is not None:
                    scope.cancel()
            case ev.ReplyNotRun(attempt=attempt, epoch=epoch, reason=reason, load=load):
                self.replies.send(attempt, epoch, NotRun(attempt, reason, load))
            case ev.ReplyUnknown(attempt=attempt, epoch=epoch, reason=reason, load=load):
                self.replies.send(attempt, epoch, Unknown(attempt, reason, load))
            case ev.ReplyFenced(attempt=attempt, epoch=epoch, verdict=verdict):
                self.replies.send(attempt, epoch, Fenced(attempt, verdict))
            case ev.Drained():
                self.recorder.record(EventKind.DESK_DRAINED, upstream=owned.upstream.name)

    async def _ask_load(self, owned: OwnedUpstream) -> None:
        """Ask an upstream for its load, within the budget of what measuring may cost."""
        path = self.find_health_path(owned.upstream.service)
        header = self.dialect.load
        if not path or header is None:
            self._feed(owned, ev.LoadNotReported(may_ask=False))
            return
        slow_factor = None
        if spend_probe(self.probe_budget, 1, REPORT_BYTES, trio.current_time()):
            self.loads_asked += 1
            with trio.move_on_after(VERIFY_TIMEOUT):
                slow_factor = read_slow_factor(await ask_load(owned.pool, path, header))
        if slow_factor is None:
            self._feed(owned, ev.LoadNotReported())
        else:
            self._feed(owned, ev.LoadReported(slow_factor))

    async def _dispatch(
        self, owned: OwnedUpstream, hand_over: HandOver, scope: trio.CancelScope
    ) -> None:
        attempt = hand_over.attempt
        call = format_attempt(attempt)
        self.recorder.record(EventKind.DISPATCH_STARTED, call=call, upstream=owned.upstream.name)
        epoch = owned.desk.running[attempt].epoch
        outflow = Outflow()
        self.outflows[attempt] = outflow
        dispatch = UpstreamDispatch(
            owned.pool,
            hand_over,
            outflow,
            send=lambda message: self.replies.send(attempt, epoch, message),
            feed=lambda event: self._feed(owned, event),
            read_load=lambda: self.read_load(owned.upstream.name),
            dialect=self.dialect,
        )
        try:
            end = await dispatch.run(scope)
        finally:
            del owned.scopes[attempt]
            del self.outflows[attempt]
        self._finish_dispatch(owned, call, end)

    def _finish_dispatch(self, owned: OwnedUpstream, call: str, end: DispatchEnd) -> None:
        self.recorder.record(
            EventKind.DISPATCH_FINISHED,
            call=call,
            upstream=owned.upstream.name,
            detail=type(end).__name__,
        )
        if not isinstance(end, ev.DispatchDone):
            self._feed(owned, end)


_STATE_EVENTS = {
    UpstreamState.READY: EventKind.UPSTREAM_READY,
    UpstreamState.DRAINING: EventKind.UPSTREAM_DRAINING,
    UpstreamState.GONE: EventKind.UPSTREAM_GONE,
}
