"""Tell from the logs of a deployment's processes where answers in time were lost, and why."""

from bendwind_bench.losses.causes import Cause, find_cause
from bendwind_bench.losses.read import Logs, read_lines, read_logs
from bendwind_bench.losses.report import render_report, write_report
from bendwind_bench.losses.tally import Tally, count_losses

__all__ = [
    "Cause",
    "Logs",
    "Tally",
    "count_losses",
    "find_cause",
    "read_lines",
    "read_logs",
    "render_report",
    "write_report",
]
