"""Record how attempts ended, in the upstream table of their entry node and on the time line."""

import trio

from bendwind_core.attempts import AnswerHead, NotRun, Unknown
from bendwind_core.routing import (
    record_attempt_answered,
    record_attempt_not_run,
    record_attempt_unknown,
)
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Upstream
from bendwind_node.calls.call_run import CallRun
from bendwind_node.calls.upstream_choice import ServiceState


def record_answer(
    service_state: ServiceState,
    recorder: Recorder,
    run: CallRun,
    upstream: Upstream,
    head: AnswerHead,
) -> None:
    """Record the head of an attempt's answer."""
    record_attempt_answered(
        service_state.table,
        upstream.name,
        head.attempt,
        trio.current_time(),
        head.status,
        head.load,
    )
    recorder.record(
        EventKind.ATTEMPT_ANSWERED,
        call=run.call.call_id,
        upstream=upstream.name,
        detail=str(head.status),
    )


def record_not_run(
    service_state: ServiceState,
    recorder: Recorder,
    run: CallRun,
    upstream: Upstream,
    proof: NotRun,
) -> None:
    """Record that an attempt did not run, and whether its owner took it for an inner call."""
    record_attempt_not_run(
        service_state.table,
        upstream.name,
        proof.attempt,
        trio.current_time(),
        proof.reason,
        proof.load,
    )
    run.is_inner = run.is_inner or proof.is_inner
    recorder.record(
        EventKind.ATTEMPT_NOT_RUN,
        call=run.call.call_id,
        upstream=upstream.name,
        detail=proof.reason,
    )


def record_unknown(
    service_state: ServiceState,
    recorder: Recorder,
    run: CallRun,
    upstream: Upstream,
    loss: Unknown,
) -> None:
    """Record that the answer to an attempt is lost or cut off."""
    record_attempt_unknown(service_state.table, upstream.name, loss.attempt, trio.current_time())
    recorder.record(
        EventKind.ATTEMPT_UNKNOWN,
        call=run.call.call_id,
        upstream=upstream.name,
        detail=loss.reason,
    )
