"""Remember what upstreams said of themselves in their answers, longer than they are listed.

An upstream is listed anew when the node beside it starts again, which knows nothing of what its
upstream said; a run of the upstream is held to its word all the same.
"""

import math

import msgspec

from bendwind_core.world import LoadSample, Upstream

# Of more upstreams of one service, those heard longest ago are forgotten.
MAX_NOTICES = 256


class Notice(msgspec.Struct):
    """Hold the word of one run of an upstream; `born_ms` tells the run, 0 where it is not told.

    Units: `limit_per_s` in requests a second, None without a limit.
    """

    born_ms: int
    limit_per_s: float | None = None
    is_leaving: bool = False


Notices = dict[str, Notice]


def record_notice(notices: Notices, upstream: Upstream, load: LoadSample) -> None:
    """Take over what an owner reports of its upstream's word; it may know less than was heard."""
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
    """Return what is remembered of the present run of an upstream, or None."""
    notice = notices.get(upstream.name)
    if notice is None:
        return None
    # A node that has just started may list an upstream before it has heard of its birth.
    is_other_run = 0 < upstream.born_ms != notice.born_ms
    return None if is_other_run else notice


def find_rate_limit(notices: Notices, upstream: Upstream) -> float | None:
    """Return the limit that an upstream named last, or None."""
    notice = find_notice(notices, upstream)
    return None if notice is None else notice.limit_per_s


def has_announced_leaving(notices: Notices, upstream: Upstream) -> bool:
    """Tell whether the present run of an upstream has said that it leaves."""
    notice = find_notice(notices, upstream)
    return notice is not None and notice.is_leaving
