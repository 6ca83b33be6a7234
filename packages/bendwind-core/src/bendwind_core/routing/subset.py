"""Choose the subset of a service's upstreams that one entry node uses."""

import zlib
from collections.abc import Iterable

from bendwind_core.world import Upstream, UpstreamState

# Each upstream in use costs a link between two processes. Of these eight, four are compared for a
# call.
SUBSET_SIZE = 8


def choose_subset(
    node: str, data_centre: str, upstreams: Iterable[Upstream], size: int = SUBSET_SIZE
) -> tuple[Upstream, ...]:
    """Return the upstreams this node uses: half from its own data centre if it has enough.

    The choice is stable: an added or removed upstream changes at most one member of the subset,
    because nodes rank upstreams by a hash of both names (rendezvous hashing).
    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998.
    """
    usable = [upstream for upstream in upstreams if upstream.state is not UpstreamState.GONE]
    if len(usable) <= size:
        return tuple(usable)
    usable.sort(key=lambda upstream: _rank(node, upstream.name))
    # A draining upstream takes no place in the subset: its running calls finish without it.
    ready = [upstream for upstream in usable if upstream.state is UpstreamState.READY] or usable
    near = [upstream for upstream in ready if upstream.owner.data_centre == data_centre]
    chosen = near[: size // 2]
    names = {upstream.name for upstream in chosen}
    others = [upstream for upstream in ready if upstream.name not in names]
    return (*chosen, *others[: size - len(chosen)])


def _rank(node: str, upstream: str) -> int:
    return zlib.crc32(f"{node} {upstream}".encode())
