"""Offer the whole process: its tasks, wired together from its settings."""

from bendwind_node.daemon.extension import Extension
from bendwind_node.daemon.run import run_daemon

__all__ = ["Extension", "run_daemon"]
