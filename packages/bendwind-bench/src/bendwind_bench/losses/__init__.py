"""Determine the outcome of a deployment's calls, and its cause, from the logs of its processes."""

from bendwind_bench.losses.account import (
    Account,
    By,
    Fate,
    Row,
    aggregate_rows,
    group_rows,
    list_rows,
)
from bendwind_bench.losses.account_report import render_account, write_account_plot
from bendwind_bench.losses.causes import Cause, find_cause
from bendwind_bench.losses.command import report_losses
from bendwind_bench.losses.read import Logs, read_lines, read_logs

__all__ = [
    "Account",
    "By",
    "Cause",
    "Fate",
    "Logs",
    "Row",
    "aggregate_rows",
    "find_cause",
    "group_rows",
    "list_rows",
    "read_lines",
    "read_logs",
    "render_account",
    "report_losses",
    "write_account_plot",
]
