"""Run the owner node: step the state of each local upstream and execute the effects."""

import math
from collections.abc import Callable

import msgspec
import trio
from expression import Result
from msgspec.structs import replace

from bendwind_core.admission import is_inner_call, is_limited
from bendwind_core.attempts import (
    AttemptId,
    BodyCredit,
    BodyPart,
    Cancel,
    CutReason,
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
from bendwind_core.attempts.retry_after import bound_wait_ms
from bendwind_core.attempts.upstream_end import UnansweredAttempt
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.limits import ProbeBudget, spend_probe
from bendwind_core.messages import PeerMessage
from bendwind_core.routing import LoadProbe, LoadReport
from bendwind_core.suspicion import is_quarantined
from bendwind_core.timeline import DispatchFacts, EventKind, Recorder
from bendwind_core.world import Instance, LoadSample
from bendwind_node.calls.assembly import AssemblyTable
from bendwind_node.calls.body_flow import WINDOW_PARTS, Outflow
from bendwind_node.calls.call_facts import (
    find_request_id,
    make_dispatch_facts,
    make_end_facts,
    make_refusal_facts,
)
from bendwind_node.calls.dialect import BENDWIND_DIALECT, Dialect
from bendwind_node.calls.dispatch import DispatchEnd, UpstreamDispatch, format_attempt
from bendwind_node.calls.notice_log import NoticeLog
from bendwind_node.calls.owned_upstream import OwnedUpstream, find_due
from bendwind_node.calls.pause_detector import PauseDetector
from bendwind_node.calls.reply_path import ReplyLink, ReplyPath
from bendwind_node.calls.suspect_reporter import SendSuspects, SuspectReporter
from bendwind_node.calls.upstream_notice import UpstreamNotice
from bendwind_node.calls.upstream_register import UpstreamRegister
from bendwind_node.failure import describe_failure
from bendwind_node.guarded_tasks import GuardedNursery

# Size of a load report that is charged to the probe budget.
LOAD_REPORT_BYTES = 80
# Interval of checks for expired announcement leases. The expiry of queued attempts does not wait
# for this check.
LEASE_CHECK_INTERVAL: Seconds = 0.5


class OwnerNode(msgspec.Struct, eq=False):
    """Own the upstreams that run on this instance, with their states and links."""

    own: Instance
    recorder: Recorder
    nursery: trio.Nursery | GuardedNursery
    register: UpstreamRegister
    assemblies: AssemblyTable
    probe_budget: ProbeBudget
    dialect: Dialect = BENDWIND_DIALECT
    send_suspects: SendSuspects = lambda reports: False
    find_version: Callable[[], int] = lambda: 0
    replies: ReplyPath = msgspec.field(default_factory=ReplyPath)
    outflows: dict[AttemptId, Outflow] = msgspec.field(default_factory=dict)
    probes_answered: int = 0
    load_queries_sent: int = 0
    due_time_changed: trio.Event = msgspec.field(default_factory=trio.Event)
    next_wake_at: Seconds = math.inf
    pause_detector: PauseDetector = msgspec.field(default_factory=PauseDetector)
    suspect_reporter: SuspectReporter | None = None
    notices: NoticeLog | None = None

    def __post_init__(self):
        self.register.feed = self._feed
        self.notices = NoticeLog(self.recorder)
        self.suspect_reporter = SuspectReporter(self.register.suspects, self.send_suspects)
        self.register.list_links = self.replies.links.values

    def link_opened(self, link: ReplyLink) -> None:
        """Register a link that an entry node opened."""
        self.replies.open(link)
        event = ev.LinkOpened(link.peer.name, link.peer.incarnation, link.epoch)
        self._feed_all(event)

    def link_closed(self, link: ReplyLink) -> None:
        """Drop the link of an entry node that broke, and the state that depends on it."""
        if not self.replies.close(link):
            return
        self.assemblies.drop_by_entry(link.peer.name)
        self._send_credits()
        for attempt, outflow in self.outflows.items():
            if attempt.entry == link.peer.name:
                outflow.mark_lost()
        self._feed_all(ev.LinkLost(link.peer.name, link.peer.incarnation, link.epoch))

    def receive(self, link: ReplyLink, message: PeerMessage) -> None:
        """Handle a message from an entry node."""
        match message:
            case HandOver(more=False):
                self._handle_hand_over(message, link.epoch)
            case HandOver():
                self._start_assembly(link, message)
            case BodyPart():
                self._add_part(link, message)
            case BodyCredit(attempt=attempt, credit=credit):
                outflow = self.outflows.get(attempt)
                if outflow is not None:
                    outflow.add_credit(credit)
            case Cancel(attempt=attempt, upstream=name):
                self._handle_cancel(name, attempt, link.epoch)
            case LoadProbe(upstream=name):
                self._answer_probe(link, name)
            case Fence():
                self._handle_fence(message, link.epoch)

    def _handle_hand_over(self, hand_over: HandOver, epoch: int) -> None:
        self._submit_hand_over(
            self.pause_detector.deduct_pause(hand_over, trio.current_time()), epoch
        )

    def _submit_hand_over(self, hand_over: HandOver, epoch: int) -> None:
        owned = self.register.owned.get(hand_over.upstream)
        if owned is None:
            self._refuse(hand_over.attempt, epoch, NotRunReason.WRONG_OWNER)
            return
        self._feed(owned, ev.HandOverArrived(hand_over, epoch))

    def _refuse(self, attempt: AttemptId, epoch: int, reason: NotRunReason) -> None:
        self.replies.send(attempt, epoch, NotRun(attempt, reason))

    def _start_assembly(self, link: ReplyLink, received: HandOver) -> None:
        now = trio.current_time()
        hand_over = self.pause_detector.deduct_pause(received, now)
        owned = self.register.owned.get(hand_over.upstream)
        if owned is None:
            self._refuse(hand_over.attempt, link.epoch, NotRunReason.WRONG_OWNER)
            return
        if self._refuse_early(owned, hand_over, link.epoch):
            return
        started = self.assemblies.start(hand_over, link.epoch, now)
        if started.is_error():
            self._refuse(hand_over.attempt, link.epoch, started.error)
        else:
            self._send_credits()

    def _send_credits(self) -> None:
        for assembly, credit in self.assemblies.grant_credits():
            attempt = assembly.hand_over.attempt
            self.replies.send(attempt, assembly.epoch, BodyCredit(attempt, credit))

    def _refuse_early(self, owned: OwnedUpstream, hand_over: HandOver, epoch: int) -> bool:
        """Refuse a hand-over that would be refused anyway, before its body is transferred."""
        reason = owner.find_early_refusal(owned.owner_state, hand_over, trio.current_time())
        if reason is None:
            return False
        load = self.read_load(hand_over.upstream)
        refusal = ev.ReplyNotRun(hand_over.attempt, epoch, reason, load, hand_over)
        self._carry_out(owned, refusal)
        return True

    def _add_part(self, link: ReplyLink, part: BodyPart) -> None:
        match self.assemblies.add(part, link.epoch, trio.current_time()):
            case Result(tag="ok", ok=None):
                if not self.assemblies.is_credited_by_share(part.attempt):
                    link.send(BodyCredit(part.attempt, len(part.data)))
            case Result(tag="ok", ok=hand_over):
                # The time already deducted since the first part includes any pause of this process.
                self._submit_hand_over(hand_over, link.epoch)
            case Result(tag="error", error=reason):
                self._refuse(part.attempt, link.epoch, reason)
        self._send_credits()

    def _handle_cancel(self, name: str, attempt: AttemptId, epoch: int) -> None:
        self.assemblies.drop(attempt)
        self._send_credits()
        owned = self.register.owned.get(name)
        if owned is not None:
            self._feed(owned, ev.CancelArrived(attempt, epoch))

    def _handle_fence(self, fence: Fence, epoch: int) -> None:
        # An attempt whose body is still incomplete has not started, so it can be dropped.
        self.assemblies.drop(fence.attempt)
        self._send_credits()
        owned = self.register.owned.get(fence.upstream)
        if owned is not None:
            self._feed(owned, ev.FenceArrived(fence, epoch))
            return
        # The state of an upstream is kept for the lifetime of the process unless it is evicted. If
        # there is none and none was evicted, this run never owned the upstream, and a hand-over
        # that still arrives is refused with WRONG_OWNER.
        is_own_run = fence.owner_incarnation == self.own.incarnation
        has_all = is_own_run and not self.register.has_evicted
        verdict = FenceVerdict.NEVER_STARTED if has_all else FenceVerdict.FORGOTTEN
        self.replies.send(fence.attempt, epoch, Fenced(fence.attempt, verdict))

    def read_load(self, name: str) -> LoadSample:
        """Return the load of an owned upstream."""
        return owner.load_sample(self.register.owned[name].owner_state, trio.current_time())

    def find_run_rank(self) -> float | None:
        """Return the most urgent rank among the running attempts, None if no attempt runs."""
        return min(
            (
                running.effective_rank
                for owned in self.register.owned.values()
                for running in owned.owner_state.running.values()
            ),
            default=None,
        )

    def _answer_probe(self, link: ReplyLink, name: str) -> None:
        owned = self.register.owned.get(name)
        now = trio.current_time()
        if owned is not None and spend_probe(self.probe_budget, 1, LOAD_REPORT_BYTES, now):
            self.probes_answered += 1
            link.send(LoadReport(name, owned.upstream.service, self.read_load(name)))

    def begin_stop(self, ends_at: Seconds) -> None:
        """Start no attempt from now on that would still run when this process ends."""
        self._feed_all(ev.StopRequested(ends_at))

    def is_idle(self) -> bool:
        """Return whether no attempt runs, waits or is being received."""
        has_work = any(
            owned.owner_state.running or owned.owner_state.waiting
            for owned in self.register.owned.values()
        )
        return not has_work and not self.assemblies.open and not self.outflows

    def handle_configuration(self, evacuated: frozenset[str]) -> None:
        """Apply configuration that has come, also what could not be known without it."""
        self.register.handle_configuration(evacuated)
        self._lift_missing_load_pages()

    def handle_services(self) -> None:
        """Apply the configuration of services that came later than the version they belong to."""
        self.register.handle_services()
        self._lift_missing_load_pages()

    def _lift_missing_load_pages(self) -> None:
        for owned in tuple(self.register.owned.values()):
            if not owned.owner_state.has_load_endpoint and self._has_load_page(owned):
                self._feed(owned, ev.LoadNotReported())

    async def run_clock(self) -> None:
        """Expire queued attempts and announcements until cancelled."""
        while True:
            self.due_time_changed = trio.Event()
            self.next_wake_at = self._find_next_due()
            with trio.move_on_at(self.next_wake_at):
                await self.due_time_changed.wait()
            self._expire(trio.current_time())

    def _find_next_due(self) -> Seconds:
        now = trio.current_time()
        for owned in self.register.owned.values():
            # A time that has passed by now is kept: the state names only those to come.
            owned.due_at = min(owned.due_at, find_due(owned, now))
        soonest = min((owned.due_at for owned in self.register.owned.values()), default=math.inf)
        return min(soonest, now + LEASE_CHECK_INTERVAL)

    def _expire(self, now: Seconds) -> None:
        self.pause_detector.tick(now)
        for owned in tuple(self.register.owned.values()):
            if min(owned.due_at, find_due(owned, now)) <= now:
                self._feed(owned, ev.Tick())
        for assembly in self.assemblies.pop_expired(now):
            self._refuse(assembly.hand_over.attempt, assembly.epoch, NotRunReason.DEADLINE)
        self._send_credits()
        self.register.end_expired(now)
        if self.register.suspects.suspects:
            services = frozenset(owned.upstream.service for owned in self.register.owned.values())
            self.suspect_reporter.resend_restricted(services, now)

    def _feed_all(self, event: ev.OwnerEvent) -> None:
        for owned in tuple(self.register.owned.values()):
            self._feed(owned, event)

    def _feed(self, owned: OwnedUpstream, event: ev.OwnerEvent) -> None:
        if self.pause_detector.take_pause(trio.current_time()):
            # What upstreams said while this process stood still has not been read yet.
            self.register.doubt_all()
        for effect in owner.step(owned.owner_state, event, trio.current_time()):
            self._carry_out(owned, effect)
        if self.register.suspects.unreported:
            self.suspect_reporter.report_new(trio.current_time())
        owned.due_at = find_due(owned, trio.current_time())
        if owned.due_at < self.next_wake_at:
            self.due_time_changed.set()

    def _carry_out(self, owned: OwnedUpstream, effect: ev.OwnerEffect) -> None:
        match effect:
            case ev.Dispatch(hand_over=hand_over, expires_at=expires_at):
                scope = trio.CancelScope(deadline=expires_at)
                owned.scopes[hand_over.attempt] = scope
                self.nursery.start_soon(self._dispatch, owned, hand_over, scope)
            case ev.QueryLoad():
                self.nursery.start_soon(self._query_load, owned)
            case ev.QueryWarmUp():
                self.nursery.start_soon(self.register.queries.query_warm_up, owned)
            case ev.CheckUpstream():
                self.nursery.start_soon(self._check_upstream, owned)
            case ev.CancelDispatch(attempt=attempt):
                scope = owned.scopes.get(attempt)
                if scope is not None:
                    scope.cancel()
            case ev.ReplyNotRun(attempt, epoch, reason, load, wait_ms=wait_ms):
                is_inner = self._is_inner(owned, effect)
                wait_ms = bound_wait_ms(wait_ms)
                not_run = NotRun(attempt, reason, load, is_inner, wait_ms, effect.is_sent_again)
                self.replies.send(attempt, epoch, not_run)
                self._record_refusal(owned, effect)
            case ev.ReplyUnknown(attempt, epoch, reason, load, is_sent_again):
                self.replies.send(attempt, epoch, Unknown(attempt, reason, load, is_sent_again))
            case ev.ReplyFenced(attempt=attempt, epoch=epoch, verdict=verdict):
                self.replies.send(attempt, epoch, Fenced(attempt, verdict))
            case ev.UpstreamEnded(unanswered=unanswered):
                self._record_end(owned, unanswered)
            case ev.UpstreamUnreachable():
                self.register.mark_unreachable(owned)
            case ev.RateLimitChanged(change=change, per_second=per_second):
                detail = change if per_second is None else f"{change}: {per_second:g} a second"
                self._log_notice(owned, EventKind.UPSTREAM_LIMIT, detail)
            case ev.ColdPeakRose(count=count, limit=limit):
                self._log_notice(owned, EventKind.UPSTREAM_COLD_PEAK, f"{count} of {limit}")
            case ev.Drained():
                self.recorder.record(EventKind.UPSTREAM_DRAINED, upstream=owned.upstream.name)

    def _record_end(self, owned: OwnedUpstream, unanswered: tuple[UnansweredAttempt, ...]) -> None:
        self.recorder.record(
            EventKind.UPSTREAM_ENDED,
            upstream=owned.upstream.name,
            detail=f"{len(unanswered)} unanswered",
            facts=make_end_facts(unanswered, self.dialect),
        )
        suspects = self.register.suspects
        for signature in {ended.signature for ended in unanswered}:
            suspect = suspects.suspects.get(signature)
            if suspect is not None and is_quarantined(suspects, suspect):
                detail = f"{signature.hex()}: {suspect.count} upstreams ended"
                self.recorder.record(
                    EventKind.REQUEST_QUARANTINED, upstream=owned.upstream.name, detail=detail
                )

    def _is_inner(self, owned: OwnedUpstream, reply: ev.ReplyNotRun) -> bool:
        hand_over = reply.hand_over
        return hand_over is not None and is_inner_call(owned.owner_state.origins, hand_over.route)

    def record_inner_call_refused(self) -> None:
        """Record that a call made by an owned upstream (an inner call) was refused."""
        self._feed_all(ev.UpstreamCallRefused())

    def _record_refusal(self, owned: OwnedUpstream, reply: ev.ReplyNotRun) -> None:
        hand_over = reply.hand_over
        if hand_over is None:
            # The attempt was dispatched, and the end of the dispatch is recorded separately.
            return
        now = trio.current_time()
        self.recorder.record(
            EventKind.ATTEMPT_REFUSED,
            call=format_attempt(reply.attempt),
            upstream=owned.upstream.name,
            detail=str(reply.reason),
            request=find_request_id(hand_over.headers, self.dialect),
            facts=make_refusal_facts(
                owned.owner_state, hand_over, reply.reason, now, reply.queue_time
            ),
        )

    def _has_load_page(self, owned: OwnedUpstream) -> bool:
        """Return whether an upstream is known to have a page that reports its load."""
        path = self.register.find_health_path(owned.upstream.service)
        return bool(path) and self.dialect.load is not None

    async def _query_load(self, owned: OwnedUpstream) -> None:
        """Query an upstream for its load if the probe budget permits it."""
        if not self._has_load_page(owned):
            self._feed(owned, ev.LoadNotReported(has_load_endpoint=False))
            return
        answer = None
        queried_at = trio.current_time()
        if spend_probe(self.probe_budget, 1, LOAD_REPORT_BYTES, queried_at):
            self.load_queries_sent += 1
            answer = await self.register.queries.query_run(owned, owned.upstream.service)
        if answer is None or answer.slow_factor is None:
            self._feed(owned, ev.LoadNotReported())
        self.register.queries.record_answer(owned, answer, queried_at)

    async def _check_upstream(self, owned: OwnedUpstream) -> None:
        is_refused = await owned.pool.refuses_connections()
        self._feed(owned, ev.UpstreamChecked(is_refused))

    async def _dispatch(
        self, owned: OwnedUpstream, hand_over: HandOver, scope: trio.CancelScope
    ) -> None:
        attempt = hand_over.attempt
        call = format_attempt(attempt)
        self.recorder.record(EventKind.DISPATCH_STARTED, call=call, upstream=owned.upstream.name)
        epoch = owned.owner_state.running[attempt].epoch
        started_at = trio.current_time()
        facts = make_dispatch_facts(
            owned.owner_state, hand_over, scope.deadline, self.find_version(), started_at
        )
        outflow = Outflow(parts=WINDOW_PARTS)
        self.outflows[attempt] = outflow
        # The upstream is sent the time that remains after the wait in the queue.
        remaining_ms = (scope.deadline - started_at) * MILLISECONDS_PER_SECOND
        dispatch = UpstreamDispatch(
            owned.pool,
            replace(hand_over, remaining_ms=remaining_ms),
            outflow,
            send=lambda message: self.replies.send(attempt, epoch, message),
            feed=lambda event: self._feed(owned, event),
            read_load=lambda: self.read_load(owned.upstream.name),
            dialect=self.dialect,
            handle_notice=lambda notice, sent_at: self.handle_notice(owned, notice, sent_at),
            may_send_again=lambda: owner.may_send_again(
                owned.owner_state, attempt, trio.current_time()
            ),
        )
        try:
            end = await dispatch.run(scope)
        except Exception as error:
            # If the exception ended this process, the retry of the request would end the next owner
            # node too.
            self.recorder.record(EventKind.TASK_FAILED, call=call, detail=describe_failure(error))
            end = ev.DispatchUnknown(attempt, CutReason.BODY_CUT)
        finally:
            del owned.scopes[attempt]
            del self.outflows[attempt]
        duration_ms = round((trio.current_time() - started_at) * MILLISECONDS_PER_SECOND, 1)
        self._finish_dispatch(owned, hand_over, end, replace(facts, ms=duration_ms))

    def handle_notice(self, owned: OwnedUpstream, notice: UpstreamNotice, sent_at: Seconds) -> None:
        """Apply the rate limit and the leaving flag that an answer of an upstream reports."""
        limit = owned.owner_state.rate_limit
        if notice.limit_per_s is not None:
            self._feed(owned, ev.RateLimitReported(notice.limit_per_s, sent_at))
        elif not notice.malformed and (is_limited(limit) or not limit.has_read_answer):
            self._feed(owned, ev.RateLimitNotReported(sent_at))
        if notice.malformed:
            self._log_notice(owned, EventKind.NOTICE_MALFORMED, repr(notice.malformed))
        if notice.is_leaving:
            self.register.handle_leaving(owned)

    def _log_notice(self, owned: OwnedUpstream, kind: EventKind, detail: str) -> None:
        self.notices.write(kind, owned.upstream.name, detail, trio.current_time())

    def _finish_dispatch(
        self, owned: OwnedUpstream, hand_over: HandOver, end: DispatchEnd, facts: DispatchFacts
    ) -> None:
        self.recorder.record(
            EventKind.DISPATCH_FINISHED,
            call=format_attempt(hand_over.attempt),
            upstream=owned.upstream.name,
            detail=_describe_end(end),
            request=find_request_id(hand_over.headers, self.dialect),
            facts=facts,
        )
        if not isinstance(end, ev.DispatchDone):
            self._feed(owned, end)
        if isinstance(end, ev.DispatchNotRun) and end.reason is NotRunReason.MISDIRECTED:
            self.register.handle_misdirected(owned.upstream.name)


def _describe_end(end: DispatchEnd) -> str:
    match end:
        case ev.DispatchNotRun(reason=reason):
            return f"not-run: {reason}"
        case ev.DispatchUnknown(reason=reason):
            return f"unknown: {reason}"
    return "answered"
