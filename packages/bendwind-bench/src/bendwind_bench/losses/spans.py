"""Compute with spans of time: sorted, disjoint pairs of beginning and end."""

import bisect
from collections.abc import Iterable

Span = tuple[float, float]


def unite(spans: Iterable[Span]) -> list[Span]:
    """Return the union of the spans, sorted and disjoint.

    >>> unite([(3, 5), (1, 2), (4, 6), (7, 7)])
    [(1, 2), (3, 6)]
    """
    united: list[Span] = []
    for begin, end in sorted(spans):
        if end <= begin:
            continue
        if united and begin <= united[-1][1]:
            united[-1] = (united[-1][0], max(end, united[-1][1]))
        else:
            united.append((begin, end))
    return united


def invert(spans: list[Span], begin: float, end: float) -> list[Span]:
    """Return the parts of a period that none of the united spans covers.

    >>> invert([(1, 2), (4, 9)], 0, 6)
    [(0, 1), (2, 4)]
    """
    left: list[Span] = []
    for one, other in spans:
        if begin < one:
            left.append((begin, min(one, end)))
        begin = max(begin, other)
        if begin >= end:
            return left
    return [*left, (begin, end)]


def measure(spans: list[Span], begin: float, end: float) -> float:
    """Return how much of a period the united spans cover.

    >>> measure([(1, 2), (4, 9)], 0, 6)
    3
    """
    first = bisect.bisect_left(spans, begin, key=lambda span: span[1])
    covered = 0
    for one, other in spans[first:]:
        if one >= end:
            break
        covered += min(other, end) - max(one, begin)
    return covered


def find_full(spans: Iterable[Span], limit: int) -> list[Span]:
    """Return when at least `limit` of the spans overlap.

    >>> find_full([(0, 4), (1, 3), (2, 6)], 2)
    [(1, 4)]
    """
    steps = sorted([(begin, 1) for begin, _ in spans] + [(end, -1) for _, end in spans])
    full: list[Span] = []
    running, since = 0, 0.0
    for at, step in steps:
        if running < limit <= running + step:
            since = at
        elif running + step < limit <= running:
            full.append((since, at))
        running += step
    return unite(full)


__all__ = ["Span", "find_full", "invert", "measure", "unite"]
