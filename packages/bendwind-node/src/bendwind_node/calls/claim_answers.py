"""Keep the answer of a call with an idempotency key, for the record of its claim."""

from bendwind_core.attempts import AttemptId
from bendwind_core.attempts import events as ev
from bendwind_core.claims import ClaimAnswer, ClaimState
from bendwind_core.claims.messages import MAX_KEPT_ANSWER_BYTES
from bendwind_node.calls.call_run import CallRun


def keep_answer_part(run: CallRun, attempt: AttemptId) -> None:
    """Keep the part just accepted: the claim's record needs it after the caller received it."""
    if run.key and sum(map(len, run.kept_parts)) <= MAX_KEPT_ANSWER_BYTES:
        run.kept_parts.append(run.incoming[attempt, run.call.next_part - 1].data)


def describe_claim(run: CallRun, outcome: ev.ClaimOutcome) -> tuple[ClaimState, ClaimAnswer | None]:
    """Return the state of a finished call's claim, and the answer if it is short enough to keep."""
    if outcome is not ev.ClaimOutcome.ANSWERED or run.call.winner is None:
        return ClaimState.UNKNOWN, None
    head = run.heads[run.call.winner.id]
    body = head.body + b"".join(run.kept_parts)
    if len(body) > MAX_KEPT_ANSWER_BYTES:
        return ClaimState.NOT_KEPT, None
    return ClaimState.ANSWERED, ClaimAnswer(head.status, head.headers, body)
