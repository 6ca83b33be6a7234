"""Describe a request that may crash the upstreams that run it, and the ends that suggest so.

An end of an upstream is one observed termination of its process.
"""

import msgspec

from bendwind_core.core import Count, Finite, Incarnation, Record, Seconds


class UpstreamEndId(Record, frozen=True, array_like=True):
    """Identify one end of an upstream by the owner node that observed it.

    `number` counts the ends of the upstream that one run of the owner node observed.
    """

    owner: str
    incarnation: Incarnation
    upstream: str
    number: Count


class UpstreamEndReport(Record, frozen=True, array_like=True):
    """Report one end to another process.

    `is_excused` means that the end does not count against the request, because the owner's upstream
    had served it shortly before.
    Units: `age_ms` is the time since the end in milliseconds, which is the same for any clock.
    """

    id: UpstreamEndId
    age_ms: Finite
    is_excused: bool = False


class SuspectReport(Record, frozen=True, array_like=True):
    """Report to another process the ends recorded for one request since it was last cleared.

    `service` is the service whose upstream ended last. `cleared` counts how often the request was
    cleared: the report with the highest count is the newest, and reports with a lower count are
    obsolete.
    """

    signature: bytes
    service: str
    cleared: Count
    ends: tuple[UpstreamEndReport, ...] = ()


class UpstreamEnd(msgspec.Struct, frozen=True):
    """Hold one end of an upstream while it ran a request.

    Units: `at` in seconds of the process's clock.
    """

    id: UpstreamEndId
    at: Seconds
    is_excused: bool = False


class Suspect(msgspec.Struct):
    """Hold one suspected request and its ends, in the order in which they happened.

    `recorded_at` is when the suspect was added or last cleared. `tried_at` is when this process
    last let the request run as a trial.
    """

    signature: bytes
    service: str
    cleared: int = 0
    ends: tuple[UpstreamEnd, ...] = ()
    recorded_at: Seconds = 0.0
    tried_at: Seconds | None = None

    @property
    def count(self) -> int:
        """Count the ends that are not excused."""
        return sum(not end.is_excused for end in self.ends)

    @property
    def last(self) -> UpstreamEnd:
        """Return the last end; there must be at least one."""
        return self.ends[-1]
