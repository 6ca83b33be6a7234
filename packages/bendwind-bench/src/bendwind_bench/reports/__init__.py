"""Provide tables, plots and the page of measurements."""

from bendwind_bench.reports.latency import LatencySummary, summarize, summarize_latency
from bendwind_bench.reports.table import format_summary_table, format_table

__all__ = [
    "LatencySummary",
    "format_summary_table",
    "format_table",
    "summarize",
    "summarize_latency",
]
