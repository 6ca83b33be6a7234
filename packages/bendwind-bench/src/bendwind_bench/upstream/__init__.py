"""Provide the stand-in upstream: a process that simulates an upstream in benchmarks."""

from bendwind_bench.upstream.arrivals import (
    Arrival,
    DrainNotice,
    SlotWait,
    read_arrivals,
    read_clock,
)
from bendwind_bench.upstream.settings import Change, UpstreamSettings, read_upstream_settings
from bendwind_bench.upstream.stand_in import MISSING_ID, make_body, run_upstream

__all__ = [
    "MISSING_ID",
    "Arrival",
    "Change",
    "DrainNotice",
    "SlotWait",
    "UpstreamSettings",
    "make_body",
    "read_arrivals",
    "read_clock",
    "read_upstream_settings",
    "run_upstream",
]
