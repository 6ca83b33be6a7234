"""Provide the tasks that run customers' quotas on nodes and voters."""

from bendwind_node.quotas.node_task import NodeQuotaTask, create_node_quota_task
from bendwind_node.quotas.voter_task import VoterQuotaTask, create_voter_quota_task

__all__ = [
    "NodeQuotaTask",
    "VoterQuotaTask",
    "create_node_quota_task",
    "create_voter_quota_task",
]
