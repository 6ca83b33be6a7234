"""Offer the measurements and the page on what the design carries at which size."""

from bendwind_bench.capacity.page import write_page
from bendwind_bench.capacity.run import run_capacity

__all__ = ["run_capacity", "write_page"]
