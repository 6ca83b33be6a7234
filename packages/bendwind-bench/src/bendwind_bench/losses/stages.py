"""Split the time of a call into stages."""

import msgspec

from bendwind_bench.losses.read import Logs, list_owner_lines
from bendwind_core.core import Milliseconds
from bendwind_core.timeline import AttemptFacts, CallFacts, DispatchFacts, LogLine

_NOT_RUN = "not-run"


class Stages(msgspec.Struct, frozen=True):
    """Hold the parts of a call's time.

    `choosing` is the time before and between attempts, `sent_back` the time of attempts that did
    not run. Of the attempt that ran, `waiting` is the time at its owner, `running` the time in the
    upstream, and `on_the_way` the rest.
    Units: milliseconds.
    """

    choosing: Milliseconds = 0.0
    on_the_way: Milliseconds = 0.0
    waiting: Milliseconds = 0.0
    sent_back: Milliseconds = 0.0
    running: Milliseconds = 0.0


def find_stages(call: LogLine, logs: Logs) -> Stages:
    """Split the time of a call from its arrival to its outcome."""
    facts: CallFacts = call.facts
    sent_back = sum(one.ms or 0.0 for one in facts.attempts if one.end.startswith(_NOT_RUN))
    ran = next((one for one in facts.attempts if not one.end.startswith(_NOT_RUN)), None)
    if ran is None:
        return Stages(choosing=max(0.0, facts.ms - sent_back), sent_back=sent_back)
    took = ran.ms if ran.ms is not None else facts.ms - ran.sent_ms
    dispatch = find_dispatch(call, ran, logs)
    waiting = min(took, dispatch.facts.waited_ms) if dispatch is not None else 0.0
    # The owner records the end a little after the answer, once the connection is back in the pool.
    running = min(took - waiting, dispatch.facts.ms) if dispatch is not None else 0.0
    choosing = max(0.0, facts.ms - sent_back - took)
    return Stages(choosing, took - waiting - running, waiting, sent_back, running)


def find_dispatch(call: LogLine, attempt: AttemptFacts, logs: Logs) -> LogLine | None:
    """Return the owner's line of an attempt that ran."""
    for line in list_owner_lines(call, logs):
        is_there = line.upstream == attempt.upstream
        if is_there and isinstance(line.facts, DispatchFacts):
            return line
    return None


__all__ = ["Stages", "find_dispatch", "find_stages"]
