"""Provide the task that keeps a node attached to a control voter."""

from bendwind_node.membership.task import MembershipTask, create_membership_task

__all__ = ["MembershipTask", "create_membership_task"]
