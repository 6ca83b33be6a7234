"""Offer the links between bendwindd processes."""

from bendwind_node.links.hub import LinkHub, create_link_hub
from bendwind_node.links.link import Link, Receiver

__all__ = ["Link", "LinkHub", "Receiver", "create_link_hub"]
