"""Find fewer faults of a schedule by which a soak still fails."""

from collections.abc import Callable

import msgspec

from bendwind_bench.soak.schedule import SoakSchedule

# Fields of a schedule whose items can be left out.
FIELDS = ("faults", "link_faults", "changes", "disk_faults", "clock_steps")

Item = tuple[str, msgspec.Struct]


def shrink(
    schedule: SoakSchedule, has_failed: Callable[[SoakSchedule], bool], max_runs: int
) -> SoakSchedule:
    """Return a schedule that still fails without as much as `max_runs` trials can leave out.

    Halves are left out first, then ever smaller parts, until no single item can be.
    """
    kept = _list_items(schedule)
    size = (len(kept) + 1) // 2
    runs = 0
    while size and kept:
        start = 0
        while start < len(kept):
            if runs == max_runs:
                return _keep(schedule, kept)
            fewer = kept[:start] + kept[start + size :]
            runs += 1
            if has_failed(_keep(schedule, fewer)):
                kept = fewer
            else:
                start += size
        size //= 2
    return _keep(schedule, kept)


def count_items(schedule: SoakSchedule) -> int:
    """Return how many faults and changes a schedule holds."""
    return len(_list_items(schedule))


def _list_items(schedule: SoakSchedule) -> list[Item]:
    return [(field, item) for field in FIELDS for item in getattr(schedule, field)]


def _keep(schedule: SoakSchedule, items: list[Item]) -> SoakSchedule:
    lists = {field: [item for name, item in items if name == field] for field in FIELDS}
    return msgspec.structs.replace(schedule, **lists)
