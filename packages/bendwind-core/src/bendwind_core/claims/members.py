"""Format and parse the members of claim groups.

A member is one run of a node, written as `name#incarnation`. A node that restarts with empty
memory has a higher incarnation, so it never counts as a holder of the claims that its previous
run held.
"""

from bendwind_core.world import Instance

_SEPARATOR = "#"
# A number of 64 bits has at most this many digits.
_MAX_DIGITS = 20


def format_member(instance: Instance) -> str:
    """Return the member that stands for this run of a node.

    >>> format_member(Instance("norte-1", "sala-norte", "127.0.0.1", 7101, 3))
    'norte-1#3'
    """
    return f"{instance.name}{_SEPARATOR}{instance.incarnation}"


def parse_node_name(member: str) -> str:
    """Return the name of a member's node.

    >>> parse_node_name("norte-1#3")
    'norte-1'
    """
    return member.rpartition(_SEPARATOR)[0]


def parse_incarnation(member: str) -> int:
    """Return the incarnation of a member's node, 0 for a text that names none.

    >>> parse_incarnation("norte-1#3"), parse_incarnation("norte-1#x")
    (3, 0)
    """
    digits = member.rpartition(_SEPARATOR)[2]
    is_number = digits.isascii() and digits.isdecimal() and len(digits) <= _MAX_DIGITS
    return int(digits) if is_number else 0
