"""Configure the process's structured log."""

from bendwind_node.logs.configure import configure_logging

__all__ = ["configure_logging"]
