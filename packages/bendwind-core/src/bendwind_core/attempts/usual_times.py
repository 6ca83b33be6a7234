"""Learn how long the requests of each route usually run at an upstream, and expect by it."""

from bendwind_core.attempts.messages import HandOver
from bendwind_core.attempts.owner_state import OwnerState, RunningAttempt
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds

# About twenty answers settle the usual time of a route, which is less than a second's worth.
ROUTE_TIME_WEIGHT = 0.1

# Objectives are usually stated at three times what the work takes; a route without answers yet is
# expected to take this share of its objective, until the first answer tells.
INITIAL_TIME_SHARE = 0.3

# An answer counts for at most this many times the expected time where the pace at its start was
# known: a slow phase that began unseen makes one in twenty four times as long.
MAX_STEP_AT_KNOWN_PACE = 2.0

# The same where the pace was not known: any of those answers may be of a slow phase.
MAX_STEP_AT_UNKNOWN_PACE = 1.2

# Routes that lead to one service; of more, those noted first are forgotten.
MAX_ROUTE_TIMES = 512

# A running attempt that took longer than expected is expected to need this share once more.
OVERDUE_SHARE = 0.25


def set_initial_route_time(owner_state: OwnerState, hand_over: HandOver) -> None:
    """Expect a time of a route that has had no answer yet, by its objective.

    An upstream that has just started would otherwise take whatever comes and answer it all late.
    """
    if hand_over.target_ms is None or hand_over.route in owner_state.route_times:
        return
    if len(owner_state.guessed_times) < MAX_ROUTE_TIMES:
        owner_state.guessed_times.setdefault(
            hand_over.route, INITIAL_TIME_SHARE * hand_over.target_ms
        )


def find_usual_ms(owner_state: OwnerState, route: str) -> Milliseconds:
    """Return how long an attempt of a route runs at the usual pace."""
    usual_ms = owner_state.route_times.get(route)
    if usual_ms is None:
        usual_ms = owner_state.guessed_times.get(route)
    return owner_state.times.average_ms if usual_ms is None else usual_ms


def estimate_remaining_run_ms(
    owner_state: OwnerState, running: RunningAttempt, now: Seconds
) -> Milliseconds:
    """Estimate how much longer a running attempt takes."""
    expected_ms = find_usual_ms(owner_state, running.route) * running.slow_factor
    elapsed_ms = (now - running.started_at) * MILLISECONDS_PER_SECOND
    return max(expected_ms - elapsed_ms, OVERDUE_SHARE * expected_ms)


def record_route_time(
    owner_state: OwnerState, running: RunningAttempt, upstream_ms: Milliseconds
) -> None:
    """Add the time that an answer to one of a route's requests took.

    It is taken at the usual pace. Where the pace at the start was not known, a slow phase would
    be learnt as the route's usual time, so that a long one counts only a little then.
    """
    route = running.route
    known_ms = owner_state.route_times.get(route)
    expected_ms = owner_state.guessed_times.get(route) if known_ms is None else known_ms
    taken_ms = upstream_ms / max(1.0, running.slow_factor)
    if expected_ms is not None:
        is_paced = running.is_paced or owner_state.pace.reported_at is None
        taken_ms = min(
            taken_ms,
            expected_ms * (MAX_STEP_AT_KNOWN_PACE if is_paced else MAX_STEP_AT_UNKNOWN_PACE),
        )
    if known_ms is None:
        if len(owner_state.route_times) >= MAX_ROUTE_TIMES:
            owner_state.route_times.pop(next(iter(owner_state.route_times)))
        owner_state.route_times[route] = taken_ms
    else:
        owner_state.route_times[route] = known_ms + ROUTE_TIME_WEIGHT * (taken_ms - known_ms)
