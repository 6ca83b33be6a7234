"""Gather and render every metric of a process."""

from collections.abc import Iterator

from bendwind_core.timeline import Recorder
from bendwind_node.daemon.dispatcher import Dispatcher
from bendwind_node.metrics import Metrics, Rendered, Sample
from bendwind_node.metrics.gather import (
    gather_calls,
    gather_node,
    gather_process,
    gather_timeline,
    gather_voter,
)


def render_metrics(tasks: Dispatcher, recorder: Recorder, accept: str) -> Rendered:
    """Render every metric in the format that an Accept header asks for."""
    return Metrics(lambda: _gather(tasks, recorder)).render(accept)


def _gather(tasks: Dispatcher, recorder: Recorder) -> Iterator[Sample]:
    yield from gather_timeline(recorder)
    yield from gather_calls(tasks.entry, tasks.owner)
    yield from gather_node(tasks.hub, tasks.membership, tasks.claims)
    if tasks.control is not None:
        yield from gather_voter(tasks.control)
    yield from gather_process()
