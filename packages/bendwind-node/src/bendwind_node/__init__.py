"""The daemon: tasks that own sockets and carry out the core's decisions."""

import time

__all__ = ["STARTED_AT"]

# An earlier run of this process sent nothing after this, on the steady clock in seconds.
STARTED_AT = time.monotonic()
