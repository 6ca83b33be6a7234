"""Decide how many no-wait attempts a call sends, and at which upstream it waits after that.

The owner refuses a no-wait attempt unless it can start it at once. Only an owner knows whether its
upstream has a free slot, so the entry node asks by handing over an attempt. A no-wait attempt that
is refused ran nowhere and cost its upstream nothing.
"""

from bendwind_core.attempts.call import Attempt, EntryCall
from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.limits import may_send_no_wait
from bendwind_core.world import Policy, Upstream

# After this many owners have refused as busy, one is asked to let the request wait. Each refusal
# costs the caller a round trip of some milliseconds, whereas a wait is as long as a run. The value
# is the number of upstreams that an entry node uses of a service.
MAX_NO_WAIT_ATTEMPTS = 8
# This many of the no-wait attempts may go to other data centres: each transfers bytes over a link
# that may be expensive, also if it is refused.
MAX_FAR_NO_WAIT_ATTEMPTS = 2
# A request waits at an upstream of its own data centre, instead of being sent to others, if that
# upstream starts it within this share of the time left to its latency objective: it still meets
# the objective.
NEAR_WAIT_SHARE = 0.1
# While most owners have no capacity, a request is refused once this many owners refused to let it
# wait. Fewer refusals may be chance, and refusing an inner call costs the run that waits for it.
MIN_CAPACITY_REFUSALS = 3
# The reasons of an owner that has no capacity now but might have some at another time.
CAPACITY_REFUSALS = frozenset(
    {NotRunReason.BUSY, NotRunReason.LIMITED, NotRunReason.STALLED, NotRunReason.QUEUE_FULL}
)
_BUSY_REASONS = frozenset({NotRunReason.BUSY, NotRunReason.LIMITED})


def should_send_no_wait(call: EntryCall, upstream: Upstream, now: Seconds) -> bool:
    """Return whether the next attempt is a no-wait attempt, which only a free upstream accepts."""
    # The other policies are plain baselines that this one is compared with.
    if call.service.policy is not Policy.SCORE or not may_send_no_wait(call.budget.no_wait):
        return False
    if len(_list_busy_refusals(call)) >= MAX_NO_WAIT_ATTEMPTS:
        return False
    return _is_near(call, upstream) or _should_send_far_no_wait(call, now)


def _is_near(call: EntryCall, upstream: Upstream) -> bool:
    return not call.near or upstream.owner.data_centre == call.near


def _should_send_far_no_wait(call: EntryCall, now: Seconds) -> bool:
    far = [one for one in _list_busy_refusals(call) if not _is_near(call, one.upstream)]
    return len(far) < MAX_FAR_NO_WAIT_ATTEMPTS and _find_near_wait_candidate(call, now) is None


def _find_near_wait_candidate(call: EntryCall, now: Seconds) -> Attempt | None:
    """Return the refused attempt at a near upstream whose wait is too short to justify a far one.

    Return None if there is none.
    """
    near = [one for one in _list_wait_candidates(call) if _is_near(call, one.upstream)]
    if not call.near or call.target_at is None or not near:
        return None
    first_free = min(near, key=_estimate_free_at)
    max_wait = NEAR_WAIT_SHARE * (call.target_at - now)
    return first_free if _estimate_free_at(first_free) - now <= max_wait else None


def may_try_another_owner(call: EntryCall) -> bool:
    """Return whether another owner may be tried after one that has no capacity.

    If most owners have none, each further attempt is a wasted message. It is then better to report
    to the caller immediately when to retry.
    """
    refused = sum(one.may_wait and one.not_run in CAPACITY_REFUSALS for one in call.attempts)
    return refused < MIN_CAPACITY_REFUSALS or may_send_no_wait(call.budget.no_wait)


def find_upstream_with_shortest_wait(call: EntryCall, now: Seconds) -> Upstream | None:
    """Return the upstream that should be free first of those that refused as busy, or None.

    Upstreams that were sent an attempt which may wait are left out.
    """
    busy = _list_wait_candidates(call)
    if not busy:
        return None
    return (_find_near_wait_candidate(call, now) or min(busy, key=_estimate_free_at)).upstream


def _list_wait_candidates(call: EntryCall) -> list[Attempt]:
    waited = {attempt.upstream.name for attempt in call.attempts if attempt.may_wait}
    return [one for one in _list_busy_refusals(call) if one.upstream.name not in waited]


def _estimate_free_at(attempt: Attempt) -> Seconds:
    # The wait reported with a refusal counts only the requests that start before one of this rank;
    # the wait in the load sample counts all waiting requests.
    load_ms = attempt.load.wait_ms if attempt.load is not None else 0.0
    wait_ms = load_ms if attempt.wait_ms is None else attempt.wait_ms
    return (attempt.ended_at or 0.0) + wait_ms / MILLISECONDS_PER_SECOND


def exclude_busy_refusals(attempts: list[Attempt]) -> list[Attempt]:
    """Return the attempts without the no-wait attempts that were refused as busy or limited."""
    return [attempt for attempt in attempts if not _is_busy_refusal(attempt)]


def _list_busy_refusals(call: EntryCall) -> list[Attempt]:
    return [attempt for attempt in call.attempts if _is_busy_refusal(attempt)]


def _is_busy_refusal(attempt: Attempt) -> bool:
    return not attempt.may_wait and attempt.not_run in _BUSY_REASONS
