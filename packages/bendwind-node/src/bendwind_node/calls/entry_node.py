"""Run the calls that callers send to this process: choose upstreams and exchange messages."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec
import trio

from bendwind_core.admission import RefusedCallers
from bendwind_core.attempts import (
    AnswerHead,
    AttemptId,
    BodyCredit,
    BodyPart,
    Cancel,
    Fence,
    Fenced,
    HandOver,
    NotRun,
    NotRunReason,
    Unknown,
    entry,
)
from bendwind_core.attempts import events as ev
from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.attempts.call import Attempt, find_attempt
from bendwind_core.attempts.retry_after import DEFAULT_RETRY_AFTER_MS, NoCapacity, bound_wait_ms
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds
from bendwind_core.limits import ConcurrencyShare, charge_resend, set_services
from bendwind_core.messages import PeerMessage
from bendwind_core.routing import (
    RouteTable,
    find_rate_limit,
    record_attempt_cancelled,
    record_attempt_sent,
    record_attempt_unknown,
    record_wait,
    set_routing,
)
from bendwind_core.suspicion import SuspectReport, compute_signature, find_report, merge_report
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Instance, Service, Upstream, combine_ranks
from bendwind_node.calls.attempt_results import record_answer, record_not_run, record_unknown
from bendwind_node.calls.body_flow import Outflow, split_first_part, split_into_parts
from bendwind_node.calls.body_share import BodyPacer
from bendwind_node.calls.call_run import CallRun
from bendwind_node.calls.claim_answers import describe_claim, keep_answer_part
from bendwind_node.calls.dialect import BENDWIND_DIALECT, Dialect
from bendwind_node.calls.dispatch import format_attempt
from bendwind_node.calls.owner_node import OwnerNode
from bendwind_node.calls.stop_limit import StopLimit
from bendwind_node.calls.upstream_choice import (
    ServiceState,
    choose_next_upstream,
    create_service_state,
    may_send,
    record_own_load,
    refresh_service_state,
)
from bendwind_node.claims.task import ClaimTask
from bendwind_node.guarded_tasks import GuardedNursery
from bendwind_node.links import Link, LinkHub
from bendwind_node.membership import MembershipTask
from bendwind_node.quotas import NodeQuotaTask

LOCAL_EPOCH = 0
# A longer body is sent to another data centre, or with a no-wait attempt, only after the owner has
# accepted the request: on a slow link the body takes longer than most waits in a queue.
DEFAULT_FAR_BODY_BYTES = 16 * 1024
# A node stores 642 bytes per watched upstream (docs/design/distribution.md); with 23 upstreams per
# service, this number of services takes less than half a megabyte.
MAX_PREWATCHED_SERVICES = 32


class LocalLink(msgspec.Struct, eq=False):
    """Connect the entry node and the owner node of one process, in place of a network link."""

    peer: Instance
    entry_node: "EntryNode"
    epoch: int = LOCAL_EPOCH

    def send(self, message: PeerMessage) -> bool:
        """Pass a reply of the owner node to the entry node."""
        self.entry_node.receive(self, message)
        return True


def _charge_resend(run: CallRun, message: PeerMessage) -> None:
    """Charge a request that its owner has sent again, as the first reply of the attempt says."""
    is_reply = isinstance(message, AnswerHead | NotRun | Unknown)
    if is_reply and message.is_sent_again and message.attempt not in run.heads:
        charge_resend(run.call.budget)


@dataclass(slots=True, eq=False)
class EntryNode:
    """Hold the calls that callers sent to this process.

    `origin_service` is the service of the upstream on this instance; `refresh_origin` takes over
    what the settings name by now. `unknown_keys` counts the requests refused because they carried
    no known key.
    """

    own: Instance
    recorder: Recorder
    nursery: trio.Nursery | GuardedNursery
    hub: LinkHub
    owner: OwnerNode
    membership: MembershipTask
    claims: ClaimTask
    rng: random.Random
    ids: AttemptIds
    share: ConcurrencyShare
    dialect: Dialect = BENDWIND_DIALECT
    origin_service: str = ""
    far_body_bytes: int = DEFAULT_FAR_BODY_BYTES
    quotas: NodeQuotaTask | None = None
    pacer: BodyPacer = field(default_factory=BodyPacer)
    routes: RouteTable = field(default_factory=RouteTable)
    refused_callers: RefusedCallers = field(default_factory=RefusedCallers)
    stop_limit: StopLimit = field(default_factory=StopLimit)
    refresh_origin: Callable[[], None] = lambda: None
    unknown_keys: int = 0
    service_states: dict[str, ServiceState] = field(default_factory=dict)
    runs: dict[int, CallRun] = field(default_factory=dict)
    local: LocalLink = field(init=False)

    def __post_init__(self):
        self.local = LocalLink(self.own, self)
        self.owner.link_opened(self.local)

    def find_origin(self) -> str:
        """Return the service that requests which begin now come from."""
        self.refresh_origin()
        return self.origin_service

    def note_origin(self, service: str) -> None:
        """Name this service in requests that begin here from now on."""
        self.origin_service = service

    def find_or_create_service_state(self, service: Service) -> ServiceState:
        """Return the state of a service; its first call creates it."""
        service_state = self.service_states.get(service.name)
        if service_state is None:
            service_state = create_service_state(service)
            self.service_states[service.name] = service_state
            set_services(self.share, self.service_states)
            self.refresh_upstreams(service.name)
        return service_state

    def refresh_routing(self) -> None:
        """Apply the routes in force and watch the services that they lead to."""
        routing = self.membership.routing
        # Not compared by their revision: routes are replaced within one where a node held others.
        if routing is self.routes.routing:
            return
        set_routing(self.routes, routing)
        services = {part.service for route in routing.routes for part in route.parts}
        # If a service is watched in advance, its first call does not have to wait. Out of many
        # services, each node calls only a few, so that these are not watched in advance.
        if len(services) <= MAX_PREWATCHED_SERVICES:
            for service in sorted(services):
                self.membership.watch(service)

    def refresh_upstreams(self, service_name: str) -> None:
        """Update a service's upstreams to those announced ones that its patterns admit."""
        service_state = self.service_states.get(service_name)
        if service_state is not None:
            now = trio.current_time()
            refresh_service_state(service_state, self.own, self.membership, self.hub, now)

    def link_closed(self, link: Link) -> None:
        """Handle the loss of a link to an owner node."""
        now = trio.current_time()
        for run, attempt in self._find_attempts_at(link.peer.name):
            table = self.service_states[run.call.service.name].table
            record_attempt_unknown(table, attempt.upstream.name, attempt.id, now)
            run.feed(ev.OwnerLinkLost(attempt.id))
        for service, service_state in self.service_states.items():
            owners = {view.upstream.owner.name for view in service_state.table.upstreams.values()}
            if link.peer.name in owners:
                self.refresh_upstreams(service)

    def has_attempts_at(self, owner: str) -> bool:
        """Return whether a call in progress has an attempt at this owner."""
        return bool(self._find_attempts_at(owner))

    def _find_attempts_at(self, owner: str) -> list[tuple[CallRun, Attempt]]:
        found = []
        for sequence, run in self.runs.items():
            for attempt in run.call.attempts:
                if attempt.id.sequence == sequence and attempt.upstream.owner.name == owner:
                    found.append((run, attempt))
        return found

    def dial_failed(self, unsent: tuple[PeerMessage, ...]) -> None:
        """Handle messages that were never sent because connecting to the owner failed."""
        for message in unsent:
            match message:
                case HandOver(attempt=attempt):
                    self._feed(attempt, ev.AttemptNotRun(attempt, NotRunReason.CONNECT_FAILED))
                case Fence(attempt=attempt):
                    self._feed(attempt, ev.FenceFailed(attempt))

    def _feed(self, attempt: AttemptId, event: ev.EntryEvent) -> None:
        run = self._find_run(attempt)
        if run is not None:
            run.feed(event)

    def _find_run(self, attempt: AttemptId) -> CallRun | None:
        is_own = attempt.entry == self.own.name and attempt.incarnation == self.own.incarnation
        return self.runs.get(attempt.sequence) if is_own else None

    def receive(self, link: Link | LocalLink, message: PeerMessage) -> None:
        """Handle a message of an owner node; drop it if it belongs to no open attempt."""
        run = self._find_run(message.attempt)
        attempt = None if run is None else find_attempt(run.call, message.attempt)
        # Only the owner's name is compared, not its incarnation: a newer incarnation refuses
        # messages addressed to an older one, and since the hand-over was sent on this same link,
        # its reply is proof.
        if attempt is None or attempt.upstream.owner.name != link.peer.name:
            self.recorder.record(
                EventKind.LATE_MESSAGE_DROPPED,
                call=format_attempt(message.attempt),
                detail=type(message).__name__,
            )
            return
        _charge_resend(run, message)
        service_state = self.service_states[run.call.service.name]
        match message:
            case AnswerHead(attempt=id, status=status, more=more):
                run.heads[id] = message
                self._record_wait(run, attempt, message.upstream_ms)
                record_answer(service_state, self.recorder, run, attempt.upstream, message)
                run.feed(ev.AttemptHead(id, status, not more))
            case BodyPart(attempt=id, index=index, more=more):
                run.incoming[id, index] = message
                run.feed(ev.AttemptBodyPart(id, index, more))
            case NotRun(attempt=id, reason=reason, load=load, wait_ms=wait_ms):
                self._record_wait(run, attempt)
                record_not_run(service_state, self.recorder, run, attempt.upstream, message)
                run.feed(ev.AttemptNotRun(id, reason, load, bound_wait_ms(wait_ms)))
            case Unknown(attempt=id, reason=reason):
                record_unknown(service_state, self.recorder, run, attempt.upstream, message)
                run.feed(ev.AttemptUnknown(id, reason))
            case Fenced(attempt=id, verdict=verdict):
                run.feed(ev.FenceAnswered(id, verdict))
            case BodyCredit(attempt=id, credit=credit):
                outflow = run.outflows.get(id)
                if outflow is not None:
                    outflow.add_credit(credit)

    def _record_wait(self, run: CallRun, attempt: Attempt, upstream_ms: Milliseconds = 0.0) -> None:
        # An attempt that may not wait takes a round trip at most, which can be long between data
        # centres. The time that a long body takes on the link cannot be told from a wait.
        if not attempt.may_wait or self._has_long_body(run):
            return
        table = self.service_states[run.call.service.name].table
        ended_at = trio.current_time() - upstream_ms / MILLISECONDS_PER_SECOND
        record_wait(table, attempt.upstream.name, attempt.sent_at, ended_at)

    def apply(self, run: CallRun, event: ev.EntryEvent) -> None:
        """Apply an event to a call and carry out the effects that need no waiting."""
        now = trio.current_time()
        call = run.call
        service_state = self.service_states[call.service.name]

        def choose(excluded: frozenset[str]) -> Upstream | NoCapacity | None:
            if not may_send(self.membership, run):
                return None
            if not self.stop_limit.may_start(call.deadline_at, now):
                return NoCapacity(DEFAULT_RETRY_AFTER_MS, NotRunReason.DRAINING)
            record_own_load(service_state, self.owner, now)
            # Long bodies make up most of the bytes between data centres. Keeping them near reduced
            # these bytes by 52% (one run of 50 s each, with bodies of 60 kB on average).
            stays_near = self._has_long_body(run)
            return choose_next_upstream(
                service_state, run, excluded, self.own, now, self.rng, stays_near=stays_near
            )

        for effect in entry.step(call, event, now, choose):
            self._carry_out(run, service_state, effect)

    def _carry_out(self, run: CallRun, service_state: ServiceState, effect: ev.EntryEffect) -> None:
        match effect:
            case ev.SendHandOver():
                self._send_hand_over(run, service_state, effect)
            case ev.StartTimer():
                run.start_timer(effect)
            case ev.SendCancel(attempt=attempt, upstream=upstream):
                record_attempt_cancelled(
                    service_state.table, upstream.name, attempt, trio.current_time()
                )
                self.send(upstream.owner.name, Cancel(attempt, upstream.name))
            case ev.SendFence(attempt=attempt, upstream=upstream, may_end=may_end):
                left_ms = self.stop_limit.find_left_ms(trio.current_time()) if may_end else None
                fence = Fence(attempt, upstream.owner.incarnation, upstream.name, left_ms)
                if not self.send(upstream.owner.name, fence):
                    run.feed(ev.FenceFailed(attempt))
            case ev.ReleaseClaim():
                self.claims.release(run.call.service.name, run.key, run.call.call_id)
            case ev.RecordClaim(outcome=outcome):
                self._record_claim(run, outcome)
            case ev.DeliverPart(attempt=attempt):
                keep_answer_part(run, attempt)
                run.enqueue_effect(effect)
            case _:
                run.enqueue_effect(effect)

    def send(self, owner: str, message: PeerMessage) -> bool:
        """Send to an owner node, in this process or another; return False if nothing was queued."""
        if owner == self.own.name:
            self.owner.receive(self.local, message)
            return True
        return self.hub.send_dialed(owner, message)

    def _send_hand_over(
        self, run: CallRun, service_state: ServiceState, effect: ev.SendHandOver
    ) -> None:
        upstream = effect.upstream
        owner = upstream.owner
        is_body_withheld = self._withholds_body(run, effect)
        part_bytes = self.pacer.part_bytes
        first, rest = (
            (b"", split_into_parts(run.body, part_bytes))
            if is_body_withheld
            else split_first_part(run.body, part_bytes)
        )
        hand_over = HandOver(
            effect.attempt,
            owner.incarnation,
            run.call.service.name,
            upstream.name,
            run.method,
            run.target,
            run.headers,
            effect.remaining_ms,
            run.call.rule.repeat,
            run.basis.version,
            first,
            bool(rest),
            accept_if_slow=effect.accept_if_slow,
            route=run.call.rule.name,
            target_ms=effect.target_ms,
            origin=self.origin_service,
            suspicion=self._find_suspect_report(run),
            rank=combine_ranks(run.call.rank, run.call.rule.priority),
            customer=run.call.customer,
            may_wait=effect.may_wait,
            run_rank=self.owner.find_run_rank(),
            limit_per_s=find_rate_limit(service_state.table.notices, upstream),
            entry_left_ms=self.stop_limit.find_left_ms(trio.current_time()),
            may_send_again=effect.may_send_again,
        )
        self.runs[effect.attempt.sequence] = run
        record_attempt_sent(service_state.table, upstream.name, effect.attempt, trio.current_time())
        self.recorder.record(
            EventKind.ATTEMPT_SENT,
            call=run.call.call_id,
            upstream=upstream.name,
            detail=format_attempt(effect.attempt),
        )
        if rest:
            run.outflows[effect.attempt] = Outflow(credit=0) if is_body_withheld else Outflow()
        if not self.send(owner.name, hand_over):
            run.feed(ev.AttemptNotRun(effect.attempt, NotRunReason.CONNECT_FAILED))
        elif rest:
            self.nursery.start_soon(self._send_parts, run, effect.attempt, owner.name, rest)

    def _find_suspect_report(self, run: CallRun) -> SuspectReport | None:
        """Return the suspect report on a request, if any; its owner may not have received it."""
        suspects = self.owner.register.suspects
        if not suspects.suspects:
            return None
        if not run.signature:
            run.signature = compute_signature(
                run.method, run.target, run.headers, run.body, run.call.customer
            )
        return find_report(suspects, run.signature, trio.current_time())

    def merge_suspect_reports(self, reports: tuple[SuspectReport, ...]) -> None:
        """Merge suspect reports that a voter sent."""
        now = trio.current_time()
        for report in reports:
            merge_report(self.owner.register.suspects, report, now)

    def _withholds_body(self, run: CallRun, effect: ev.SendHandOver) -> bool:
        """Return whether the body is sent only as the owner permits.

        The body of a refused request would load the network links of both instances without any
        use, and an owner has to limit how many bodies are sent to it at a time.
        """
        return self._has_long_body(run) and effect.upstream.owner.name != self.own.name

    def _has_long_body(self, run: CallRun) -> bool:
        return len(run.body) > self.far_body_bytes

    async def _send_parts(
        self, run: CallRun, attempt: AttemptId, owner: str, parts: tuple[bytes, ...]
    ) -> None:
        outflow = run.outflows[attempt]
        for number, part in enumerate(parts, start=1):
            index = await outflow.consume_credit(len(part))
            if owner != self.own.name:
                await self.pacer.wait(len(part))
            if attempt.sequence not in self.runs:
                return
            self.send(owner, BodyPart(attempt, index, part, number < len(parts)))

    def _record_claim(self, run: CallRun, outcome: ev.ClaimOutcome) -> None:
        state, answer = describe_claim(run, outcome)
        call = run.call
        self.claims.report_outcome(call.service.name, run.key, call.call_id, state, answer)

    def end_starts(self) -> None:
        """Fence the attempts that have not started yet, of calls that may outlast this process."""
        for run in {id(run): run for run in self.runs.values()}.values():
            if self.stop_limit.may_outlast(run.call.deadline_at):
                run.feed(ev.StartsEnded())

    def remove_call(self, run: CallRun) -> None:
        """Remove a finished call; messages for its attempts are dropped as late from then on."""
        table = self.service_states[run.call.service.name].table
        now = trio.current_time()
        for attempt in run.call.attempts:
            self.runs.pop(attempt.id.sequence, None)
            record_attempt_cancelled(table, attempt.upstream.name, attempt.id, now)
            outflow = run.outflows.get(attempt.id)
            if outflow is not None:
                outflow.mark_lost()
