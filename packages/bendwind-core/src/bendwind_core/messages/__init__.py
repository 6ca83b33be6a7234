"""Encode and decode the messages between bendwindd processes."""

from bendwind_core.messages.codec import PeerMessage, decode_message, encode_message
from bendwind_core.messages.frame import (
    Frame,
    ReadFrame,
    RefusedMessage,
    decode_frame,
    encode_frame,
    read_frame,
)
from bendwind_core.messages.hello import Goodbye, Hello, IncarnationQuery, IncarnationReply

__all__ = [
    "Frame",
    "Goodbye",
    "Hello",
    "IncarnationQuery",
    "IncarnationReply",
    "PeerMessage",
    "ReadFrame",
    "RefusedMessage",
    "decode_frame",
    "decode_message",
    "encode_frame",
    "encode_message",
    "read_frame",
]
