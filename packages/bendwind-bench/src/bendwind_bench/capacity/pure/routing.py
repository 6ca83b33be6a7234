"""Measure the choice of an upstream and the memory that an entry node uses for each upstream."""

import itertools
import random

from bendwind_bench.capacity.fixture import make_upstream
from bendwind_bench.capacity.slope import Slope, fit, measure_allocation, time_median
from bendwind_core.attempts import AttemptId
from bendwind_core.routing import (
    UpstreamTable,
    choose_upstream,
    create_upstream_table,
    record_attempt_answered,
    record_attempt_sent,
    set_upstreams,
)
from bendwind_core.world import LoadSample, Policy

UPSTREAM_COUNTS = (4, 23, 50, 100)
_BATCH = 500
_CALL_S = 0.01
_NO_EXCLUSIONS = frozenset()


def make_table(upstreams: int) -> UpstreamTable:
    """Make the upstream table of a service."""
    table = create_upstream_table("service-001")
    fleet = [make_upstream(index, "service-001") for index in range(upstreams)]
    set_upstreams(table, fleet, 0.0)
    return table


def measure_routing() -> dict[str, Slope]:
    """Measure the choice and the table for growing numbers of upstreams."""
    choices, memory = [], []
    for count in UPSTREAM_COUNTS:
        table, size = measure_allocation(lambda count=count: make_table(count))
        memory.append((count, size))
        rng, clock = random.Random(count), itertools.count(1)
        choices.append(
            (count, time_median(lambda t=table, r=rng, c=clock: _choose_repeatedly(t, r, c)))
        )
    return {
        "choose_us": fit("Choose an upstream and note its answer", "us", "upstream", choices),
        "table_bytes": fit("Memory of an entry node's table", "bytes", "upstream", memory),
    }


def _choose_repeatedly(table: UpstreamTable, rng: random.Random, clock: itertools.count) -> int:
    load = LoadSample(3, 0, 12, 11.0)
    for _ in range(_BATCH):
        now = next(clock) * _CALL_S
        upstream = choose_upstream(Policy.SCORE, table, _NO_EXCLUSIONS, now, rng)
        attempt = AttemptId("node-00001", 1, next(clock))
        record_attempt_sent(table, upstream.name, attempt, now)
        record_attempt_answered(table, upstream.name, attempt, now + _CALL_S, 200, load)
    return _BATCH
