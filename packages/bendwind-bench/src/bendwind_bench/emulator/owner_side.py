"""Emulate an owner node: bendwind's owner decides, and a model of the upstream answers."""

from typing import Protocol

from bendwind_bench.emulator.agenda import PausableAgenda
from bendwind_bench.emulator.scenario import Scenario
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
NEAR: Seconds = 0.0003
RETRY_PAUSE: Seconds = 0.5
QUEUE = 16


class Answer(Record, frozen=True):
    """Hold an upstream's complete answer on its way to the entry node."""

    attempt: AttemptId
    status: int
    load: LoadSample


class Beside(Protocol):
    """Declare what an owner side needs from the node that it is part of."""

    def reply(self, entry: str, message: Record) -> None:
        """Send a message to an entry node."""

    def tell_all(self) -> None:
        """Schedule a push of the serving upstreams to all nodes."""

    def tell_suspects(self) -> None:
        """Send new suspect reports, by way of the voters, to all nodes."""


class OwnerSide:
    """Hold the owner state of a node's only upstream."""

    __slots__ = (
        "agenda",
        "beside",
        "owner_state",
        "is_reporting",
        "is_unreachable",
        "runs",
        "scenario",
        "ticks_at",
        "upstream",
    )

    def __init__(
        self,
        scenario: Scenario,
        upstream: UpstreamModel,
        agenda: PausableAgenda,
        beside: Beside,
        incarnation: int,
        suspects: SuspectTable,
    ):
        self.scenario = scenario
        self.upstream = upstream
        self.agenda = agenda
        self.beside = beside
        self.runs: dict[AttemptId, Run] = {}
        self.is_unreachable = False
        self.is_reporting = upstream.table.reports_load
        self.ticks_at: Seconds | None = None
        self.owner_state = self._create_owner_state(incarnation, suspects)

    def _create_owner_state(self, incarnation: int, suspects: SuspectTable) -> owner.OwnerState:
        warm_up = self.upstream.table.warm_up
        state = WarmUpState(last_sent_at=self.agenda.now, assumed_cold_at=self.agenda.now)
        if warm_up is not None and self.scenario.policy.spares_cold:
            state.rule = WarmUpRule(warm_up.seconds, warm_up.per_second)
            state.limits = WarmUpLimits(warm_up.overage, warm_up.slack)
        return owner.create_owner_state(
            self.upstream.name,
            incarnation,
            QUEUE,
            slot_share=self.scenario.policy.slot_share,
            warm_up=state,
            suspects=suspects,
        )

    def find_run_rank(self) -> float | None:
        """Return the most urgent rank among the running requests, None if none runs."""
        return min((run.effective_rank for run in self.owner_state.running.values()), default=None)

    def announce(self, state: UpstreamState = UpstreamState.READY) -> None:
        """Deliver the upstream's announcement to the owner and query the upstream."""
        slots = self.upstream.table.slots
        self.feed(ov.UpstreamAnnounced(slots, 10 * slots, state))
        self.ask()

    def ask(self) -> None:
        """Query the upstream's remaining warm-up time and its load report on the health path."""
        asked_at = self.agenda.now
        self.agenda.after(NEAR, lambda: self._hear_health(asked_at))

    def _hear_health(self, asked_at: Seconds) -> None:
        if self.upstream.is_down:
            return
        self.feed(ov.WarmUpReported(self.upstream.warm_up_left_ms, asked_at))
        if self.is_reporting:
            self.feed(ov.LoadReported(self.upstream.find_factor()))
        else:
            self.feed(ov.LoadNotReported(has_load_endpoint=False))

    def feed(self, event: ov.OwnerEvent) -> None:
        """Apply an event and the effects that the owner returns."""
        for effect in owner.step(self.owner_state, event, self.agenda.now):
            self._carry_out(effect)
        if self.owner_state.suspects.unreported:
            self.beside.tell_suspects()
        due = owner.next_due(self.owner_state, self.agenda.now)
        if due is not None and (self.ticks_at is None or due < self.ticks_at):
            self.ticks_at = due
            self.agenda.at(due, lambda: self._tick(due))

    def _tick(self, due: Seconds) -> None:
        if self.ticks_at == due:
            self.ticks_at = None
            self.feed(ov.Tick())

    def _carry_out(self, effect: ov.OwnerEffect) -> None:
        match effect:
            case ov.Dispatch(hand_over=hand_over, expires_at=expires_at):
                self.agenda.after(NEAR, lambda: self._connect(hand_over, expires_at))
            case ov.CancelDispatch(attempt=attempt):
                self._drop(attempt, CutReason.CANCELLED)
            case ov.QueryLoad():
                self.ask()
            case ov.CheckUpstream():
                self.agenda.after(NEAR, lambda: self._check())
            case ov.ReplyNotRun(attempt=attempt, reason=reason, load=load, wait_ms=wait_ms):
                not_run = NotRun(attempt, reason, load, wait_ms=wait_ms)
                self.beside.reply(attempt.entry, not_run)
            case ov.ReplyUnknown(attempt=attempt, reason=reason, load=load):
                self.beside.reply(attempt.entry, Unknown(attempt, reason, load))
            case ov.ReplyFenced(attempt=attempt, verdict=verdict):
                self.beside.reply(attempt.entry, Fenced(attempt, verdict))
            case ov.UpstreamUnreachable():
                self.is_unreachable = True
                self.beside.tell_all()
                self.agenda.after(RETRY_PAUSE, self._try_aside)

    def _check(self) -> None:
        self.feed(ov.UpstreamChecked(self.upstream.is_down))

    def _try_aside(self) -> None:
        if not self.is_unreachable:
            return
        if self.upstream.is_down:
            self.agenda.after(RETRY_PAUSE, self._try_aside)
            return
        self.take_back()

    def take_back(self) -> None:
        """Use the upstream again after a restart or an evacuation; it may be cold."""
        self.is_unreachable = False
        self.feed(ov.UpstreamReachable())
        self.feed(ov.UpstreamAssumedCold())
        self.announce()
        self.beside.tell_all()

    def _connect(self, hand_over: HandOver, expires_at: Seconds) -> None:
        attempt = hand_over.attempt
        if attempt not in self.owner_state.running:
            return
        if self.upstream.is_down:
            self.feed(ov.DispatchNotRun(attempt, NotRunReason.CONNECT_FAILED))
            return
        self.feed(ov.DispatchSent(attempt))
        route = self.scenario.find_route(hand_over.route)
        sent_at = self.agenda.now
        run = self.upstream.receive(
            route,
            expires_at,
            lambda status: self._hear(attempt, status, sent_at),
            hand_over.target,
        )
        if run is not None:
            self.runs[attempt] = run
            self.agenda.at(expires_at, lambda: self._drop(attempt, CutReason.UPSTREAM_TIMEOUT))

    def _hear(self, attempt: AttemptId, status: int | None, sent_at: Seconds) -> None:
        self.runs.pop(attempt, None)
        if attempt not in self.owner_state.running:
            return
        if status is None:
            self.feed(ov.DispatchUnknown(attempt, CutReason.UPSTREAM_RESET))
        elif status == SHED:
            self.feed(ov.DispatchNotRun(attempt, NotRunReason.SHED))
        else:
            self._hear_answer(attempt, status, sent_at)

    def _hear_answer(self, attempt: AttemptId, status: int, sent_at: Seconds) -> None:
        if self.is_reporting:
            self.feed(ov.LoadReported(self.upstream.find_factor()))
        self._hear_notice(sent_at)
        took_ms = (self.agenda.now - sent_at) * MILLISECONDS_PER_SECOND
        self.feed(ov.DispatchHead(attempt, status, took_ms))
        self.feed(ov.DispatchDone(attempt))
        load = owner.load_sample(self.owner_state, self.agenda.now)
        self.beside.reply(attempt.entry, Answer(attempt, status, load))

    def _hear_notice(self, sent_at: Seconds) -> None:
        """Pass the upstream's rate limit and its leaving, as stated in an answer, to the owner."""
        # An older core that is compared may lack this field.
        if "rate_limit" not in owner.OwnerState.__struct_fields__:
            return
        limit = self.owner_state.rate_limit
        per_second = self.upstream.limit.per_second
        if per_second is not None:
            self.feed(ov.RateLimitReported(per_second, sent_at))
        elif limit.per_second is not None or not limit.has_read_answer:
            self.feed(ov.RateLimitNotReported(sent_at))
        if self.upstream.is_leaving and not self.owner_state.is_leaving:
            self.feed(ov.LeavingReported())
            self.beside.tell_all()

    def _drop(self, attempt: AttemptId, reason: CutReason) -> None:
        run = self.runs.pop(attempt, None)
        if run is not None:
            self.upstream.cancel(run)
        if attempt in self.owner_state.running:
            # The event is scheduled, as a task does, since the owner is in the middle of a step.
            self.agenda.at(self.agenda.now, lambda: self._end_dropped(attempt, reason))

    def _end_dropped(self, attempt: AttemptId, reason: CutReason) -> None:
        if attempt in self.owner_state.running:
            self.feed(ov.DispatchUnknown(attempt, reason))

    def stop(self) -> None:
        """Stop as the process ends: the connections to the upstream close."""
        for run in self.runs.values():
            self.upstream.cancel(run)
        self.runs.clear()


__all__ = ["Answer", "Beside", "OwnerSide"]
