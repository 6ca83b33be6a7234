"""Show the events of all processes in causal order."""

import logging
import sys
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

from bendwind_cli.client import Client
from bendwind_cli.commands import ShowTimeline
from bendwind_cli.instances import find_addresses
from bendwind_cli.outcome import ExitCode, Failure
from bendwind_cli.replies import EventReply, TimelineReply
from bendwind_core.core import read_whole_number
from bendwind_core.timeline import (
    Event,
    EventKind,
    explain_call,
    find_attempts,
    find_kind,
    find_level,
    merge_events,
    render_event,
    render_explanation,
)


def show(client: Client, command: ShowTimeline) -> Result[str, Failure]:
    """Merge the timelines of all known processes that answer.

    Errors: an unknown event, or no answer from any process.
    """
    kind = find_kind(command.event) if command.event else None
    if command.event and kind is None:
        line = f"event: expected a number or name of `bendwind events`, got {command.event!r}"
        return Error(Failure(ExitCode.USAGE, line))
    if read_whole_number(command.limit) is None:
        line = f"limit: expected a whole number, got {command.limit!r}"
        return Error(Failure(ExitCode.USAGE, line))
    addresses = sorted(set(client.addresses) | set(find_addresses(client).values()))
    replies = _fetch_all(client, addresses, _make_path(command, kind, command.call))
    if not replies:
        return Error(Failure(ExitCode.NO_ANSWER, "no process answered"))
    _report_dropped(replies)
    # An owner node records the attempts of a call but not the call, so the events of the call are
    # fetched by the names of its attempts.
    attempts = find_attempts(_merge(replies), command.call) if command.call else ()
    for attempt in attempts:
        replies += _fetch_all(client, addresses, _make_path(command, kind, attempt))
    return Ok(_render(_merge(replies), command))


def list_events() -> Result[str, Failure]:
    """List the number, level and name of every event."""
    lines = [
        f"{kind:d}  {logging.getLevelName(find_level(kind)):8}{kind.name}" for kind in EventKind
    ]
    return Ok("\n".join(lines))


def _make_path(command: ShowTimeline, kind: EventKind | None, call: str) -> str:
    query = {
        "call": call,
        "plan": command.plan,
        "upstream": command.upstream,
        "kind": "" if kind is None else str(int(kind)),
        "limit": command.limit,
    }
    given = {name: value for name, value in query.items() if value}
    return f"/v1/timeline?{urlencode(given)}"


def _fetch_all(client: Client, addresses: list[str], path: str) -> list[TimelineReply]:
    replies = []
    for address in addresses:
        reply = client.request_from(address, "GET", path, TimelineReply)
        if reply.is_error():
            print(f"bendwind: left out: {reply.error.line}", file=sys.stderr)
        else:
            replies.append(reply.ok)
    return replies


def _report_dropped(replies: list[TimelineReply]) -> None:
    for reply in replies:
        if reply.dropped:
            line = f"{reply.instance} no longer holds its {reply.dropped} oldest events"
            print(f"bendwind: {line}", file=sys.stderr)


def _merge(replies: list[TimelineReply]) -> list[Event]:
    return merge_events(_read_events(reply) for reply in replies)


def _read_events(reply: TimelineReply) -> list[Event]:
    # A process of a newer version may record events that this client does not know yet.
    return [_read_event(found) for found in reply.events if find_kind(str(found.number))]


def _read_event(found: EventReply) -> Event:
    return Event(
        EventKind(found.number),
        found.instance,
        found.physical_ms,
        found.logical,
        found.call,
        found.upstream,
        found.plan,
        found.detail,
        found.monotonic_us,
    )


def _render(events: list[Event], command: ShowTimeline) -> str:
    if command.json:
        return "\n".join(_render_json(event) for event in events)
    lines = [render_event(event) for event in events]
    if command.call:
        lines += ["", *render_explanation(explain_call(events, command.call))]
    return "\n".join(lines)


def _render_json(event: Event) -> str:
    fields = {name: getattr(event, name) for name in event.__struct_fields__ if name != "kind"}
    return msgspec.json.encode(
        {"number": int(event.kind), "name": event.kind.name} | fields
    ).decode()
