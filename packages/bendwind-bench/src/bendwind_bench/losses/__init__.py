"""Tell from the logs of a deployment's processes what became of its calls, and why."""

from bendwind_bench.losses.account import Account, By, Fate, Row, group, list_rows, sum_up
from bendwind_bench.losses.account_report import render_account, write_account
from bendwind_bench.losses.causes import Cause, find_cause
from bendwind_bench.losses.command import account_for
from bendwind_bench.losses.read import Logs, read_lines, read_logs

__all__ = [
    "Account",
    "By",
    "Cause",
    "Fate",
    "Logs",
    "Row",
    "account_for",
    "find_cause",
    "group",
    "list_rows",
    "read_lines",
    "read_logs",
    "render_account",
    "sum_up",
    "write_account",
]
