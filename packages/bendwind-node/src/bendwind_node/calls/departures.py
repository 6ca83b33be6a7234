"""Record the upstreams that have left, so that a late announcement registers none of them again."""

import msgspec

MAX_DEPARTED = 256


class Departures(msgspec.Struct, eq=False):
    """Hold the newest departed run for each name, 0 if the run is unknown; oldest entry first."""

    runs: dict[str, int] = msgspec.field(default_factory=dict)

    def record(self, name: str, born_ms: int) -> None:
        """Record that a run of an upstream and all runs before it have left."""
        self.runs[name] = max(born_ms, self.runs.pop(name, 0))
        if len(self.runs) > MAX_DEPARTED:
            del self.runs[next(iter(self.runs))]

    def has_departed(self, name: str, born_ms: int) -> bool:
        """Return whether the run that started at `born_ms` has left."""
        return name in self.runs and born_ms <= self.runs[name]

    def has_any_departed(self, name: str) -> bool:
        """Return whether any run of an upstream has left."""
        return name in self.runs
