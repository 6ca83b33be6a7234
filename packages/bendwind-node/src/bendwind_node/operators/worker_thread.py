"""Run long computations beside the event loop, so that heartbeats go on."""

from collections.abc import Callable
from typing import TypeVar

import trio

# A stated service is about this long; docs/design/plans.md has the figures.
BYTES_PER_SERVICE = 250
# Starting a thread costs as much as a few services take.
_MAX_INLINE_BYTES = 10 * BYTES_PER_SERVICE

_Returned = TypeVar("_Returned")


async def run_in_thread_if_large(
    size: int, compute: Callable[..., _Returned], *arguments
) -> _Returned:
    """Return what a pure function computes, from a thread when its input is not small."""
    if size <= _MAX_INLINE_BYTES:
        return compute(*arguments)
    return await trio.to_thread.run_sync(compute, *arguments)
