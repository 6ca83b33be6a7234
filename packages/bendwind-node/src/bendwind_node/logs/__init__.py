"""Configure the process's structured log."""

from bendwind_node.logs.configure import close_logging, configure_logging

__all__ = ["close_logging", "configure_logging"]
