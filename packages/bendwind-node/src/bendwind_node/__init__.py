"""The daemon: tasks that own sockets and apply the core's decisions."""

from bendwind_node.clock import read_steady_clock

__all__ = ["STARTED_AT"]

# Time on the steady clock, in seconds, after which no earlier run of this process sent anything.
STARTED_AT = read_steady_clock()
