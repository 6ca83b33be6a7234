"""Collect the facts behind the decisions on one request, for its log lines."""

from bendwind_core.attempts import Header
from bendwind_core.attempts.call import Attempt
from bendwind_core.attempts.messages import HandOver, NotRunReason
from bendwind_core.attempts.owner_state import OwnerState
from bendwind_core.attempts.upstream_end import UnansweredAttempt, compute_hand_over_signature
from bendwind_core.attempts.usual_times import find_usual_ms
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.timeline import (
    AttemptFacts,
    CallFacts,
    DispatchFacts,
    EndFacts,
    RefusalFacts,
    UnansweredFacts,
)
from bendwind_node.calls import headers as names
from bendwind_node.calls.call_run import CallRun
from bendwind_node.calls.dialect import Dialect


def find_request_id(headers: tuple[Header, ...], dialect: Dialect) -> str:
    """Return the caller's own id of its request, empty if there is none."""
    if dialect.request_id is None:
        return ""
    return (names.find_header(headers, dialect.request_id) or b"").decode("latin-1")


def make_call_facts(run: CallRun, status: int, now: Seconds) -> CallFacts:
    """Return the facts of a finished call."""
    call = run.call
    target_ms = None
    tried_ms = 0.0
    if call.target_at is not None:
        target_ms = _convert_to_ms(call.target_at - run.arrived_at)
        tried_ms = max(0.0, round((call.rule.target_latency_ms or 0.0) - target_ms, 1))
    return CallFacts(
        call.service.name,
        call.rule.name,
        status,
        _convert_to_ms(now - run.arrived_at),
        _convert_to_ms(call.deadline_at - run.arrived_at),
        target_ms,
        run.basis.version,
        _round_ms(run.basis.age_ms),
        tuple(_make_attempt_facts(run, attempt) for attempt in call.attempts),
        tried_ms,
        call.rank,
        call.customer,
        _describe_quota(run),
        run.basis.newest,
    )


def _describe_quota(run: CallRun) -> str:
    grant = run.quota_grant
    return "" if grant is None else f"{run.call.customer}: token of voter {grant.voter}"


def _make_attempt_facts(run: CallRun, attempt: Attempt) -> AttemptFacts:
    ms = None if attempt.ended_at is None else _convert_to_ms(attempt.ended_at - attempt.sent_at)
    sent_ms = _convert_to_ms(attempt.sent_at - run.arrived_at)
    end, wait_ms = _describe_end(run, attempt), _round_ms(attempt.wait_ms)
    return AttemptFacts(attempt.upstream.name, sent_ms, end, ms, wait_ms, attempt.id.sequence)


def _describe_end(run: CallRun, attempt: Attempt) -> str:
    head = run.heads.get(attempt.id)
    if head is not None:
        return str(head.status)
    reason = attempt.not_run or attempt.cut
    return attempt.state.value if reason is None else f"{attempt.state.value}: {reason}"


def make_dispatch_facts(
    owner_state: OwnerState, hand_over: HandOver, expires_at: Seconds, version: int, now: Seconds
) -> DispatchFacts:
    """Return the facts known at the start of a dispatch; its duration is added later.

    `version` is the owner's configuration.
    """
    arrived_at = expires_at - hand_over.remaining_ms / MILLISECONDS_PER_SECOND
    return DispatchFacts(
        hand_over.route,
        max(0.0, _convert_to_ms(now - arrived_at)),
        remaining_ms=round(hand_over.remaining_ms, 1),
        running=len(owner_state.running),
        slots=owner_state.slots,
        slow_factor=owner_state.pace.factor,
        report_age_ms=_find_report_age(owner_state, now),
        limit=_find_run_limit(owner_state),
        rank=int(hand_over.rank),
        customer=hand_over.customer,
        version=version,
        entry_version=0 if hand_over.version == version else hand_over.version,
    )


def make_refusal_facts(
    owner_state: OwnerState,
    hand_over: HandOver,
    reason: NotRunReason,
    now: Seconds,
    waited: Seconds | None = None,
) -> RefusalFacts:
    """Return the facts known when an attempt is refused."""
    is_suspect = reason in (NotRunReason.KEPT_APART, NotRunReason.QUARANTINED)
    return RefusalFacts(
        hand_over.route,
        round(hand_over.remaining_ms, 1),
        _round_ms(hand_over.target_ms),
        round(find_usual_ms(owner_state, hand_over.route), 1),
        len(owner_state.running),
        len(owner_state.waiting),
        owner_state.slots,
        owner_state.pace.factor,
        _find_report_age(owner_state, now),
        compute_hand_over_signature(hand_over).hex() if is_suspect else "",
        None if waited is None else _convert_to_ms(waited),
        _find_run_limit(owner_state),
        int(hand_over.rank),
        hand_over.customer,
        owner_state.rate_limit.per_second,
    )


def make_end_facts(unanswered: tuple[UnansweredAttempt, ...], dialect: Dialect) -> EndFacts:
    """Return the facts of the requests that an upstream left unanswered when it ended."""
    return EndFacts(
        tuple(
            UnansweredFacts(attempt.signature.hex(), find_request_id(attempt.headers, dialect))
            for attempt in unanswered
        )
    )


def _find_run_limit(owner_state: OwnerState) -> int:
    """Return how many attempts may run; 0, which log lines omit, if all slots may be used."""
    return 0 if owner_state.run_limit == owner_state.slots else owner_state.run_limit


def _find_report_age(owner_state: OwnerState, now: Seconds) -> Milliseconds | None:
    reported_at = owner_state.pace.reported_at
    return None if reported_at is None else _convert_to_ms(now - reported_at)


def _round_ms(ms: Milliseconds | None) -> Milliseconds | None:
    return None if ms is None else round(ms, 1)


def _convert_to_ms(seconds: Seconds) -> Milliseconds:
    return round(seconds * MILLISECONDS_PER_SECOND, 1)
