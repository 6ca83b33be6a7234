"""Provide the state machines of a call on its entry node and on its owner node."""

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
