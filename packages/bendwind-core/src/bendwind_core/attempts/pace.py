"""Track how fast an upstream works, according to its own load reports.

Upstreams share their instances with other processes and slow down for a phase at a time. A report
states only the present pace; the length of a phase is learnt from the reports around its beginning
and end.
"""

import collections
import statistics

import msgspec

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds

# A reported factor below this counts as usual variation.
SLOW_FACTOR = 1.5
# Factor that is assumed where the pace is not known, for the risk of a start without a report.
DEFAULT_SLOW_FACTOR = 4.0
# After a report of the usual pace, upstreams were slow in 1 of 20 cases 25 to 75 ms later, and in 1
# of 10 after 100 ms; docs/design/admission.md has the figures. A run that starts in a slow phase
# takes several times as long, whereas a load query takes one round trip within the instance.
USUAL_REPORT_VALIDITY: Seconds = 0.02
# Length that is assumed for slow phases until some have been observed; the same page has the
# figures.
DEFAULT_PHASE_LENGTH: Seconds = 0.3
# An upstream that reports nothing faster for this many phase lengths is slow for longer than a
# phase, as after its start. The slow pace then counts as its usual pace.
BASE_CHANGE_PHASES = 1.5
# A phase is measured only if the reports around its beginning and its end are at most this far
# apart.
MAX_EDGE_GAP: Seconds = 0.06
# Number of phase lengths that are kept; their median tolerates a few phases that merged into one.
REMEMBERED_PHASES = 9


class Pace(msgspec.Struct):
    """Hold what an upstream reported: 1.0 is its usual pace, 4.0 four times the usual time.

    `phase_began_at` is the estimated beginning of the present slow phase; `is_start_exact` says
    that the reports around it were close together. `phase_lengths` are the lengths of the last
    phases that were measured. `slow_since` is the time since which no report stated the usual pace,
    `least_factor` the least factor reported since then, and `base` the factor that has lasted.
    """

    factor: float = 1.0
    reported_at: Seconds | None = None
    base: float = 1.0
    slow_since: Seconds | None = None
    least_factor: float = 1.0
    phase_began_at: Seconds = 0.0
    is_start_exact: bool = False
    phase_lengths: collections.deque[Seconds] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=REMEMBERED_PHASES)
    )


def record_report(pace: Pace, factor: float, now: Seconds) -> None:
    """Update the pace with a reported factor."""
    _update_base(pace, factor, now)
    was_slow = _is_slow_factor(pace, pace.factor)
    is_slow = _is_slow_factor(pace, factor)
    previous_at = now if pace.reported_at is None else pace.reported_at
    is_close = now - previous_at <= MAX_EDGE_GAP
    if is_slow and not was_slow:
        pace.phase_began_at = max((previous_at + now) / 2, now - find_phase_length(pace))
        pace.is_start_exact = is_close and pace.reported_at is not None
    elif was_slow and not is_slow and pace.is_start_exact and is_close:
        pace.phase_lengths.append((previous_at + now) / 2 - pace.phase_began_at)
    elif is_slow and now >= find_phase_end(pace):
        # The phase lasts longer than usual, so another one has begun.
        pace.phase_began_at = find_phase_end(pace)
        pace.is_start_exact = False
    pace.factor = factor
    pace.reported_at = now


def _update_base(pace: Pace, factor: float, now: Seconds) -> None:
    if factor < SLOW_FACTOR:
        pace.slow_since = None
        pace.base = 1.0
        return
    if pace.slow_since is None or _has_report_gap(pace, now):
        pace.slow_since = now
        pace.least_factor = factor
    pace.least_factor = min(pace.least_factor, factor)
    has_lasted = now - pace.slow_since >= BASE_CHANGE_PHASES * find_phase_length(pace)
    if has_lasted or pace.base > pace.least_factor:
        pace.base = pace.least_factor


def _has_report_gap(pace: Pace, now: Seconds) -> bool:
    """Return whether a phase may have ended and another begun since the last report."""
    # Two phases that count as one would be mistaken for a lasting pace, and an attempt that starts
    # in a phase would be expected to run at the usual pace.
    previous_at = now if pace.reported_at is None else pace.reported_at
    return now - previous_at > find_phase_length(pace) / 2


def _is_slow_factor(pace: Pace, factor: float) -> bool:
    return factor >= SLOW_FACTOR * pace.base


def find_phase_length(pace: Pace) -> Seconds:
    """Return the usual length of a slow phase."""
    return statistics.median(pace.phase_lengths) if pace.phase_lengths else DEFAULT_PHASE_LENGTH


def find_phase_end(pace: Pace) -> Seconds:
    """Return when the present slow phase is expected to end."""
    return pace.phase_began_at + find_phase_length(pace)


def is_slow(pace: Pace, now: Seconds) -> bool:
    """Return whether the upstream reported a slow phase that should not have ended yet."""
    return _is_slow_factor(pace, pace.factor) and now < find_phase_end(pace)


def is_report_current(pace: Pace, now: Seconds) -> bool:
    """Return whether the last report still describes how fast the upstream works.

    An upstream that never reported its load cannot be queried for it either, so there is no report
    to wait for.
    """
    if pace.reported_at is None or is_slow(pace, now):
        return True
    return not _is_slow_factor(pace, pace.factor) and now - pace.reported_at < USUAL_REPORT_VALIDITY


def find_factor(pace: Pace, now: Seconds) -> float:
    """Return how many times the usual time an attempt takes that starts now."""
    return pace.factor if is_slow(pace, now) else pace.base


def find_remaining_phase_ms(pace: Pace, now: Seconds) -> Milliseconds:
    """Return how much longer the present slow phase lasts."""
    return max(0.0, find_phase_end(pace) - now) * MILLISECONDS_PER_SECOND
