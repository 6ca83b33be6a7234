"""Capture the signals that a process receives before and after its signal receiver is open.

Call capture_signals before importing modules that take time to load. Without it, a signal that
arrives before a receiver is open, or after it is closed, ends the process.
"""

import signal
from types import FrameType

STOP_SIGNALS = frozenset({signal.SIGTERM, signal.SIGINT})
RELOAD_SIGNALS = frozenset({signal.SIGHUP})

_received: set[int] = set()


def capture_signals() -> None:
    """Record the signals that request a stop or a reload while no signal receiver is open."""
    for number in STOP_SIGNALS | RELOAD_SIGNALS:
        signal.signal(number, _record)


def _record(number: int, frame: FrameType | None) -> None:
    _received.add(number)


def is_stop_requested() -> bool:
    """Return whether a stop was requested while no signal receiver was open."""
    return bool(_received & STOP_SIGNALS)


def is_reload_requested() -> bool:
    """Return whether a reload was requested while no signal receiver was open."""
    return bool(_received & RELOAD_SIGNALS)
