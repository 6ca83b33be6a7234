"""Emulate an owner node: bendwind's owner decides, and a model of the upstream answers."""

from typing import Protocol

from bendwind_bench.emulator.scenario import Scenario
from bendwind_bench.emulator.scheduler import PausableScheduler
from bendwind_bench.emulator.upstream import SHED, Run, UpstreamModel
from bendwind_core.admission import WarmUpLimits, WarmUpState
from bendwind_core.attempts import (
    AttemptId,
    CutReason,
    Fenced,
    HandOver,
    NotRun,
    NotRunReason,
    Unknown,
    owner,
)
from bendwind_core.attempts import owner_events as ov
from bendwind_core.core import MILLISECONDS_PER_SECOND, Record, Seconds
from bendwind_core.suspicion import SuspectTable
from bendwind_core.world import LoadSample, UpstreamState, WarmUpRule

# Duration of a round trip within the instance.
LOCAL_ROUND_TRIP: Seconds = 0.0003
PROBE_INTERVAL: Seconds = 0.5
QUEUE_CAPACITY = 16
# An older core that is compared may lack the second one.
_HEALTH_QUERIES = tuple(
    getattr(ov, name) for name in ("QueryLoad", "QueryWarmUp") if hasattr(ov, name)
)


class Answer(Record, frozen=True):
    """Hold an upstream's complete answer on its way to the entry node."""

    attempt: AttemptId
    status: int
    load: LoadSample


class OwnerHost(Protocol):
    """Declare what an owner side needs from the node that it is part of."""

    def reply(self, entry: str, message: Record) -> None:
        """Send a message to an entry node."""

    def request_push(self) -> None:
        """Schedule a push of the serving upstreams to all nodes."""

    def send_suspects(self) -> None:
        """Send new suspect reports, by way of the voters, to all nodes."""


class OwnerSide:
    """Hold the owner state of a node's only upstream."""

    __slots__ = (
        "scheduler",
        "host",
        "owner_state",
        "is_reporting",
        "is_unreachable",
        "runs",
        "scenario",
        "next_tick_at",
        "upstream",
    )

    def __init__(
        self,
        scenario: Scenario,
        upstream: UpstreamModel,
        scheduler: PausableScheduler,
        host: OwnerHost,
        incarnation: int,
        suspects: SuspectTable,
    ):
        self.scenario = scenario
        self.upstream = upstream
        self.scheduler = scheduler
        self.host = host
        self.runs: dict[AttemptId, Run] = {}
        self.is_unreachable = False
        self.is_reporting = upstream.table.reports_load
        self.next_tick_at: Seconds | None = None
        self.owner_state = self._create_owner_state(incarnation, suspects)

    def _create_owner_state(self, incarnation: int, suspects: SuspectTable) -> owner.OwnerState:
        return owner.create_owner_state(
            self.upstream.name,
            incarnation,
            QUEUE_CAPACITY,
            slot_share=self.scenario.policy.slot_share,
            warm_up=self._create_warm_up_state(),
            suspects=suspects,
        )

    def _create_warm_up_state(self) -> WarmUpState:
        warm_up = self.upstream.table.warm_up
        limits, rule = WarmUpLimits(), None
        if warm_up is not None and self.scenario.policy.spares_cold:
            limits = WarmUpLimits(warm_up.overage, warm_up.slack)
            rule = WarmUpRule(warm_up.seconds, warm_up.per_second)
        now = self.scheduler.now
        state = WarmUpState(limits, rule, assumed_cold_at=now, last_sent_at=now)
        # An older core that is compared may lack this field.
        if "is_queryable" in WarmUpState.__struct_fields__:
            state.is_queryable = rule is not None
        return state

    def find_run_rank(self) -> float | None:
        """Return the most urgent rank among the running requests, None if none runs."""
        return min((run.effective_rank for run in self.owner_state.running.values()), default=None)

    def announce(self, state: UpstreamState = UpstreamState.READY) -> None:
        """Deliver the upstream's announcement to the owner and query the upstream."""
        slots = self.upstream.table.slots
        self.apply_event(ov.UpstreamAnnounced(slots, 10 * slots, state))
        self.query_upstream()

    def query_upstream(self) -> None:
        """Query the upstream's remaining warm-up time and its load report on the health path."""
        queried_at = self.scheduler.now
        self.scheduler.call_later(LOCAL_ROUND_TRIP, lambda: self._handle_health_answer(queried_at))

    def _handle_health_answer(self, queried_at: Seconds) -> None:
        if self.upstream.is_down:
            return
        self.apply_event(ov.WarmUpReported(self.upstream.warm_up_left_ms, queried_at))
        if self.is_reporting:
            self.apply_event(ov.LoadReported(self.upstream.find_factor()))
        else:
            self.apply_event(ov.LoadNotReported(has_load_endpoint=False))

    def apply_event(self, event: ov.OwnerEvent) -> None:
        """Apply an event and the effects that the owner returns."""
        for effect in owner.step(self.owner_state, event, self.scheduler.now):
            self._apply_effect(effect)
        if self.owner_state.suspects.unreported:
            self.host.send_suspects()
        due = owner.next_due(self.owner_state, self.scheduler.now)
        if due is not None and (self.next_tick_at is None or due < self.next_tick_at):
            self.next_tick_at = due
            self.scheduler.call_at(due, lambda: self._tick(due))

    def _tick(self, due: Seconds) -> None:
        if self.next_tick_at == due:
            self.next_tick_at = None
            self.apply_event(ov.Tick())

    def _apply_effect(self, effect: ov.OwnerEffect) -> None:
        match effect:
            case ov.Dispatch(hand_over=hand_over, expires_at=expires_at):
                self.scheduler.call_later(
                    LOCAL_ROUND_TRIP, lambda: self._connect(hand_over, expires_at)
                )
            case ov.CancelDispatch(attempt=attempt):
                self._cancel_run(attempt, CutReason.CANCELLED)
            case _ if isinstance(effect, _HEALTH_QUERIES):
                self.query_upstream()
            case ov.CheckUpstream():
                self.scheduler.call_later(LOCAL_ROUND_TRIP, lambda: self._check_upstream())
            case ov.ReplyNotRun(attempt=attempt, reason=reason, load=load, wait_ms=wait_ms):
                not_run = NotRun(attempt, reason, load, wait_ms=wait_ms)
                self.host.reply(attempt.entry, not_run)
            case ov.ReplyUnknown(attempt=attempt, reason=reason, load=load):
                self.host.reply(attempt.entry, Unknown(attempt, reason, load))
            case ov.ReplyFenced(attempt=attempt, verdict=verdict):
                self.host.reply(attempt.entry, Fenced(attempt, verdict))
            case ov.UpstreamUnreachable():
                self.is_unreachable = True
                self.host.request_push()
                self.scheduler.call_later(PROBE_INTERVAL, self._probe_upstream)

    def _check_upstream(self) -> None:
        self.apply_event(ov.UpstreamChecked(self.upstream.is_down))

    def _probe_upstream(self) -> None:
        if not self.is_unreachable:
            return
        if self.upstream.is_down:
            self.scheduler.call_later(PROBE_INTERVAL, self._probe_upstream)
            return
        self.readmit_upstream()

    def readmit_upstream(self) -> None:
        """Use the upstream again after a restart or an evacuation; it may be cold."""
        self.is_unreachable = False
        self.apply_event(ov.UpstreamReachable())
        self.apply_event(ov.UpstreamAssumedCold())
        self.announce()
        self.host.request_push()

    def _connect(self, hand_over: HandOver, expires_at: Seconds) -> None:
        attempt = hand_over.attempt
        if attempt not in self.owner_state.running:
            return
        if self.upstream.is_down:
            self.apply_event(ov.DispatchNotRun(attempt, NotRunReason.CONNECT_FAILED))
            return
        self.apply_event(ov.DispatchSent(attempt))
        route = self.scenario.find_route(hand_over.route)
        sent_at = self.scheduler.now
        run = self.upstream.receive(
            route,
            expires_at,
            lambda status: self._handle_reply(attempt, status, sent_at),
            hand_over.target,
        )
        if run is not None:
            self.runs[attempt] = run
            self.scheduler.call_at(
                expires_at, lambda: self._cancel_run(attempt, CutReason.UPSTREAM_TIMEOUT)
            )

    def _handle_reply(self, attempt: AttemptId, status: int | None, sent_at: Seconds) -> None:
        self.runs.pop(attempt, None)
        if attempt not in self.owner_state.running:
            return
        if status is None:
            self.apply_event(ov.DispatchUnknown(attempt, CutReason.UPSTREAM_RESET))
        elif status == SHED:
            self.apply_event(ov.DispatchNotRun(attempt, NotRunReason.SHED))
        else:
            self._handle_answer(attempt, status, sent_at)

    def _handle_answer(self, attempt: AttemptId, status: int, sent_at: Seconds) -> None:
        if self.is_reporting:
            self.apply_event(ov.LoadReported(self.upstream.find_factor()))
        self._handle_notice(sent_at)
        took_ms = (self.scheduler.now - sent_at) * MILLISECONDS_PER_SECOND
        self.apply_event(ov.DispatchHead(attempt, status, took_ms))
        self.apply_event(ov.DispatchDone(attempt))
        load = owner.load_sample(self.owner_state, self.scheduler.now)
        self.host.reply(attempt.entry, Answer(attempt, status, load))

    def _handle_notice(self, sent_at: Seconds) -> None:
        """Pass the upstream's rate limit and its leaving, as stated in an answer, to the owner."""
        # An older core that is compared may lack this field.
        if "rate_limit" not in owner.OwnerState.__struct_fields__:
            return
        limit = self.owner_state.rate_limit
        per_second = self.upstream.limit.per_second
        if per_second is not None:
            self.apply_event(ov.RateLimitReported(per_second, sent_at))
        elif limit.per_second is not None or not limit.has_read_answer:
            self.apply_event(ov.RateLimitNotReported(sent_at))
        if self.upstream.is_leaving and not self.owner_state.is_leaving:
            self.apply_event(ov.LeavingReported())
            self.host.request_push()

    def _cancel_run(self, attempt: AttemptId, reason: CutReason) -> None:
        run = self.runs.pop(attempt, None)
        if run is not None:
            self.upstream.cancel(run)
        if attempt in self.owner_state.running:
            # The event is scheduled, as a task does, since the owner is in the middle of a step.
            self.scheduler.call_at(self.scheduler.now, lambda: self._end_cancelled(attempt, reason))

    def _end_cancelled(self, attempt: AttemptId, reason: CutReason) -> None:
        if attempt in self.owner_state.running:
            self.apply_event(ov.DispatchUnknown(attempt, reason))

    def stop(self) -> None:
        """Stop as the process ends: the connections to the upstream close."""
        for run in self.runs.values():
            self.upstream.cancel(run)
        self.runs.clear()


__all__ = ["Answer", "OwnerHost", "OwnerSide"]
