"""Track how long requests of each route usually run at an upstream; estimate run times by it."""

from bendwind_core.attempts.messages import HandOver
from bendwind_core.attempts.owner_state import OwnerState, RunningAttempt
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds

# The usual time of a route settles after about twenty answers, which arrive within a second.
ROUTE_TIME_WEIGHT = 0.1

# Latency objectives are usually three times the run time. A route without answers is expected to
# take this share of its objective until the first answer arrives.
INITIAL_TIME_SHARE = 0.3

# An answer counts for at most this many times the expected time if the pace at its start was known:
# a slow phase that began unnoticed makes one run in twenty four times as long.
MAX_STEP_AT_KNOWN_PACE = 2.0

# The same limit if the pace was not known: any of those answers may come from a slow phase.
MAX_STEP_AT_UNKNOWN_PACE = 1.2

# Number of routes to one service whose times are kept; beyond it, those recorded first are evicted.
MAX_ROUTE_TIMES = 512

# A run that has exceeded its expected time is expected to need this share of that time in addition.
OVERDUE_SHARE = 0.25


def set_initial_route_time(owner_state: OwnerState, hand_over: HandOver) -> None:
    """Set the expected time of a route that has had no answer yet, from its latency objective.

    An upstream that has just started would otherwise accept every attempt and answer all of them
    late.
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
    return owner_state.service_times.average_ms if usual_ms is None else usual_ms


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
    """Add the time that one answer of a route took, converted to the usual pace.

    If the pace at the start was not known, a slow phase would be learnt as the usual time of the
    route. A long time therefore counts only a little in that case.
    """
    route = running.route
    recorded_ms = owner_state.route_times.get(route)
    expected_ms = owner_state.guessed_times.get(route) if recorded_ms is None else recorded_ms
    sample_ms = upstream_ms / max(1.0, running.slow_factor)
    if expected_ms is not None:
        is_pace_known = running.is_pace_known or owner_state.pace.reported_at is None
        sample_ms = min(
            sample_ms,
            expected_ms * (MAX_STEP_AT_KNOWN_PACE if is_pace_known else MAX_STEP_AT_UNKNOWN_PACE),
        )
    if recorded_ms is None:
        if len(owner_state.route_times) >= MAX_ROUTE_TIMES:
            owner_state.route_times.pop(next(iter(owner_state.route_times)))
        owner_state.route_times[route] = sample_ms
    else:
        owner_state.route_times[route] = recorded_ms + ROUTE_TIME_WEIGHT * (sample_ms - recorded_ms)
