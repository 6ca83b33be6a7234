"""Offer the quotas of customers over all nodes: what a node and a voter decide about them."""

from bendwind_core.quotas.bounds import QuotaBounds, Share, create_share, find_most
from bendwind_core.quotas.messages import (
    QuotaAsk,
    QuotaBack,
    QuotaGrant,
    QuotaLoan,
    QuotaPull,
    QuotaReply,
    QuotaUnused,
    QuotaWant,
)
from bendwind_core.quotas.node import (
    cancel_wait,
    flush_asks,
    has_work,
    hear_reply,
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
    hear_ask,
    hear_back,
    hear_loan,
    hear_pull,
    tick_voter,
)
from bendwind_core.quotas.voter_changes import note_configuration, note_confirmed, note_voters
from bendwind_core.quotas.voter_state import VoterQuotas, create_voter_quotas

__all__ = [
    "Grant",
    "NodeQuotas",
    "QuotaAsk",
    "QuotaBack",
    "QuotaBounds",
    "QuotaGrant",
    "QuotaLoan",
    "QuotaPull",
    "QuotaRefusal",
    "QuotaReply",
    "QuotaSend",
    "QuotaUnused",
    "QuotaWant",
    "Share",
    "VoterQuotas",
    "Waiter",
    "cancel_wait",
    "create_node_quotas",
    "create_share",
    "create_voter_quotas",
    "find_most",
    "flush_asks",
    "has_work",
    "hear_ask",
    "hear_back",
    "hear_loan",
    "hear_pull",
    "hear_reply",
    "note_configuration",
    "note_confirmed",
    "note_voters",
    "request_token",
    "return_token",
    "tick_node",
    "tick_voter",
]
