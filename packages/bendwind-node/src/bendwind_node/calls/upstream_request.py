"""Describe a request to an upstream and how it can fail."""

from dataclasses import dataclass

from bendwind_core.attempts import CutReason, Header, NotRunReason


@dataclass(slots=True)
class UpstreamRequest:
    """Hold one request whose body is complete; a marked one must not be repeated."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    is_marked: bool = False


@dataclass(frozen=True, slots=True)
class RequestNotSent:
    """Tell that no byte of the request went to the upstream."""

    reason: NotRunReason


@dataclass(frozen=True, slots=True)
class AnswerCut:
    """Tell that the request was sent, at least in part, and its answer did not come whole."""

    reason: CutReason
