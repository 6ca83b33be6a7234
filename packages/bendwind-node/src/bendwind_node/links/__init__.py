"""Connect bendwindd processes to each other by links."""

from bendwind_node.links.hub import Address, LinkHub, create_link_hub
from bendwind_node.links.incarnation import query_incarnation
from bendwind_node.links.link import Link, Receiver

__all__ = ["Address", "Link", "LinkHub", "Receiver", "create_link_hub", "query_incarnation"]
