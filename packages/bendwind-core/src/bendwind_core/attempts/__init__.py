"""Offer the state machines of a call: the entry node's and the owner node's."""

from bendwind_core.attempts.messages import (
    AnswerHead,
    AttemptId,
    BodyCredit,
    BodyPart,
    Cancel,
    CutReason,
    Fence,
    Fenced,
    FenceVerdict,
    HandOver,
    Header,
    NotRun,
    NotRunReason,
    Unknown,
)

__all__ = [
    "AnswerHead",
    "AttemptId",
    "BodyCredit",
    "BodyPart",
    "Cancel",
    "CutReason",
    "Fence",
    "FenceVerdict",
    "Fenced",
    "HandOver",
    "Header",
    "NotRun",
    "NotRunReason",
    "Unknown",
]
