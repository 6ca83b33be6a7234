"""Describe a request to an upstream and how it can fail."""

import msgspec

from bendwind_core.attempts import CutReason, Header, NotRunReason


class UpstreamRequest(msgspec.Struct):
    """Hold one request whose body is complete; a marked one must not be repeated."""

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    is_non_idempotent: bool = False


class RequestNotSent(msgspec.Struct, frozen=True):
    """Tell that no byte of the request went to the upstream.

    `is_timed_out` says that the connection was neither taken nor refused.
    """

    reason: NotRunReason
    is_timed_out: bool = False


class AnswerCut(msgspec.Struct, frozen=True):
    """Tell that the request was sent, at least in part, and its answer did not come whole."""

    reason: CutReason
