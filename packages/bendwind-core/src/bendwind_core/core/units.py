"""Name the units of time that signatures use."""

Seconds = float
Milliseconds = float

MILLISECONDS_PER_SECOND = 1000.0
