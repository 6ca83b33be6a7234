"""Offer the codec of the messages between bendwindd processes."""

from bendwind_core.messages.codec import PeerMessage, decode_message, encode_message
from bendwind_core.messages.hello import Goodbye, Hello

__all__ = ["Goodbye", "Hello", "PeerMessage", "decode_message", "encode_message"]
