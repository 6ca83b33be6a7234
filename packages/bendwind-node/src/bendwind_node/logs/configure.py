"""Set up the standard logging module to write one line for each event."""

import logging
import sys
from typing import TextIO

from bendwind_node.logs.background_handler import BackgroundHandler
from bendwind_node.logs.formatters import JsonFormatter, TextFormatter, describe_dropped
from bendwind_node.settings import Settings

# These libraries log each request or frame at levels below WARNING.
_VERBOSE_LIBRARIES = ("asyncio", "httpcore", "hypercorn", "websockets")


def configure_logging(settings: Settings, stream: TextIO | None = None) -> None:
    """Write events at or above the settings' level to a stream, standard output by default.

    Logging never waits for the reader of the stream.
    """
    instance = settings.instance.name
    is_json = settings.logging.format == "json"
    formatter = JsonFormatter(instance) if is_json else TextFormatter(instance)
    handler = BackgroundHandler(
        stream or sys.stdout, lambda count: describe_dropped(formatter, count)
    )
    handler.setFormatter(formatter)
    logging.basicConfig(handlers=[handler], level=logging.WARNING, force=True)
    logging.getLogger("bendwind").setLevel(settings.logging.level.upper())
    for name in _VERBOSE_LIBRARIES:
        logging.getLogger(name).setLevel(logging.WARNING)


def close_logging() -> None:
    """Write the queued lines; a reader that does not read delays this by a bounded time."""
    for handler in logging.getLogger().handlers:
        handler.close()
