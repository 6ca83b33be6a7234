"""Provide sample events for tests."""

from bendwind_core.timeline import Event, EventKind


def event(number: int, us: int, instance: str = "a", **fields) -> Event:
    """Create an event of a process whose wall clock and monotonic clock agree."""
    return Event(EventKind(number), instance, us // 1000, us % 1000, monotonic_us=us, **fields)
