"""Decide how often a call is tried where it would not wait, and who lets it wait after that.

Only an owner knows whether its upstream has a place, so it is asked by handing over. A try that is
sent back ran nowhere and cost its upstream nothing.
"""

from bendwind_core.attempts.call import Attempt, EntryCall
from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.limits import may_try
from bendwind_core.world import Policy, Upstream

# So many owners may say that they are busy before one is asked to let the request wait. Each is a
# round trip, 0.4 to 6 ms, where a wait is that of a run. Of attempts, 0.405 waited over 20 ms
# beside a free upstream; with two tries 0.193, three 0.101, four 0.058, six 0.025, eight 0.011.
POLITE_TRIES = 8
# So many owners may refuse to let a request wait before it is given up where most have no room: few
# refusals may be chance, and the run that waits for an inner call is lost with it. With two, 0.946
# of the requests with mixed timeouts were in time, with three 0.958.
SURE_OWNERS = 3
# So an owner says that it has no room for a request that it might have taken at another time.
NO_ROOM = frozenset({NotRunReason.BUSY, NotRunReason.STALLED, NotRunReason.QUEUE_FULL})


def may_try_free(call: EntryCall) -> bool:
    """Tell whether the next attempt is only to be taken by an upstream that is free."""
    # The other policies stay the plain baselines that they are.
    if call.service.policy is not Policy.SCORE or not may_try(call.budget.tries):
        return False
    return len(_list_busy(call)) < POLITE_TRIES


def may_be_refused_again(call: EntryCall) -> bool:
    """Tell whether another owner may be asked after one that has no room.

    Where most have none, each further one is a message for nothing, and the caller had better hear
    at once when to come back.
    """
    refused = sum(one.may_wait and one.not_run in NO_ROOM for one in call.attempts)
    return refused < SURE_OWNERS or may_try(call.budget.tries)


def find_shortest_wait(call: EntryCall) -> Upstream | None:
    """Return the busy upstream that should be free first, of those not handed over to since."""
    waited = {attempt.upstream.name for attempt in call.attempts if attempt.may_wait}
    busy = [one for one in _list_busy(call) if one.upstream.name not in waited]
    return min(busy, key=_find_free_at).upstream if busy else None


def _find_free_at(attempt: Attempt) -> Seconds:
    # The owner's word counts what goes before a request of this rank, its load all that waits.
    load_ms = attempt.load.wait_ms if attempt.load is not None else 0.0
    wait_ms = load_ms if attempt.wait_ms is None else attempt.wait_ms
    return (attempt.ended_at or 0.0) + wait_ms / MILLISECONDS_PER_SECOND


def list_waiting(attempts: list[Attempt]) -> list[Attempt]:
    """Return the attempts other than those that found their upstream busy and might not wait."""
    return [attempt for attempt in attempts if not _is_busy(attempt)]


def _list_busy(call: EntryCall) -> list[Attempt]:
    return [attempt for attempt in call.attempts if _is_busy(attempt)]


def _is_busy(attempt: Attempt) -> bool:
    return not attempt.may_wait and attempt.not_run is NotRunReason.BUSY
