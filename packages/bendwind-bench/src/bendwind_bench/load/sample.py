"""Describe what became of one send, as its caller saw it."""

import enum

import msgspec

from bendwind_core.core import Milliseconds, Seconds


class Outcome(enum.StrEnum):
    """Classify what the caller was told."""

    WHOLE = "whole"
    FAILED = "failed"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    REFUSED = "refused"
    BROKEN = "broken"


class Sample(msgspec.Struct, frozen=True):
    """Record one send; latency counts from the time the plan gave it.

    Units: `late_ms` is the part of the latency by which the load tool itself was late.
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
