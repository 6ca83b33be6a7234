"""Define type aliases for units of time."""

Seconds = float
Milliseconds = float

MILLISECONDS_PER_SECOND = 1000.0
