"""Hold the state of one call on its entry node."""

import enum

import msgspec

from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.attempts.messages import AttemptId, CutReason, NotRunReason
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.limits import RetryBudget
from bendwind_core.world import LoadSample, Repeat, Rule, Service, Upstream


class CallPhase(enum.Enum):
    """List the phases of a call."""

    NEW = "new"
    CLAIMING = "claiming"
    TRYING = "trying"
    DELIVERING = "delivering"
    FINISHED = "finished"


class AttemptState(enum.Enum):
    """List the states of an attempt as its entry node sees them.

    LOST: its link broke and the owner is being asked to fence it. HELD: its complete answer is an
    error, which is delivered only if no other attempt brings a better answer.
    """

    OUTSTANDING = "outstanding"
    LOST = "lost"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    HELD = "held"
    WON = "won"
    CANCELLED = "cancelled"


_PENDING = (AttemptState.OUTSTANDING, AttemptState.LOST)
_MAY_HAVE_RUN = (
    AttemptState.OUTSTANDING,
    AttemptState.LOST,
    AttemptState.UNKNOWN,
    AttemptState.HELD,
    AttemptState.WON,
    AttemptState.CANCELLED,
)
# The upstream itself refuses for these reasons, so the request has reached it.
_REFUSED_BY_UPSTREAM = (NotRunReason.SHED, NotRunReason.MISDIRECTED)


class Attempt(msgspec.Struct):
    """Hold one attempt of a call.

    Units: `wait_ms` is the time until its owner would accept it, in milliseconds, None if unknown.
    """

    id: AttemptId
    upstream: Upstream
    state: AttemptState = AttemptState.OUTSTANDING
    not_run: NotRunReason | None = None
    cut: CutReason | None = None
    load: LoadSample | None = None
    wait_ms: Milliseconds | None = None
    may_wait: bool = True
    sent_at: Seconds = 0.0
    ended_at: Seconds | None = None


class EntryCall(msgspec.Struct):
    """Hold one call from its arrival to its single final outcome.

    `rank` is its urgency, 0 the most urgent, and `customer` the customer that it belongs to, empty
    if unknown. `near` is the data centre whose upstreams are preferred, empty if none is. At
    `expires_at` the open attempts of a call that may not be repeated are fenced, and nothing is
    sent afterwards; None for a call that may be repeated. `has_ended_starts` says that this process
    stops and sends no further attempt of the call.
    """

    call_id: str
    service: Service
    rule: Rule
    deadline_at: Seconds
    attempt_ids: AttemptIds
    budget: RetryBudget
    target_at: Seconds | None = None
    expires_at: Seconds | None = None
    has_key: bool = False
    phase: CallPhase = CallPhase.NEW
    attempts: list[Attempt] = msgspec.field(default_factory=list)
    winner: Attempt | None = None
    next_part: int = 1
    is_claim_held: bool = False
    is_caller_gone: bool = False
    has_ended_starts: bool = False
    rank: int = 0
    customer: str = ""
    near: str = ""

    @property
    def is_idempotent(self) -> bool:
        """Return whether the rule permits attempts without proof that earlier ones did not run."""
        return self.rule.repeat is Repeat.IDEMPOTENT

    @property
    def is_finished(self) -> bool:
        """Return whether the call has its final outcome."""
        return self.phase is CallPhase.FINISHED


def create_call(
    call_id: str,
    service: Service,
    rule: Rule,
    deadline_at: Seconds,
    attempt_ids: AttemptIds,
    budget: RetryBudget,
    *,
    has_key: bool = False,
    target_at: Seconds | None = None,
    rank: int | None = None,
    customer: str = "",
    near: str = "",
) -> EntryCall:
    """Create a call; `has_key` says that it carries an idempotency key to be claimed.

    An answer after `target_at` is late; None without a latency objective. `rank` is the customer's
    rank, None if the rule's priority applies.
    """
    is_claimed = has_key and rule.repeat is Repeat.NEVER
    return EntryCall(
        call_id,
        service,
        rule,
        deadline_at,
        attempt_ids,
        budget,
        target_at=target_at,
        has_key=is_claimed,
        rank=rule.priority if rank is None else rank,
        customer=customer,
        near=near,
    )


def find_attempt(call: EntryCall, attempt_id: AttemptId) -> Attempt | None:
    """Return the call's attempt with this id, or None."""
    for attempt in call.attempts:
        if attempt.id == attempt_id:
            return attempt
    return None


def has_pending(call: EntryCall) -> bool:
    """Return whether an attempt may still bring an answer or a proof that it did not run."""
    return any(attempt.state in _PENDING for attempt in call.attempts)


def has_reached_attempt_limit(call: EntryCall) -> bool:
    """Return whether the call may have reached as many upstreams as its rule permits."""
    limit = call.rule.attempts
    if limit is None:
        return False
    reached = sum(
        attempt.state in _MAY_HAVE_RUN or attempt.not_run in _REFUSED_BY_UPSTREAM
        for attempt in call.attempts
    )
    return reached >= limit


def has_expired(call: EntryCall, now: Seconds) -> bool:
    """Return whether a call that may not be repeated has reached its expiry time."""
    return call.expires_at is not None and now >= call.expires_at


def may_have_run(call: EntryCall) -> bool:
    """Return whether any attempt lacks a proof that it did not run."""
    return any(attempt.state in _MAY_HAVE_RUN for attempt in call.attempts)
