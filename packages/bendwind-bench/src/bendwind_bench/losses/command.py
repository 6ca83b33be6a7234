"""Implement the `losses` command: read logs, print the account of the calls and plot it."""

import re
import sys
from pathlib import Path

from bendwind_bench.losses.account import By, list_rows
from bendwind_bench.losses.account_report import render_account, write_account_plot
from bendwind_bench.losses.exactness import compare_with_owners
from bendwind_bench.losses.read import read_lines, read_logs

USAGE_EXIT_CODE = 2


def report_losses(files: tuple[str, ...], by: str, plot: str, place: str) -> int:
    """Print the account of the calls in log files and return the exit code."""
    missing = [name for name in files if not Path(name).is_file()]
    if missing or not files:
        return _report_usage_error(f"expected readable log files: {missing or 'none given'}")
    if by not in set(By):
        return _report_usage_error(f"--by: expected one of {', '.join(By)}, got {by!r}")
    try:
        pattern = re.compile(place) if place else None
    except re.error as error:
        return _report_usage_error(f"--place: expected a regular expression: {error}")
    if pattern is not None and not pattern.groups:
        return _report_usage_error("--place: expected a regular expression with a group")
    logs = read_logs(read_lines(files), pattern)
    rows = list_rows(logs)
    print(render_account(rows, By(by)))
    found = compare_with_owners(logs)
    print(
        "\nreconstructed number of running requests equals the owner's "
        f"at {found.equal} of {found.starts} starts"
    )
    if plot:
        write_account_plot(rows, By(by), Path(plot))
    return 0


def _report_usage_error(text: str) -> int:
    print(f"losses: {text}", file=sys.stderr)
    return USAGE_EXIT_CODE


__all__ = ["report_losses"]
