"""Provide the complete process: its tasks, created and connected according to its settings."""

from bendwind_node.daemon.extension import Extension
from bendwind_node.daemon.run import run_daemon

__all__ = ["Extension", "run_daemon"]
