"""Create, show and confirm plans, and accept the loss of claims."""

import uuid
from pathlib import Path
from urllib.parse import quote, urlencode

from expression import Error, Ok, Result

from bendwind_cli.client import Client
from bendwind_cli.commands import AcceptClaimLoss, MakePlan
from bendwind_cli.outcome import ExitCode, Failure
from bendwind_cli.replies import ClaimGroupReply, OutcomeReply, PlanReply
from bendwind_core.core import read_whole_number

_MILLISECONDS_PER_SECOND = 1000
# There may be thousands of customers, and the preceding lines already name each one that changes.
_MAX_NAMES_SHOWN = 20


def make_plan(client: Client, command: MakePlan) -> Result[str, Failure]:
    """Create a plan from the intent in a file and show it.

    Errors: an invalid file or intent, or no answer.
    """
    for name, value in (("base_version", command.base_version), ("expires_s", command.expires_s)):
        if value and read_whole_number(value) is None:
            return Error(Failure(ExitCode.USAGE, f"{name}: expected a whole number, got {value!r}"))
    try:
        intent = Path(command.file).read_bytes()
    except OSError as error:
        reason = f"{command.file}: expected a readable file: {error.strerror or error}"
        return Error(Failure(ExitCode.BAD_TOML, reason))
    query = {"file": command.file}
    if command.base_version:
        query["base_version"] = command.base_version
    if command.expires_s:
        query["expires_s"] = command.expires_s
    path = f"/v1/plans?{urlencode(query)}"
    # Because of this key, a resent request returns the plan that the first one created.
    return client.request_control("POST", path, PlanReply, intent, key=uuid.uuid4().hex).map(
        _render_plan
    )


def show(client: Client, plan: str) -> Result[str, Failure]:
    """Show a plan.

    Errors: an unknown plan, or no answer.
    """
    return client.request_control("GET", f"/v1/plans/{quote(plan, safe='')}", PlanReply).map(
        _render_plan
    )


def confirm(client: Client, plan: str) -> Result[str, Failure]:
    """Put a plan into force.

    Errors: an unknown, expired or superseded plan, or no answer.
    """
    path = f"/v1/plans/{quote(plan, safe='')}/confirm"
    return client.request_control("POST", path, OutcomeReply).bind(
        lambda outcome: _check_outcome(outcome, plan)
    )


def accept_loss(client: Client, command: AcceptClaimLoss) -> Result[str, Failure]:
    """Accept that the claims of a service are lost.

    Errors: claims that are not lost, or no answer.
    """
    path = f"/v1/services/{quote(command.service, safe='')}/accept-claim-loss"
    reply = client.request_control("POST", path, ClaimGroupReply)
    return reply.map(_render_group)


def _render_group(group: ClaimGroupReply) -> str:
    # A member has the form NAME#INCARNATION.
    names = ", ".join(member.partition("#")[0] for member in group.members)
    return f"{group.service}: claims start anew on {names}"


def _check_outcome(outcome: OutcomeReply, plan: str) -> Result[str, Failure]:
    match outcome.kind:
        case "confirmed":
            return Ok(f"{plan}: confirmed as version {outcome.version}")
        case "won-by":
            line = f"{plan}: not confirmed, {outcome.plan} came first as version {outcome.version}"
            return Error(Failure(ExitCode.LOST_RACE, line))
        case "expired":
            line = f"{plan}: expired, nothing was changed; make the plan again"
            return Error(Failure(ExitCode.UNKNOWN_PLAN, line))
        case kind:
            return Error(Failure(ExitCode.REFUSED, f"{plan}: {kind}"))


def _render_plan(plan: PlanReply) -> str:
    lines = [_render_title(plan), *(f"  {line}" for line in plan.lines)]
    if plan.state == "proposed" and not plan.lines:
        lines.append("  no change")
    lines += _render_affected(plan)
    if plan.state == "proposed":
        lines.append(f"nothing takes effect before: bendwind confirm {plan.id}")
    return "\n".join(lines)


def _render_title(plan: PlanReply) -> str:
    title = f"plan {plan.id}: {plan.state}, from version {plan.base_version}"
    if plan.outcome is not None and plan.outcome.kind == "won-by":
        return f"{title}, {plan.outcome.plan} came first as version {plan.outcome.version}"
    if plan.outcome is not None and plan.outcome.version is not None:
        return f"{title}, in force as version {plan.outcome.version}"
    if plan.state == "proposed":
        seconds = (plan.expires_ms - plan.created_ms) // _MILLISECONDS_PER_SECOND
        return f"{title}, to be confirmed within {seconds} s"
    return title


def _render_affected(plan: PlanReply) -> list[str]:
    named = (
        ("services", plan.affected.services),
        ("upstreams", plan.affected.upstreams),
        ("instances", plan.affected.instances),
        ("customers", plan.affected.customers[:_MAX_NAMES_SHOWN]),
    )
    return [f"affects {title}: {', '.join(names)}" for title, names in named if names]
