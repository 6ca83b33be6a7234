"""Run long computations in a worker thread, so that the event loop keeps sending heartbeats."""

from collections.abc import Callable
from typing import TypeVar

import trio

# Approximate size of one service in an intent; docs/design/plans.md has the figures.
BYTES_PER_SERVICE = 250
# Inputs up to this size are processed in the event loop, since starting a thread takes as long as
# processing a few services.
_MAX_INLINE_BYTES = 10 * BYTES_PER_SERVICE

_Returned = TypeVar("_Returned")


async def run_in_thread_if_large(
    size: int, compute: Callable[..., _Returned], *arguments
) -> _Returned:
    """Return the result of a pure function, computed in a thread unless its input is small."""
    if size <= _MAX_INLINE_BYTES:
        return compute(*arguments)
    return await trio.to_thread.run_sync(compute, *arguments)
