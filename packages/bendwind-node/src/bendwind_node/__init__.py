"""The daemon: tasks that own sockets and carry out the core's decisions."""

from bendwind_node.clock import read_steady_clock

__all__ = ["STARTED_AT"]

# An earlier run of this process sent nothing after this, on the steady clock in seconds.
STARTED_AT = read_steady_clock()
