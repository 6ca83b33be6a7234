"""Offer the whole process: its tasks, wired together from its settings."""

from bendwind_node.daemon.run import run_daemon

__all__ = ["run_daemon"]
