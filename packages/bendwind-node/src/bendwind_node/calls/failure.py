"""Describe a fault of this program that one request met."""

import traceback

# The innermost frames tell where; the rest is the same for each request.
_FRAMES = 3


def describe_failure(error: BaseException) -> str:
    """Return what went wrong and where, on one line."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)[-_FRAMES:]
    places = ", ".join(f"{frame.name}:{frame.lineno}" for frame in frames)
    return f"{type(error).__name__}: {error} (in {places})"
