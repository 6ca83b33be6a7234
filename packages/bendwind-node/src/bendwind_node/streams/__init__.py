"""Provide TCP streams that use less processor time for each call than trio's own."""

from bendwind_node.streams.direct_stream import DirectListener, DirectStream, open_direct_stream

__all__ = ["DirectListener", "DirectStream", "open_direct_stream"]
