"""Explain the outcome of a request in one sentence."""

import collections

from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.attempts.pace import SLOW_FACTOR
from bendwind_core.core import Milliseconds
from bendwind_core.timeline.facts import CallFacts, DispatchFacts, RefusalFacts
from bendwind_core.timeline.request_trace import RequestTrace, Step

# A stage counts as a cause of a late answer if it took more than this share of the latency
# objective.
_LARGE_SHARE = 0.4
_SERVER_ERROR = 500

_CAUSES_WITHOUT_ATTEMPT = {
    "no-route": "no route of the configuration in force covers its host and path",
    "unknown-service": "no service of this name is in force",
    "stale": "the node had no configuration, or no proof that it was the newest",
    "over-quota": "its customer had sent more than its quota",
    "quota-unknown": "no voter answered whether its customer's quota permits it",
    "overloaded": "the node or the service had as many calls in flight as it may have",
    "body-too-large": "its body is over the limit",
    "headers-too-large": "its headers are over the limit",
    "request-timeout": "its body was not received completely in time",
}


def diagnose(trace: RequestTrace) -> str:
    """Return the most likely cause of the outcome, based on the available log lines."""
    if trace.end is None:
        return (
            "no line of an entry node was found: the request did not arrive, its process ended "
            "before the call did, or logs are missing"
        )
    facts = trace.end.facts
    if not facts.attempts:
        return _diagnose_without_attempts(trace.end.detail)
    if trace.end.detail.startswith("not-run"):
        return _diagnose_refusals(trace.steps)
    if trace.end.detail.startswith("caller gone"):
        return "the caller went away before an answer came"
    if trace.end.detail == "answered":
        return _diagnose_answer(trace.steps[-1], facts)
    return _diagnose_unknown(_find_last_sent(trace.steps))


def _diagnose_without_attempts(detail: str) -> str:
    reason = detail.rpartition(": ")[2]
    return _CAUSES_WITHOUT_ATTEMPT.get(reason, f"no upstream for it was known ({detail})")


def _diagnose_refusals(steps: tuple[Step, ...]) -> str:
    counts = collections.Counter(_classify_refusal(step) for step in steps)
    listed = ", ".join(f"{count} {reason}" for reason, count in counts.most_common())
    return f"no upstream ran it: of {len(steps)} attempts, {listed}"


def _classify_refusal(step: Step) -> str:
    facts = step.owner.facts if step.owner else None
    if not isinstance(facts, RefusalFacts):
        return f"ended {step.attempt.end}"
    if facts.signature:
        return f"refused ({step.owner.detail}) since upstreams had ended under it"
    if facts.limit_per_s is not None and step.owner.detail == NotRunReason.LIMITED:
        return f"refused by the limit of its upstream, {facts.limit_per_s:g} a second"
    if facts.slow_factor >= SLOW_FACTOR:
        return "refused by an upstream that was slowed and would have answered late"
    if facts.running < (facts.limit or facts.slots) and not facts.waiting:
        return f"refused ({step.owner.detail}) although its upstream had free slots"
    return f"refused ({step.owner.detail}) by an upstream with its slots taken"


def _find_last_sent(steps: tuple[Step, ...]) -> Step:
    """Return the last attempt that no owner refused, which is the attempt that may have run."""
    sent = [
        step for step in steps if step.owner is None or isinstance(step.owner.facts, DispatchFacts)
    ]
    return sent[-1] if sent else steps[-1]


def _diagnose_unknown(step: Step) -> str:
    if step.owner is None or not isinstance(step.owner.facts, DispatchFacts):
        return (
            f"its last attempt, at {step.attempt.upstream}, ended {step.attempt.end}, and the "
            "owner node logged no end of it: it was killed, cut off, or its log is missing"
        )
    return f"its last attempt ran {step.owner.facts.ms} ms and ended {step.owner.detail}"


def _diagnose_answer(step: Step, facts: CallFacts) -> str:
    if facts.status >= _SERVER_ERROR:
        return f"the upstream itself answered {facts.status}"
    if facts.target_ms is None or facts.ms <= facts.target_ms:
        return "answered in time"
    return (
        f"answered {facts.ms - facts.target_ms:.1f} ms late: {_find_delay(step, facts.target_ms)}"
    )


def _find_delay(step: Step, target_ms: Milliseconds) -> str:
    large = _LARGE_SHARE * target_ms
    causes = []
    if step.attempt.sent_ms > large:
        causes.append(f"{step.attempt.sent_ms} ms went into earlier attempts")
    dispatch = step.owner.facts if step.owner else None
    if isinstance(dispatch, DispatchFacts):
        if dispatch.waited_ms > large:
            causes.append(f"it waited {dispatch.waited_ms} ms for a slot")
        if dispatch.ms > large:
            causes.append(_describe_run(dispatch))
    return "; ".join(causes) or "no single part of its time stands out"


def _describe_run(dispatch: DispatchFacts) -> str:
    if dispatch.slow_factor >= SLOW_FACTOR:
        pace = f"which had reported work to take {dispatch.slow_factor:g} times as long as usual"
    elif dispatch.report_age_ms is None:
        pace = "which had never reported its pace"
    else:
        pace = f"which had reported its usual pace {dispatch.report_age_ms} ms before"
    return f"it took {dispatch.ms} ms in the upstream, {pace}"
