"""Check how far the reconstruction of what ran on each upstream agrees with the owners' logs."""

import bisect
import collections

import msgspec

from bendwind_bench.losses.free import find_run_span
from bendwind_bench.losses.read import Logs
from bendwind_core.timeline import DispatchFacts, LogLine

# Log lines have timestamps of whole milliseconds.
_ROUNDING_MS = 0.5


class Agreement(msgspec.Struct, frozen=True):
    """Hold at how many starts of runs the reconstructed number running equals the owner's."""

    starts: int
    equal: int


def compare_with_owners(logs: Logs) -> Agreement:
    """Count the starts of runs at which the reconstruction and the owner agree."""
    by_upstream: dict[str, list[LogLine]] = collections.defaultdict(list)
    for lines in logs.owners.values():
        for line in lines:
            if isinstance(line.facts, DispatchFacts):
                by_upstream[line.upstream].append(line)
    equal = sum(_count_equal(lines) for lines in by_upstream.values())
    return Agreement(sum(map(len, by_upstream.values())), equal)


def _count_equal(lines: list[LogLine]) -> int:
    runs = [find_run_span(line) for line in lines]
    begins, ends = sorted(begin for begin, _ in runs), sorted(end for _, end in runs)
    equal = 0
    for line, (begin, _) in zip(lines, runs, strict=True):
        at = begin + _ROUNDING_MS
        running = bisect.bisect_right(begins, at) - bisect.bisect_right(ends, at)
        equal += running == line.facts.running
    return equal


__all__ = ["Agreement", "compare_with_owners"]
