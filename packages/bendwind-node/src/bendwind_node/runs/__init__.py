"""Exchange the runs of upstreams between nodes and voters."""

from bendwind_node.runs.node_task import NodeRunTask
from bendwind_node.runs.voter_task import VoterRunTask

__all__ = ["NodeRunTask", "VoterRunTask"]
