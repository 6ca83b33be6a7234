"""Store the notices that upstreams sent with their answers, also while they are not listed.

When the owner node of an upstream restarts, it lists the upstream again without its notices. The
notices of a run of the upstream, such as its rate limit, still apply to that run.
"""

import math

import msgspec

from bendwind_core.world import LoadSample, Upstream

# Notices kept for one service; beyond this the notice that was updated longest ago is evicted.
MAX_NOTICES = 256


class Notice(msgspec.Struct):
    """Hold the notices of one run of an upstream.

    `born_ms` is the start time of the upstream, which identifies the run; 0 if it is unknown.
    Units: `limit_per_s` in requests per second, None without a limit.
    """

    born_ms: int
    limit_per_s: float | None = None
    is_leaving: bool = False


Notices = dict[str, Notice]


def record_notice(notices: Notices, upstream: Upstream, load: LoadSample) -> None:
    """Merge the notices that an owner reports of its upstream.

    The report may contain less than is stored here: a missing notice does not revoke a stored one.
    """
    if load.limit_per_s is None and not load.is_leaving:
        return
    notice = find_notice(notices, upstream) or Notice(upstream.born_ms)
    notice.is_leaving = notice.is_leaving or load.is_leaving
    if load.limit_per_s is not None:
        notice.limit_per_s = None if math.isinf(load.limit_per_s) else load.limit_per_s
    notices.pop(upstream.name, None)
    notices[upstream.name] = notice
    if len(notices) > MAX_NOTICES:
        del notices[next(iter(notices))]


def find_notice(notices: Notices, upstream: Upstream) -> Notice | None:
    """Return the stored notice of the current run of an upstream, or None."""
    notice = notices.get(upstream.name)
    if notice is None:
        return None
    # A node that has just started may list an upstream before it knows when the upstream started.
    is_other_run = 0 < upstream.born_ms != notice.born_ms
    return None if is_other_run else notice


def find_rate_limit(notices: Notices, upstream: Upstream) -> float | None:
    """Return the rate limit that the current run of an upstream announced last, or None."""
    notice = find_notice(notices, upstream)
    return None if notice is None else notice.limit_per_s


def has_announced_leaving(notices: Notices, upstream: Upstream) -> bool:
    """Return whether the current run of an upstream has announced that it is leaving."""
    notice = find_notice(notices, upstream)
    return notice is not None and notice.is_leaving
