"""Store an experiment's measured figures and the checks that apply to them."""

import statistics
from pathlib import Path

import msgspec

FOLDER = Path("docs/measurements")
# Written by the measurements behind docs/CAPACITY.md, which are not experiments.
_NOT_EXPERIMENTS = frozenset({"capacity.json"})

Figures = dict[str, dict[str, float]]


class Check(msgspec.Struct, frozen=True):
    """Compare a figure, or its ratio to another figure, with a limit.

    A figure is named `variant/metric`. The limit is a minimum with `at_least`, else a maximum.
    """

    text: str
    figure: str
    limit: float
    divided_by: str = ""
    at_least: bool = False

    def measure(self, figures: Figures) -> float | None:
        """Return the value in one run, or None if it was not measured."""
        value = _find(figures, self.figure)
        if not self.divided_by or value is None:
            return value
        divisor = _find(figures, self.divided_by)
        return value / divisor if divisor else None

    def is_reached(self, value: float) -> bool:
        """Return whether a value satisfies the limit."""
        return value >= self.limit if self.at_least else value <= self.limit


class Result(msgspec.Struct):
    """Hold the measurements of one experiment and the conditions of its runs."""

    name: str
    title: str
    about: str
    command: str
    measured_on: str
    commit: str
    cores: int
    load_average: list[float]
    runs: list[Figures]
    checks: list[Check]
    notes: list[str] = []

    def medians(self) -> Figures:
        """Return the median of each figure over the runs that contain it."""
        return {
            variant: {
                metric: statistics.median(_values(self.runs, variant, metric))
                for metric in _metrics(self.runs, variant)
            }
            for variant in _variants(self.runs)
        }

    def check_values(self, check: Check) -> list[float]:
        """Return the value of a check in each run that has one."""
        return [value for run in self.runs if (value := check.measure(run)) is not None]


def _find(figures: Figures, path: str) -> float | None:
    variant, _, metric = path.partition("/")
    return figures.get(variant, {}).get(metric)


def _variants(runs: list[Figures]) -> list[str]:
    return list(dict.fromkeys(variant for run in runs for variant in run))


def _metrics(runs: list[Figures], variant: str) -> list[str]:
    return list(dict.fromkeys(metric for run in runs for metric in run.get(variant, {})))


def _values(runs: list[Figures], variant: str, metric: str) -> list[float]:
    return [run[variant][metric] for run in runs if metric in run.get(variant, {})]


def write_result(result: Result) -> Path:
    """Write a result as JSON to the folder of the plots."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    file = FOLDER / f"{result.name}.json"
    file.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n")
    return file


def read_results() -> list[Result]:
    """Read all stored results, sorted by name."""
    files = sorted(file for file in FOLDER.glob("*.json") if file.name not in _NOT_EXPERIMENTS)
    return [msgspec.json.decode(file.read_bytes(), type=Result) for file in files]
