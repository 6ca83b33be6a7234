"""Provide the task that keeps a node attached to a control voter."""

from bendwind_node.membership.task import (
    ConfigurationBasis,
    MembershipTask,
    create_membership_task,
)

__all__ = ["ConfigurationBasis", "MembershipTask", "create_membership_task"]
