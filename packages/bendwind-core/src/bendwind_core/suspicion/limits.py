"""Define the limits of the handling of suspects."""

import msgspec

from bendwind_core.core import Seconds

# Number of ends from which a suspect runs apart from others. A single end is weak evidence, because
# upstreams are also killed, lose power and are stopped while they run requests.
DEFAULT_APART_FROM = 2
# Number of ends from which a request is not sent to an upstream, unless an upstream has answered it
# since.
DEFAULT_QUARANTINE_FROM = 3
# A wrongly suspected request is refused for this long. Nodes receive the report of an end within a
# second.
DEFAULT_QUARANTINE: Seconds = 5.0
# Factor by which each further end delays the next trial. With it, three trials take place in six
# minutes.
QUARANTINE_GROWTH = 8.0
MAX_QUARANTINE: Seconds = 3600.0
# Suspicion expires after this time without a further end. It is long because supervisors delay the
# restart of upstreams by minutes.
DEFAULT_KEEP: Seconds = 600.0


class SuspicionLimits(msgspec.Struct, frozen=True):
    """Hold the numbers of ends from which a request is isolated and quarantined, and the durations.

    From `apart_from` ends on, a request runs beside few other suspects; from `quarantine_from` on,
    it is refused except for trials.
    Units: `quarantine` is the time to the first trial and `keep` the time until the suspicion
    expires, both since the last end, in seconds.
    """

    apart_from: int = DEFAULT_APART_FROM
    quarantine_from: int = DEFAULT_QUARANTINE_FROM
    quarantine: Seconds = DEFAULT_QUARANTINE
    keep: Seconds = DEFAULT_KEEP
