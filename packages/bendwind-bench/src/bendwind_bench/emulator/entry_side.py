"""Emulate an entry node with bendwind's own calls, upstream tables and upstream choice."""

import random
from collections.abc import Callable
from typing import Protocol

import msgspec

from bendwind_bench.emulator.owner_side import Answer
from bendwind_bench.emulator.scenario import RouteTable, Scenario
from bendwind_bench.emulator.scheduler import PausableScheduler
from bendwind_core import world
from bendwind_core.attempts import (
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
from bendwind_core.attempts.call import AttemptState, EntryCall, create_call, find_attempt
from bendwind_core.attempts.retry_after import NoCapacity
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Record, Seconds
from bendwind_core.limits import RetryBudget
from bendwind_core.routing import (
    UpstreamTable,
    choose_subset,
    choose_upstream,
    create_upstream_table,
    find_earliest_capacity_at,
    record_attempt_answered,
    record_attempt_cancelled,
    record_attempt_not_run,
    record_attempt_sent,
    record_attempt_unknown,
    set_upstreams,
)
from bendwind_core.suspicion import SuspectReport, SuspectTable, compute_signature, find_report
from bendwind_core.world import Rule, Service, Upstream


class Answered(msgspec.Struct, frozen=True):
    """Report that a call was answered, with the upstream's status."""

    status: int


class Refused(msgspec.Struct, frozen=True):
    """Report that a call did not run, and after which time to retry."""

    retry_after_ms: Milliseconds


class ResultUnknown(msgspec.Struct, frozen=True):
    """Report that it is unknown whether a call ran."""


Outcome = Answered | Refused | ResultUnknown
OutcomeCallback = Callable[[Outcome], None]


class Network(Protocol):
    """Declare what an entry node needs from its environment."""

    def send_to_owner(self, sender: str, to: str, message: Record) -> None:
        """Send a message to the owner side of a node."""

    def record_attempt(self, upstream: str) -> None:
        """Count an attempt that was sent."""

    def record_refused_attempt(self, target: bytes, reason: NotRunReason) -> None:
        """Count an attempt that an owner refused without running it."""

    def find_run_rank(self, name: str) -> float | None:
        """Return the most urgent rank among the requests that run at a node's upstream."""

    def record_retry(self) -> None:
        """Count an attempt that was charged to the retry budget."""


class CallRun(msgspec.Struct, eq=False):
    """Hold one call, its timers and the callback for its outcome."""

    call: EntryCall
    route: RouteTable
    on_done: OutcomeCallback
    target: bytes
    timers: dict[ev.TimerKind, Seconds] = msgspec.field(default_factory=dict)
    status: int = 0


class EntrySide:
    """Hold the calls that a node received."""

    __slots__ = (
        "scheduler",
        "budgets",
        "data_centre",
        "ids",
        "incarnation",
        "is_stopped",
        "name",
        "network",
        "origin",
        "rng",
        "runs",
        "suspects",
        "scenario",
        "services",
        "tables",
    )

    def __init__(
        self,
        name: str,
        data_centre: str,
        origin: str,
        scenario: Scenario,
        scheduler: PausableScheduler,
        network: Network,
        rng: random.Random,
        incarnation: int,
        suspects: SuspectTable,
    ):
        self.name = name
        self.data_centre = data_centre
        self.origin = origin
        self.scenario = scenario
        self.scheduler = scheduler
        self.network = network
        self.rng = rng
        self.incarnation = incarnation
        self.suspects = suspects
        self.ids = AttemptIds(name, incarnation)
        self.tables: dict[str, UpstreamTable] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.services: dict[str, Service] = {}
        self.runs: dict[int, CallRun] = {}
        self.is_stopped = False
        for table in scenario.services:
            self.tables[table.name] = create_upstream_table(table.name)
            self.budgets[table.name] = RetryBudget(scenario.policy.retry_ratio)
            self.services[table.name] = Service(
                table.name,
                ("*",),
                policy=scenario.policy.policy,
                hedge_after_ms=scenario.policy.hedge_after_ms,
                near_first=scenario.policy.near_first,
            )

    def update_upstreams(self, service: str, upstreams: tuple[Upstream, ...]) -> None:
        """Update the upstreams that serve a service."""
        used = choose_subset(self.name, self.data_centre, upstreams)
        set_upstreams(self.tables[service], used, self.scheduler.now)

    def start_call(
        self,
        route: RouteTable,
        deadline_at: Seconds,
        target_at: Seconds,
        on_done: OutcomeCallback,
        target: bytes,
        customer: str = "",
        rank: int | None = None,
    ) -> None:
        """Start a call and report its outcome once; `rank` is the customer's, if it has one."""
        rule = Rule(
            "*",
            repeat=route.repeat,
            longest_wait_ms=route.timeout_ms,
            attempts=route.attempts,
            target_latency_ms=route.target_ms,
            priority=route.priority,
            name=route.name,
        )
        call = create_call(
            "",
            self.services[route.service],
            rule,
            deadline_at,
            self.ids,
            self.budgets[route.service],
            target_at=target_at,
            rank=rank,
            customer=customer,
            **self._make_near_argument(),
        )
        self._apply_event(CallRun(call, route, on_done, target), ev.Begin())

    def _apply_event(self, run: CallRun, event: ev.EntryEvent) -> None:
        if self.is_stopped:
            return
        table = self.tables[run.route.service]

        def choose(excluded: frozenset[str]) -> Upstream | NoCapacity | None:
            return self._choose(run, table, excluded)

        for effect in entry.step(run.call, event, self.scheduler.now, choose):
            self._apply_effect(run, table, effect)

    def _choose(
        self, run: CallRun, table: UpstreamTable, excluded: frozenset[str]
    ) -> Upstream | NoCapacity | None:
        policy = self.scenario.policy
        now = self.scheduler.now
        near = self.data_centre if policy.near_first else None
        chosen = choose_upstream(
            policy.policy, table, excluded, now, self.rng, near, target_at=run.call.target_at
        )
        if chosen is not None:
            return chosen
        capacity_at = find_earliest_capacity_at(table)
        if capacity_at is None or capacity_at <= now:
            return None
        return NoCapacity((capacity_at - now) * MILLISECONDS_PER_SECOND)

    def _apply_effect(self, run: CallRun, table: UpstreamTable, effect: ev.EntryEffect) -> None:
        now = self.scheduler.now
        match effect:
            case ev.SendHandOver(attempt=attempt, upstream=upstream):
                self.runs[attempt.sequence] = run
                record_attempt_sent(table, upstream.name, attempt, now)
                self.network.record_attempt(upstream.name)
                if any(earlier.not_run is None for earlier in run.call.attempts[:-1]):
                    self.network.record_retry()
                self.network.send_to_owner(
                    self.name, upstream.owner.name, self._make_hand_over(run, effect)
                )
            case ev.SendCancel(attempt=attempt, upstream=upstream):
                record_attempt_cancelled(table, upstream.name, attempt, now)
                self.network.send_to_owner(
                    self.name, upstream.owner.name, Cancel(attempt, upstream.name)
                )
            case ev.SendFence(attempt=attempt, upstream=upstream):
                fence = Fence(attempt, upstream.owner.incarnation, upstream.name)
                self.network.send_to_owner(self.name, upstream.owner.name, fence)
            case ev.StartTimer(kind=kind, at=at):
                run.timers[kind] = at
                self.scheduler.call_at(at, lambda: self._fire_timer(run, kind, at))
            case ev.FinishDelivered():
                self._finish_call(run, Answered(run.status))
            case ev.FinishNotRun(retry_after_ms=retry_after_ms):
                self._finish_call(run, Refused(retry_after_ms))
            case ev.FinishUnknown() | ev.Cut() | ev.FinishRefused():
                self._finish_call(run, ResultUnknown())

    def _make_hand_over(self, run: CallRun, effect: ev.SendHandOver) -> HandOver:
        return HandOver(
            effect.attempt,
            effect.upstream.owner.incarnation,
            run.route.service,
            effect.upstream.name,
            "GET",
            run.target,
            (),
            effect.remaining_ms,
            run.route.repeat,
            1,
            accept_if_slow=effect.accept_if_slow,
            route=run.route.name,
            target_ms=effect.target_ms,
            origin=self.origin,
            suspicion=self._find_suspicion(run),
            rank=self._combine_ranks(run),
            customer=run.call.customer,
            may_wait=effect.may_wait,
            **self._make_run_rank_argument(),
            **self._make_limit_argument(run, effect.upstream),
        )

    def _make_run_rank_argument(self) -> dict[str, float | None]:
        # An older core that is compared may lack this field.
        if "run_rank" not in HandOver.__struct_fields__:
            return {}
        return {"run_rank": self.network.find_run_rank(self.name)}

    def _make_limit_argument(self, run: CallRun, upstream: Upstream) -> dict[str, float | None]:
        # An older core that is compared may lack this field.
        if "limit_per_s" not in HandOver.__struct_fields__:
            return {}
        from bendwind_core.routing import find_rate_limit

        return {"limit_per_s": find_rate_limit(self.tables[run.route.service].notices, upstream)}

    def _make_near_argument(self) -> dict[str, str]:
        # An older core that is compared may lack this field.
        if not self.scenario.policy.near_first or "near" not in EntryCall.__struct_fields__:
            return {}
        return {"near": self.data_centre}

    def _combine_ranks(self, run: CallRun) -> float:
        # An older core that is compared may lack this field.
        combine = getattr(world, "combine_ranks", lambda rank, route_rank: rank)
        return combine(run.call.rank, run.route.priority)

    def _find_suspicion(self, run: CallRun) -> SuspectReport | None:
        if not self.suspects.suspects:
            return None
        signature = compute_signature("GET", run.target, (), b"")
        return find_report(self.suspects, signature, self.scheduler.now)

    def _fire_timer(self, run: CallRun, kind: ev.TimerKind, at: Seconds) -> None:
        if run.timers.get(kind) == at:
            self._apply_event(run, ev.TimerFired(kind))

    def _finish_call(self, run: CallRun, outcome: Outcome) -> None:
        for attempt in run.call.attempts:
            self.runs.pop(attempt.id.sequence, None)
        run.timers.clear()
        run.on_done(outcome)

    def handle_message(self, message: Record) -> None:
        """Handle a message of an owner node; drop it if it matches no open attempt."""
        run = self.runs.get(message.attempt.sequence)
        is_own = message.attempt.incarnation == self.incarnation
        attempt = find_attempt(run.call, message.attempt) if run is not None and is_own else None
        if attempt is None:
            return
        table = self.tables[run.route.service]
        name, now = attempt.upstream.name, self.scheduler.now
        match message:
            case Answer(attempt=id, status=status, load=load):
                run.status = status
                record_attempt_answered(table, name, id, now, status, load)
                self._apply_event(run, ev.AttemptHead(id, status, True))
            case NotRun(attempt=id, reason=reason, load=load, wait_ms=wait_ms):
                record_attempt_not_run(table, name, id, now, reason, load)
                self.network.record_refused_attempt(run.target, reason)
                self._apply_event(run, ev.AttemptNotRun(id, reason, load, wait_ms))
            case Unknown(attempt=id, reason=reason):
                record_attempt_unknown(table, name, id, now)
                self._apply_event(run, ev.AttemptUnknown(id, reason))
            case Fenced(attempt=id, verdict=verdict):
                self._apply_event(run, ev.FenceAnswered(id, verdict))

    def handle_link_lost(self, node: str) -> None:
        """Handle the loss of the link to a node."""
        for run in list(self.runs.values()):
            for attempt in list(run.call.attempts):
                is_there = attempt.upstream.owner.name == node
                if is_there and attempt.state is AttemptState.OUTSTANDING:
                    record_attempt_unknown(
                        self.tables[run.route.service],
                        attempt.upstream.name,
                        attempt.id,
                        self.scheduler.now,
                    )
                    self._apply_event(run, ev.OwnerLinkLost(attempt.id))

    def stop(self) -> None:
        """Stop as the process ends: the callers' connections close."""
        self.is_stopped = True
        runs = {id(run): run for run in self.runs.values()}
        self.runs.clear()
        for run in runs.values():
            self.scheduler.call_at(
                self.scheduler.now, lambda on_done=run.on_done: on_done(ResultUnknown())
            )
