"""Build events for tests."""

from bendwind_core.timeline import Event, EventKind


def event(number: int, us: int, instance: str = "a", **fields) -> Event:
    """Build an event of one process whose wall and steady clocks agree."""
    return Event(EventKind(number), instance, us // 1000, us % 1000, monotonic_us=us, **fields)
