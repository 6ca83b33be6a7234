"""Describe an unexpected exception that occurred in a task that serves one request or purpose."""

import traceback

# The innermost frames show where it occurred; the outer ones are the same for each request.
_FRAMES = 3


def describe_failure(error: BaseException) -> str:
    """Return the exception and where it was raised, on one line."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    frames = traceback.extract_tb(error.__traceback__)[-_FRAMES:]
    places = ", ".join(f"{frame.name}:{frame.lineno}" for frame in frames)
    return f"{type(error).__name__}: {error} (in {places})"
