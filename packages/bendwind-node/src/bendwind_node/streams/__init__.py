"""Offer TCP streams that cost a call less than trio's own."""

from bendwind_node.streams.direct_stream import DirectListener, DirectStream, open_direct_stream

__all__ = ["DirectListener", "DirectStream", "open_direct_stream"]
