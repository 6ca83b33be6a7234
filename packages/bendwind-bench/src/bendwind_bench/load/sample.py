"""Define the result of one send, as its caller saw it."""

import enum

import msgspec

from bendwind_bench.load.plan import RequestKind, Send
from bendwind_core.core import Milliseconds, Seconds


class Outcome(enum.StrEnum):
    """List the outcomes that a caller sees."""

    WHOLE = "whole"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    BROKEN = "broken"


class Sample(msgspec.Struct, frozen=True):
    """Hold the result of one send; its latency counts from the send time in the plan.

    Units: `late_ms` is the part of the latency by which the load generator itself was late.
    """

    at_s: Seconds
    latency_ms: Milliseconds
    service: str
    outcome: Outcome
    status: int
    reason: str
    request: str
    number: int
    address: str
    marked: bool = False
    keyed: bool = False
    call: str = ""
    late_ms: Milliseconds = 0.0


def create_sample(
    send: Send,
    kind: RequestKind,
    latency_ms: Milliseconds,
    outcome: Outcome,
    status: int,
    reason: str,
    call: str = "",
    late_ms: Milliseconds = 0.0,
) -> Sample:
    """Create the sample of a send of a request of this kind."""
    return Sample(
        send.at_s,
        latency_ms,
        kind.service,
        outcome,
        status,
        reason,
        send.request,
        send.number,
        send.address,
        kind.marked,
        kind.keyed,
        call,
        late_ms,
    )
