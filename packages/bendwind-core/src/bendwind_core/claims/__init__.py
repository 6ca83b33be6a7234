"""Offer the claims that make a marked request run at most once."""

from bendwind_core.claims.commands import ChangeClaimGroup, apply_group_change
from bendwind_core.claims.decisions import (
    AnswerNotKept,
    ClaimDecision,
    ClaimRefused,
    Granted,
    KeyConflict,
    OutcomeUnknown,
    Recorded,
    StillPending,
)
from bendwind_core.claims.fingerprint import fingerprint_request
from bendwind_core.claims.group import ClaimGroup
from bendwind_core.claims.members import incarnation_of, member_of, node_of
from bendwind_core.claims.messages import (
    MAX_KEPT_ANSWER_BYTES,
    MAX_KEY_CHARACTERS,
    Claim,
    ClaimAnswer,
    ClaimAppend,
    ClaimAppended,
    ClaimConflict,
    ClaimCopied,
    ClaimGranted,
    ClaimHeld,
    ClaimLeave,
    ClaimMessage,
    ClaimOutcome,
    ClaimRelease,
    ClaimRequest,
    ClaimSettled,
    ClaimState,
    ClaimUnavailable,
    RefusalReason,
)
from bendwind_core.claims.placement import REQUIRED_MEMBERS, choose_claim_group
from bendwind_core.claims.state import ClaimHolder, create_holder
from bendwind_core.claims.table import ClaimLimits

__all__ = [
    "MAX_KEPT_ANSWER_BYTES",
    "MAX_KEY_CHARACTERS",
    "REQUIRED_MEMBERS",
    "AnswerNotKept",
    "ChangeClaimGroup",
    "Claim",
    "ClaimAnswer",
    "ClaimAppend",
    "ClaimAppended",
    "ClaimConflict",
    "ClaimCopied",
    "ClaimDecision",
    "ClaimGranted",
    "ClaimGroup",
    "ClaimHeld",
    "ClaimHolder",
    "ClaimLeave",
    "ClaimLimits",
    "ClaimMessage",
    "ClaimOutcome",
    "ClaimRefused",
    "ClaimRelease",
    "ClaimRequest",
    "ClaimSettled",
    "ClaimState",
    "ClaimUnavailable",
    "Granted",
    "KeyConflict",
    "OutcomeUnknown",
    "Recorded",
    "RefusalReason",
    "StillPending",
    "apply_group_change",
    "choose_claim_group",
    "create_holder",
    "fingerprint_request",
    "incarnation_of",
    "member_of",
    "node_of",
]
