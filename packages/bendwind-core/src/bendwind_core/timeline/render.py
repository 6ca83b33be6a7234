"""Format events and explanations of calls as lines of text."""

import datetime

import msgspec

from bendwind_core.timeline.event import Event
from bendwind_core.timeline.explain import AttemptTime, CallTime

_MILLISECONDS_PER_SECOND = 1000
_MICROSECONDS_PER_MILLISECOND = 1000


def render_event(event: Event) -> str:
    """Format an event on one line: time, logical counter, instance, number, name, fields."""
    seconds = event.physical_ms / _MILLISECONDS_PER_SECOND
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    head = f"{time:%Y-%m-%dT%H:%M:%S}.{event.physical_ms % _MILLISECONDS_PER_SECOND:03d}Z"
    fields = [
        f"{name}={value}"
        for name in ("request", "call", "upstream", "plan", "detail")
        if (value := getattr(event, name))
    ]
    if event.facts is not None:
        fields.append(f"facts={msgspec.json.encode(event.facts).decode()}")
    title = f"{head}+{event.logical} {event.instance} {event.kind:d} {event.kind.name}"
    return " ".join([title, *fields])


def render_explanation(found: CallTime) -> list[str]:
    """Format the durations of a call's stages, one stage per line."""
    if not found.entry:
        return [f"call {found.call}: no events found"]
    lines = [f"call {found.call} at {found.entry}: {_render_time(found.total_us)} ms in all"]
    lines.append(f"  {_render_time(found.before_us)} ms until the first attempt")
    lines += [_render_attempt(attempt) for attempt in found.attempts]
    if found.attempts:
        lines.append(f"  {_render_time(found.after_us)} ms after the last attempt")
    return lines


def _render_attempt(attempt: AttemptTime) -> str:
    title = f"  {_render_time(attempt.total_us)} ms attempt {attempt.attempt or '?'}"
    parts = f"{_render_time(attempt.upstream_us)} ms in the upstream"
    if attempt.total_us is not None and attempt.upstream_us is not None:
        rest = attempt.total_us - attempt.upstream_us
        parts = f"{parts}, {_render_time(rest)} ms on links and in the queue"
    end = attempt.end or "no end seen"
    return f"{title} at {attempt.upstream or '?'}: {end} ({parts})"


def _render_time(microseconds: int | None) -> str:
    return "?" if microseconds is None else f"{microseconds / _MICROSECONDS_PER_MILLISECOND:.3f}"
