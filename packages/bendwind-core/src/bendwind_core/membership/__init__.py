"""Offer how upstreams announce themselves and how nodes learn of them."""

from bendwind_core.membership.messages import (
    Announce,
    ConfigurationChanged,
    Heartbeat,
    HeartbeatReply,
    MemberGossip,
    Watch,
    WatchUpdate,
)

__all__ = [
    "Announce",
    "ConfigurationChanged",
    "Heartbeat",
    "HeartbeatReply",
    "MemberGossip",
    "Watch",
    "WatchUpdate",
]
