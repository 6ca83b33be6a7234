"""Say how severe each event is."""

import logging

from bendwind_core.timeline.catalogue import EventKind

# Events of single calls are many, and are worth a log line only while a fault is looked for.
_CALL_NUMBERS = range(100, 300)


def find_level(kind: EventKind) -> int:
    """Return the logging level of an event.

    >>> find_level(EventKind.CALL_ARRIVED) == logging.DEBUG
    True
    """
    if kind in _LEVELS:
        return _LEVELS[kind]
    return logging.DEBUG if kind in _CALL_NUMBERS else logging.INFO


_LEVELS: dict[EventKind, int] = {
    EventKind.ATTEMPT_UNKNOWN: logging.WARNING,
}
