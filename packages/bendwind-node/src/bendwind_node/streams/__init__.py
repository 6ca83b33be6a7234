"""Provide TCP streams that use less processor time for each call than trio's own."""

from bendwind_node.streams.direct_stream import DirectListener, DirectStream, open_direct_stream
from bendwind_node.streams.last_accepts import wait_until_accepted
from bendwind_node.streams.stall_limited import SEND_STALL_TIMEOUT, StallLimitedListener

__all__ = [
    "SEND_STALL_TIMEOUT",
    "DirectListener",
    "DirectStream",
    "StallLimitedListener",
    "open_direct_stream",
    "wait_until_accepted",
]
