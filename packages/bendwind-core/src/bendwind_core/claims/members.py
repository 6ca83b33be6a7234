"""Identify one run of a node as a member of claim groups.

A member is the text `name#incarnation`: a node that returns with empty memory has a higher
incarnation, so it never counts as a holder of what its former run held.
"""

from bendwind_core.world import Instance

_SEPARATOR = "#"


def member_of(instance: Instance) -> str:
    """Return the member that this run of a node would be.

    >>> member_of(Instance("norte-1", "sala-norte", "127.0.0.1", 7101, 3))
    'norte-1#3'
    """
    return f"{instance.name}{_SEPARATOR}{instance.incarnation}"


def node_of(member: str) -> str:
    """Return the name of the node whose run a member is.

    >>> node_of("norte-1#3")
    'norte-1'
    """
    return member.rpartition(_SEPARATOR)[0]


def incarnation_of(member: str) -> int:
    """Return the incarnation of the run that a member is.

    >>> incarnation_of("norte-1#3")
    3
    """
    return int(member.rpartition(_SEPARATOR)[2])
