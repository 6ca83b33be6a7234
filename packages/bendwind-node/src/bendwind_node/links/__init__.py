"""Offer the links between bendwindd processes."""

from bendwind_node.links.hub import Address, LinkHub, create_link_hub
from bendwind_node.links.incarnation import query_incarnation
from bendwind_node.links.link import Link, Receiver

__all__ = ["Address", "Link", "LinkHub", "Receiver", "create_link_hub", "query_incarnation"]
