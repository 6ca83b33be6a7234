"""Remember the upstreams that have left, so that a late announcement brings none of them back."""

import msgspec

MAX_DEPARTED = 256


class Departures(msgspec.Struct, eq=False):
    """Hold the newest run that left of each name, 0 where it did not tell which; oldest first."""

    runs: dict[str, int] = msgspec.field(default_factory=dict)

    def record(self, name: str, born_ms: int) -> None:
        """Note that a run of an upstream has left, and all that came before it."""
        self.runs[name] = max(born_ms, self.runs.pop(name, 0))
        if len(self.runs) > MAX_DEPARTED:
            del self.runs[next(iter(self.runs))]

    def has_departed(self, name: str, born_ms: int) -> bool:
        """Tell whether an announcement is that of a run which has left."""
        return name in self.runs and born_ms <= self.runs[name]

    def has_any_departed(self, name: str) -> bool:
        """Tell whether any run of an upstream has left."""
        return name in self.runs
