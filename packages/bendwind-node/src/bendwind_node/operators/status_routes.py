"""Answer requests for the status of a process and its recorded events."""

import itertools

import msgspec
import trio
from expression import Error, Ok, Result

from bendwind_core.core import Seconds
from bendwind_core.timeline import EventFilter, EventKind, Recorder, find_kind
from bendwind_node.operators.control_client import ControlClient
from bendwind_node.operators.errors import ErrorKind, plain_error
from bendwind_node.operators.http import Request, Response, json_response
from bendwind_node.operators.status_source import NodeVersion, ProcessStatus, StatusSource
from bendwind_node.operators.views import (
    DrainingView,
    StatusView,
    TimelineView,
    make_event_view,
    make_upstream_view,
)

DEFAULT_EVENT_LIMIT = 1000
# A voter without a quorum answers with its unconfirmed state after this time.
CONFIRMATION_TIMEOUT_S: Seconds = 1.0


class EventQuery(msgspec.Struct, frozen=True):
    """Hold the filter of the requested events, and how many of the newest to return."""

    wanted: EventFilter
    limit: int


class StatusRoutes(msgspec.Struct):
    """Answer requests for status and events; `control` is None on a process that is not a voter."""

    control: ControlClient | None
    source: StatusSource
    recorder: Recorder

    async def get_status(self) -> Response:
        """Return the status, confirmed by a quorum if this process leads."""
        process = self.source.process()
        if self.control is None:
            return json_response(200, self._make_view(process, process.version, is_confirmed=False))
        is_confirmed = False
        with trio.move_on_after(CONFIRMATION_TIMEOUT_S):
            is_confirmed = (await self.control.barrier()).is_ok()
        nodes = tuple(await self.source.nodes())
        return json_response(200, self._make_voter_view(self.control, process, is_confirmed, nodes))

    def _make_voter_view(
        self,
        control: ControlClient,
        process: ProcessStatus,
        is_confirmed: bool,
        nodes: tuple[NodeVersion, ...],
    ) -> StatusView:
        state = control.state
        draining = DrainingView(tuple(state.draining_instances), tuple(state.draining_upstreams))
        version = state.configuration.version
        return self._make_view(process, version, is_confirmed, control, draining, nodes)

    def _make_view(
        self,
        process: ProcessStatus,
        version: int,
        is_confirmed: bool,
        control: ControlClient | None = None,
        draining: DrainingView | None = None,
        nodes: tuple[NodeVersion, ...] = (),
    ) -> StatusView:
        return StatusView(
            instance=process.name,
            data_centre=process.data_centre,
            voter=control is not None,
            stopping=process.stopping,
            version=version,
            confirmed=is_confirmed,
            confirmed_age_ms=process.confirmed_age_ms,
            attached_to=process.attached_to,
            leader=None if control is None else control.leader(),
            voters=() if control is None else tuple(control.voters()),
            nodes=nodes,
            not_there_yet=tuple(node.name for node in nodes if node.version < version),
            upstreams=tuple(make_upstream_view(upstream) for upstream in self.source.upstreams()),
            draining=draining or DrainingView(),
            evacuated=() if control is None else control.state.configuration.evacuated,
            replacement=None if control is None else control.replacement(),
            notices=tuple(self.source.notices()),
        )

    def get_timeline(self, request: Request) -> Response:
        """Return the recorded events that the query selects."""
        parsed = _read_event_query(request)
        if parsed.is_error():
            return plain_error(400, ErrorKind.BAD_REQUEST, parsed.error)
        query = parsed.ok
        newest = (event for event in reversed(self.recorder.events) if query.wanted.matches(event))
        events = list(itertools.islice(newest, query.limit))
        events.reverse()
        views = tuple(make_event_view(event) for event in events)
        view = TimelineView(self.recorder.instance, self.recorder.dropped, views)
        return json_response(200, view)


def _read_event_query(request: Request) -> Result[EventQuery, str]:
    query = request.query
    kind = _read_kind(query.get("kind", ""))
    since, limit = query.get("since", "0"), query.get("limit", str(DEFAULT_EVENT_LIMIT))
    if kind.is_error():
        return Error(kind.error)
    for name, text in (("since", since), ("limit", limit)):
        if not text.isascii() or not text.isdecimal() or len(text) > 18:
            return Error(f"{name}: expected a whole number from 0")
    texts = [query.get(name, "") for name in ("call", "plan", "upstream")]
    return Ok(EventQuery(EventFilter(*texts, kind.ok, int(since)), int(limit)))


def _read_kind(text: str) -> Result[EventKind | None, str]:
    if not text:
        return Ok(None)
    kind = find_kind(text)
    if kind is not None:
        return Ok(kind)
    return Error("kind: expected the number or name of an event, see /v1/events")
