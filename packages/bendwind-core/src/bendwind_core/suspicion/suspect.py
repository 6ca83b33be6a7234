"""Describe a request that may end the upstreams which run it, and the ends that speak for it."""

import msgspec

from bendwind_core.core import Milliseconds, Record, Seconds


class UpstreamEndId(Record, frozen=True, array_like=True):
    """Name one end of an upstream by the owner node that saw it.

    `number` counts the ends that one run of the owner node saw of the upstream.
    """

    owner: str
    incarnation: int
    upstream: str
    number: int


class UpstreamEndReport(Record, frozen=True, array_like=True):
    """Tell another process of one end.

    `is_excused` says that the owner had served the request shortly before.
    Units: `age_ms` is how long ago it was, in milliseconds of any clock.
    """

    id: UpstreamEndId
    age_ms: Milliseconds
    is_excused: bool = False


class SuspectReport(Record, frozen=True, array_like=True):
    """Tell another process of the ends under one request since it was last cleared.

    `service` is the one whose upstream ended last, and `cleared` counts how often the request was
    cleared: the highest count is the newest, and what was told under a lower one is over.
    """

    signature: bytes
    service: str
    cleared: int
    ends: tuple[UpstreamEndReport, ...] = ()


class UpstreamEnd(msgspec.Struct, frozen=True):
    """Hold one end of an upstream under a request.

    Units: `at` in seconds of the process's clock.
    """

    id: UpstreamEndId
    at: Seconds
    is_excused: bool = False


class Suspect(msgspec.Struct):
    """Hold what is known against one request; `ends` are in the order in which they happened.

    `tried_at` is when this process last let it run for a trial.
    """

    signature: bytes
    service: str
    cleared: int = 0
    ends: tuple[UpstreamEnd, ...] = ()
    recorded_at: Seconds = 0.0
    tried_at: Seconds | None = None

    @property
    def count(self) -> int:
        """Count the ends that speak against the request."""
        return sum(not end.is_excused for end in self.ends)

    @property
    def last(self) -> UpstreamEnd:
        """Return the last end, of which there must be one."""
        return self.ends[-1]
