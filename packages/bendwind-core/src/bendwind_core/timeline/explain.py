"""Split the duration of a call into its stages, based on the recorded events."""

import re
from collections.abc import Iterable, Sequence

from bendwind_core.core import Record
from bendwind_core.timeline.catalogue import EventKind
from bendwind_core.timeline.event import Event

# The id of an attempt has the format ENTRY/INCARNATION/SEQUENCE.
_ATTEMPT = re.compile(r"[^\s/,=]+/\d+/\d+")
_ATTEMPT_ENDS = frozenset(
    {EventKind.ATTEMPT_ANSWERED, EventKind.ATTEMPT_NOT_RUN, EventKind.ATTEMPT_UNKNOWN}
)


class AttemptTime(Record, frozen=True, array_like=True):
    """Hold the duration of one attempt and how much of it the upstream took.

    Units: microseconds of the entry node's clock (`upstream_us`: of the owner node's clock); None
    where an event is missing. `end` is the name of the event that ended the attempt.
    """

    attempt: str
    upstream: str
    start_us: int
    total_us: int | None
    upstream_us: int | None
    end: str


class CallTime(Record, frozen=True, array_like=True):
    """Hold the durations of a call's stages by the monotonic clock of its entry node.

    Units: microseconds; None where an event is missing.
    """

    call: str
    entry: str
    total_us: int | None
    before_us: int | None
    after_us: int | None
    attempts: tuple[AttemptTime, ...]


def find_attempts(events: Iterable[Event], call: str) -> tuple[str, ...]:
    """Return the ids of a call's attempts in the order in which they were sent."""
    sent = (event for event in events if _is_sent(event, call))
    return tuple(dict.fromkeys(_read_attempt(event) for event in sent))


def explain_call(events: Sequence[Event], call: str) -> CallTime:
    """Compute the durations of a call's stages from the merged events of all processes."""
    call_events = [event for event in events if event.call == call]
    arrived = _find_first(call_events, {EventKind.CALL_ARRIVED})
    finished = _find_first(call_events, {EventKind.CALL_FINISHED})
    sent = [event for event in call_events if _is_sent(event, call)]
    ends = [event for event in call_events if event.kind in _ATTEMPT_ENDS]
    attempts = tuple(_explain_attempt(event, ends, events) for event in sent)
    entry = arrived or (sent[0] if sent else None)
    return CallTime(
        call,
        entry.instance if entry else "",
        _measure(arrived, finished),
        _measure(arrived, sent[0] if sent else finished),
        _measure(ends[-1], finished) if ends else None,
        attempts,
    )


def _explain_attempt(sent: Event, ends: list[Event], events: Sequence[Event]) -> AttemptTime:
    attempt = _read_attempt(sent)
    end = next((found for found in ends if _ends_attempt(found, sent, attempt)), None)
    owner_events = [event for event in events if event.call == attempt]
    started = _find_first(owner_events, {EventKind.DISPATCH_STARTED})
    finished = _find_first(owner_events, {EventKind.DISPATCH_FINISHED})
    return AttemptTime(
        attempt,
        sent.upstream,
        sent.monotonic_us,
        _measure(sent, end),
        _measure(started, finished),
        end.kind.name if end else "",
    )


def _ends_attempt(end: Event, sent: Event, attempt: str) -> bool:
    named = _read_attempt(end)
    if named and attempt:
        return named == attempt
    return end.upstream == sent.upstream and end.monotonic_us >= sent.monotonic_us


def _is_sent(event: Event, call: str) -> bool:
    return event.kind is EventKind.ATTEMPT_SENT and event.call == call


def _read_attempt(event: Event) -> str:
    found = _ATTEMPT.search(event.detail)
    return found[0] if found else ""


def _find_first(events: Iterable[Event], kinds: set[EventKind]) -> Event | None:
    return next((event for event in events if event.kind in kinds), None)


def _measure(start: Event | None, end: Event | None) -> int | None:
    # The monotonic clocks of two processes, or of two runs of one process, are not comparable.
    if start is None or end is None or start.instance != end.instance:
        return None
    return end.monotonic_us - start.monotonic_us
