"""Define the result of one send, as its caller saw it."""

import enum

import msgspec

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
