"""Describe a request to an upstream and how it can fail."""

import msgspec

from bendwind_core.attempts import CutReason, Header, NotRunReason


class UpstreamRequest(msgspec.Struct):
    """Hold one request with its complete body.

    With `is_sent_once` it must not be sent twice. With `avoids_kept` it is not sent over a kept
    connection while others break.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    is_sent_once: bool = False
    avoids_kept: bool = False


class RequestNotSent(msgspec.Struct, frozen=True):
    """Report that no byte of the request was sent to the upstream.

    `is_timed_out` says that the connection was neither accepted nor refused in time.
    """

    reason: NotRunReason
    is_timed_out: bool = False


class AnswerCut(msgspec.Struct, frozen=True):
    """Report that the request was sent, at least in part, and its answer is incomplete."""

    reason: CutReason
