"""Provide the capacity measurements and the page that reports their results."""

from bendwind_bench.capacity.page import write_page
from bendwind_bench.capacity.run import run_capacity

__all__ = ["run_capacity", "write_page"]
