"""Read and write the result of one run of all measurements."""

from pathlib import Path

import msgspec

from bendwind_bench.capacity.design import Design
from bendwind_bench.capacity.pure.codec import MessageKind
from bendwind_bench.capacity.slope import Slope

FILE = Path("docs/measurements/capacity.json")


class CapacityResult(msgspec.Struct):
    """Hold the slopes, single figures and message kinds, and the conditions of their measurement.

    `note` states what else ran on the machine during the measurement.
    Units: `seconds` is the duration of the measurements.
    """

    measured_on: str
    commit: str
    cores: int
    load_average: list[float]
    note: str
    is_trial: bool
    seconds: float
    design: Design
    slopes: dict[str, Slope]
    figures: dict[str, float]
    kinds: tuple[MessageKind, ...]

    def find_kind(self, name: str) -> MessageKind:
        """Return the message kind with this name."""
        return next(kind for kind in self.kinds if kind.name == name)


def write_result(result: CapacityResult) -> None:
    """Write the result to its file."""
    FILE.parent.mkdir(parents=True, exist_ok=True)
    FILE.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")


def read_result() -> CapacityResult:
    """Read the last result."""
    return msgspec.json.decode(FILE.read_bytes(), type=CapacityResult)
