"""Decide how often a call is tried where it would not wait, and who lets it wait after that.

Only an owner knows whether its upstream has a place, so it is asked by handing over. A try that is
sent back ran nowhere and cost its upstream nothing.
"""

from bendwind_core.attempts.call import Attempt, EntryCall
from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.limits import may_try
from bendwind_core.world import Policy, Upstream

# So many owners may say that they are busy before one is asked to let the request wait. Each costs
# the caller a round trip, some milliseconds, where a wait is as long as a run. It is as many as a
# node knows of a service.
MAX_NO_WAIT_ATTEMPTS = 8
# Of these tries so many may go to other data centres: each costs bytes on a link that may be dear,
# also if it is sent back.
MAX_FAR_NO_WAIT_ATTEMPTS = 2
# A request waits at an upstream of its own data centre, instead of being tried in others, that
# starts it within this share of what is left to its objective: it is in time all the same.
NEAR_WAIT_SHARE = 0.1
# Where most owners have no room, a request is given up once so many refused to let it wait. Fewer
# refusals may be chance, and one that is given up as an inner call costs the run that waits for it.
MIN_CAPACITY_REFUSALS = 3
# The reasons by which an owner says that it has no room now, and might have at another time.
CAPACITY_REFUSALS = frozenset(
    {NotRunReason.BUSY, NotRunReason.LIMITED, NotRunReason.STALLED, NotRunReason.QUEUE_FULL}
)
_BUSY_REASONS = frozenset({NotRunReason.BUSY, NotRunReason.LIMITED})


def may_send_no_wait(call: EntryCall, upstream: Upstream, now: Seconds) -> bool:
    """Tell whether the next attempt is only to be taken by an upstream that is free."""
    # The other policies stay plain: they are what this one is compared with.
    if call.service.policy is not Policy.SCORE or not may_try(call.budget.tries):
        return False
    if len(_list_busy_refusals(call)) >= MAX_NO_WAIT_ATTEMPTS:
        return False
    return _is_near(call, upstream) or _may_send_far_no_wait(call, now)


def _is_near(call: EntryCall, upstream: Upstream) -> bool:
    return not call.near or upstream.owner.data_centre == call.near


def _may_send_far_no_wait(call: EntryCall, now: Seconds) -> bool:
    far = [one for one in _list_busy_refusals(call) if not _is_near(call, one.upstream)]
    return len(far) < MAX_FAR_NO_WAIT_ATTEMPTS and _find_near_wait_candidate(call, now) is None


def _find_near_wait_candidate(call: EntryCall, now: Seconds) -> Attempt | None:
    """Return the try at a near upstream where a wait is too short to be worth the way."""
    near = [one for one in _list_wait_candidates(call) if _is_near(call, one.upstream)]
    if not call.near or call.target_at is None or not near:
        return None
    first_free = min(near, key=_estimate_free_at)
    max_wait = NEAR_WAIT_SHARE * (call.target_at - now)
    return first_free if _estimate_free_at(first_free) - now <= max_wait else None


def may_ask_another_owner(call: EntryCall) -> bool:
    """Tell whether another owner may be asked after one that has no room.

    Where most have none, each further one is a message for nothing, and the caller had better hear
    at once when to come back.
    """
    refused = sum(one.may_wait and one.not_run in CAPACITY_REFUSALS for one in call.attempts)
    return refused < MIN_CAPACITY_REFUSALS or may_try(call.budget.tries)


def find_upstream_with_shortest_wait(call: EntryCall, now: Seconds) -> Upstream | None:
    """Return the busy upstream that should be free first, of those not handed over to since."""
    busy = _list_wait_candidates(call)
    if not busy:
        return None
    return (_find_near_wait_candidate(call, now) or min(busy, key=_estimate_free_at)).upstream


def _list_wait_candidates(call: EntryCall) -> list[Attempt]:
    waited = {attempt.upstream.name for attempt in call.attempts if attempt.may_wait}
    return [one for one in _list_busy_refusals(call) if one.upstream.name not in waited]


def _estimate_free_at(attempt: Attempt) -> Seconds:
    # The wait that an owner names counts what goes before a request of this rank; that in its load
    # counts all that waits.
    load_ms = attempt.load.wait_ms if attempt.load is not None else 0.0
    wait_ms = load_ms if attempt.wait_ms is None else attempt.wait_ms
    return (attempt.ended_at or 0.0) + wait_ms / MILLISECONDS_PER_SECOND


def exclude_busy_refusals(attempts: list[Attempt]) -> list[Attempt]:
    """Return the attempts other than those that found their upstream busy and might not wait."""
    return [attempt for attempt in attempts if not _is_busy_refusal(attempt)]


def _list_busy_refusals(call: EntryCall) -> list[Attempt]:
    return [attempt for attempt in call.attempts if _is_busy_refusal(attempt)]


def _is_busy_refusal(attempt: Attempt) -> bool:
    return not attempt.may_wait and attempt.not_run in _BUSY_REASONS
