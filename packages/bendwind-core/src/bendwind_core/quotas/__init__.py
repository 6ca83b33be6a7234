"""Enforce customers' quotas across all nodes: the decisions of nodes and voters about tokens."""

from bendwind_core.quotas.bounds import QuotaBounds, Share, create_share, find_max_requests
from bendwind_core.quotas.messages import (
    QuotaDemand,
    QuotaGrant,
    QuotaLoan,
    QuotaLoanRequest,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    QuotaUnused,
)
from bendwind_core.quotas.node import (
    cancel_wait,
    flush_quota_requests,
    handle_quota_reply,
    has_work,
    request_token,
    return_token,
    tick_node,
)
from bendwind_core.quotas.node_state import (
    Grant,
    NodeQuotas,
    QuotaRefusal,
    Waiter,
    create_node_quotas,
)
from bendwind_core.quotas.voter import (
    QuotaSend,
    handle_quota_loan,
    handle_quota_loan_request,
    handle_quota_request,
    handle_quota_return,
    tick_voter,
)
from bendwind_core.quotas.voter_changes import (
    record_confirmation,
    update_configuration,
    update_voters,
)
from bendwind_core.quotas.voter_state import VoterQuotas, create_voter_quotas

__all__ = [
    "Grant",
    "NodeQuotas",
    "QuotaBounds",
    "QuotaDemand",
    "QuotaGrant",
    "QuotaLoan",
    "QuotaLoanRequest",
    "QuotaRefusal",
    "QuotaReply",
    "QuotaRequest",
    "QuotaReturn",
    "QuotaSend",
    "QuotaUnused",
    "Share",
    "VoterQuotas",
    "Waiter",
    "cancel_wait",
    "create_node_quotas",
    "create_share",
    "create_voter_quotas",
    "find_max_requests",
    "flush_quota_requests",
    "handle_quota_loan",
    "handle_quota_loan_request",
    "handle_quota_reply",
    "handle_quota_request",
    "handle_quota_return",
    "has_work",
    "record_confirmation",
    "request_token",
    "return_token",
    "tick_node",
    "tick_voter",
    "update_configuration",
    "update_voters",
]
