"""Hold the limits that suspicion goes by."""

import msgspec

from bendwind_core.core import Seconds

# One end says little: upstreams are killed, lose power and are stopped with requests under them.
DEFAULT_APART_FROM = 2
# A request under which this many upstreams ended, and that none has answered since, is not sent.
DEFAULT_QUARANTINE_FROM = 3
# Wrongly suspected, a request is refused for this long; nodes hear of an end within a second.
DEFAULT_QUARANTINE: Seconds = 5.0
# Each further end makes the next trial later by this factor: three trials in six minutes.
QUARANTINE_GROWTH = 8.0
MAX_QUARANTINE: Seconds = 3600.0
# Suspicion without a further end is over after this: supervisors hold upstreams back for minutes.
DEFAULT_KEEP: Seconds = 600.0


class SuspicionLimits(msgspec.Struct, frozen=True):
    """Hold from how many ends on a request is run apart from other suspects, and not at all.

    Units: `quarantine` is the time to the first trial and `keep` that to the end of suspicion, both
    since the last end, in seconds.
    """

    apart_from: int = DEFAULT_APART_FROM
    quarantine_from: int = DEFAULT_QUARANTINE_FROM
    quarantine: Seconds = DEFAULT_QUARANTINE
    keep: Seconds = DEFAULT_KEEP
