"""Follow how fast an upstream works, by its own reports.

Upstreams share their instances with others and slow down for a phase at a time. A report says only
how it is now; how long a phase lasts is learnt from the reports around its beginning and end.
"""

import collections
import statistics

import msgspec

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds

# Below this a report is taken for the usual scatter.
SLOW_FACTOR = 1.5
# What to reckon with where nothing is known: the risk of starting blindly.
DEFAULT_SLOW_FACTOR = 4.0
# After a report of the usual pace, 1 in 20 was slow 25 to 75 ms later and 1 in 10 after 100 ms;
# docs/design/admission.md has the figures. A run that starts in a phase takes some times as long, a
# question a round trip within the instance.
USUAL_REPORT_VALIDITY: Seconds = 0.02
# A slow phase whose length is not known yet is taken to last this long: the same page.
DEFAULT_PHASE_LENGTH: Seconds = 0.3
# An upstream that reported nothing better for this many phases is slow for longer than a phase, as
# one that has just started is: that is then its usual pace.
BASE_CHANGE_PHASES = 1.5
# A phase is measured where reports stood this close around its beginning and its end.
MAX_EDGE_GAP: Seconds = 0.06
# So many phases are remembered; their median bears a few that ran into each other.
REMEMBERED_PHASES = 9


class Pace(msgspec.Struct):
    """Hold what an upstream reported: 1.0 is its usual pace, 4.0 four times the usual time.

    `began_at` is when the present slow phase began, as far as is known; `is_sharp` says that this
    is known closely. `lengths` are those of the last phases that were seen closely. `least` is the
    least factor reported since `since`, from when on no report told the usual pace, and `base` the
    factor that has lasted.
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
    """Take over a report."""
    _update_base(pace, factor, now)
    was_slow = _is_slow_factor(pace, pace.factor)
    is_slow = _is_slow_factor(pace, factor)
    since = now if pace.reported_at is None else pace.reported_at
    is_close = now - since <= MAX_EDGE_GAP
    if is_slow and not was_slow:
        pace.phase_began_at = max((since + now) / 2, now - find_phase_length(pace))
        pace.is_start_exact = is_close and pace.reported_at is not None
    elif was_slow and not is_slow and pace.is_start_exact and is_close:
        pace.phase_lengths.append((since + now) / 2 - pace.phase_began_at)
    elif is_slow and now >= find_phase_end(pace):
        # It goes on beyond the usual: another phase has begun.
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
    """Tell whether a phase may have ended and another begun since the last report."""
    # Two phases seen as one would pass for what lasts, and what then starts in a phase would be
    # thought to run at the usual pace.
    since = now if pace.reported_at is None else pace.reported_at
    return now - since > find_phase_length(pace) / 2


def _is_slow_factor(pace: Pace, factor: float) -> bool:
    return factor >= SLOW_FACTOR * pace.base


def find_phase_length(pace: Pace) -> Seconds:
    """Return how long a slow phase usually lasts."""
    return statistics.median(pace.phase_lengths) if pace.phase_lengths else DEFAULT_PHASE_LENGTH


def find_phase_end(pace: Pace) -> Seconds:
    """Return when the present slow phase is expected to end."""
    return pace.phase_began_at + find_phase_length(pace)


def is_slow(pace: Pace, now: Seconds) -> bool:
    """Tell whether the upstream reported a slow phase that should not have ended yet."""
    return _is_slow_factor(pace, pace.factor) and now < find_phase_end(pace)


def is_report_current(pace: Pace, now: Seconds) -> bool:
    """Tell whether the last report still says how fast the upstream works.

    One that never told its load cannot be asked for it either, so that there is nothing to wait
    for.
    """
    if pace.reported_at is None or is_slow(pace, now):
        return True
    return not _is_slow_factor(pace, pace.factor) and now - pace.reported_at < USUAL_REPORT_VALIDITY


def find_factor(pace: Pace, now: Seconds) -> float:
    """Return how many times the usual an attempt takes that starts now."""
    return pace.factor if is_slow(pace, now) else pace.base


def find_remaining_phase_ms(pace: Pace, now: Seconds) -> Milliseconds:
    """Return how much longer the present slow phase lasts."""
    return max(0.0, find_phase_end(pace) - now) * MILLISECONDS_PER_SECOND
