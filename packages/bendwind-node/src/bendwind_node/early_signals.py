"""Take the signals of a process from its first moment to its last.

Call capture_signals before importing what takes time to load. Without it, a signal that comes
before a receiver is open, or after it is closed, ends the process.
"""

import signal
from types import FrameType

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
RELOAD_SIGNALS = frozenset({signal.SIGHUP})

_heard: set[int] = set()


def capture_signals() -> None:
    """Note the signals that ask for a stop or a reload until someone listens."""
    for number in STOP_SIGNALS | RELOAD_SIGNALS:
        signal.signal(number, _note)


def _note(number: int, frame: FrameType | None) -> None:
    _heard.add(number)


def is_stop_requested() -> bool:
    """Tell whether a stop was asked for while nobody listened."""
    return bool(_heard & STOP_SIGNALS)


def is_reload_requested() -> bool:
    """Tell whether a reload was asked for while nobody listened."""
    return bool(_heard & RELOAD_SIGNALS)
