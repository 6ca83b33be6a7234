"""Offer TCP streams that cost a call less than trio's own."""

from bendwind_node.streams.prompt_stream import PromptListener, PromptStream, open_prompt_stream

__all__ = ["PromptListener", "PromptStream", "open_prompt_stream"]
