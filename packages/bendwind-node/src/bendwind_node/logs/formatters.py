"""Format the log records of numbered events and of libraries."""

import logging

import msgspec

from bendwind_core.timeline import Event, EventKind, LogLine, render_event

_MILLISECONDS_PER_SECOND = 1000


class JsonFormatter(logging.Formatter):
    """Format each record as one JSON object on one line."""

    def __init__(self, instance: str):
        super().__init__()
        self.instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        event = _get_event(record)
        level = record.levelname.lower()
        if event is None:
            detail = _describe(self, record)
            physical_ms = int(record.created * _MILLISECONDS_PER_SECOND)
            line = LogLine(level, self.instance, physical_ms, record.name, detail=detail)
        else:
            line = LogLine(
                level,
                event.instance,
                event.physical_ms,
                event.kind.name,
                int(event.kind),
                event.logical,
                event.call,
                event.upstream,
                event.plan,
                event.detail,
                event.request,
                event.facts,
            )
        return msgspec.json.encode(line).decode()


class TextFormatter(logging.Formatter):
    """Format each record as one line of plain text."""

    def __init__(self, instance: str):
        super().__init__()
        self.instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        event = _get_event(record)
        if event is None:
            text = f"{self.instance} {record.name} {_describe(self, record)}"
        else:
            text = render_event(event)
        return f"{record.levelname} {text}".replace("\n", "\\n")


def describe_dropped(formatter: logging.Formatter, count: int) -> str:
    """Return the line that reports how many lines were dropped because the queue was full."""
    kind = EventKind.LOG_LINES_LEFT_OUT
    record = logging.LogRecord(kind.name, logging.WARNING, "", 0, "%d lines", (count,), None)
    return formatter.format(record)


def _get_event(record: logging.LogRecord) -> Event | None:
    return getattr(record, "event", None)


def _describe(formatter: logging.Formatter, record: logging.LogRecord) -> str:
    text = record.getMessage()
    if record.exc_info:
        text = f"{text}\n{formatter.formatException(record.exc_info)}"
    return text
