"""Provide the tasks that store claims, request them and place their groups."""

from bendwind_node.claims.placer import ClaimPlacer, PlacementView, needs_claims
from bendwind_node.claims.task import (
    ClaimTask,
    LeaseProven,
    PeerClaimMessage,
    create_claim_task,
)

__all__ = [
    "ClaimPlacer",
    "ClaimTask",
    "LeaseProven",
    "PeerClaimMessage",
    "PlacementView",
    "create_claim_task",
    "needs_claims",
]
