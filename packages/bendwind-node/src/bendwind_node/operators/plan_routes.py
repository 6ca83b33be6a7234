"""Answer the requests that submit intents, confirm plans and set drain marks."""

import hashlib
import uuid
from collections.abc import Callable

import msgspec
from expression import Error, Ok, Result

from bendwind_core.core import read_whole_number
from bendwind_core.plans import (
    Changes,
    Command,
    CommandFault,
    CommandResult,
    Confirmed,
    ConfirmPlan,
    CreatePlan,
    CustomerFault,
    DrainMarked,
    DrainTarget,
    Expired,
    Intent,
    MarkDraining,
    Plan,
    PlanCreated,
    Superseded,
    VersionMoved,
    apply_changes,
    compute_changes,
    find_customer_fault,
    parse_intent,
    parse_plan_id,
)
from bendwind_core.plans.results import UnknownPlan
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Configuration
from bendwind_node.operators.control_client import (
    ControlClient,
    ControlError,
    OutcomeUnknown,
    propose_command,
)
from bendwind_node.operators.errors import (
    ErrorBody,
    ErrorKind,
    command_error,
    control_error,
    describe_intent_error,
)
from bendwind_node.operators.http import Request, Response, json_response
from bendwind_node.operators.status_source import StatusSource
from bendwind_node.operators.views import (
    MarkView,
    PlansView,
    make_configuration_view,
    make_outcome_view,
    make_plan_view,
    summarize_plan,
)
from bendwind_node.operators.worker_thread import BYTES_PER_SERVICE, run_in_thread_if_large

DEFAULT_TTL_S = 900
MAX_TTL_S = 86_400
MAX_KEY_CHARACTERS = 128
# A plan is proposed at most this many times: it is computed again if another plan is confirmed
# in the meantime.
MAX_PROPOSAL_ATTEMPTS = 4
_MILLISECONDS_PER_SECOND = 1000


class PlanRequest(msgspec.Struct, frozen=True):
    """Hold a validated request for a plan; `base_version` None means the version in force."""

    intent: Intent
    key: str
    ttl_ms: int
    base_version: int | None


class PlanRoutes(msgspec.Struct):
    """Answer requests about plans on a control voter."""

    control: ControlClient
    source: StatusSource
    recorder: Recorder
    wall_ms: Callable[[], int]

    async def create_plan(self, request: Request) -> Response:
        """Create a plan from the intent in the body."""
        parsed = await run_in_thread_if_large(len(request.body), _read_plan_request, request)
        if parsed.is_error():
            self.recorder.record(EventKind.PLAN_REFUSED, detail=parsed.error.detail)
            return json_response(400, parsed.error)
        outcome = await self._propose_plan(parsed.ok)
        match outcome:
            case Result(tag="error", error=error):
                return self._report_failure(error)
            case Result(tag="ok", ok=PlanCreated(plan, is_resent)):
                if not is_resent:
                    detail = f"base version {plan.base_version}"
                    self.recorder.record(EventKind.PLAN_CREATED, plan=plan.id, detail=detail)
                return await self._make_plan_response(plan.id, 200 if is_resent else 201)
            case Result(tag="ok", ok=refusal):
                self.recorder.record(EventKind.PLAN_REFUSED, detail=str(refusal))
                return command_error(refusal)
        raise AssertionError(outcome)

    async def _propose_plan(
        self, plan_request: PlanRequest
    ) -> Result[CommandResult | CustomerFault, ControlError]:
        outcome = await self._propose_once(plan_request)
        for _ in range(MAX_PROPOSAL_ATTEMPTS - 1):
            if outcome.is_error() or not isinstance(outcome.ok, VersionMoved):
                break
            outcome = await self._propose_once(plan_request)
        return outcome

    async def _propose_once(
        self, plan_request: PlanRequest
    ) -> Result[CommandResult | CustomerFault, ControlError]:
        state = self.control.state
        if plan_request.base_version not in (None, state.configuration.version):
            # This voter may lag behind the log: changes must be computed from the given version.
            confirmed = await self.control.barrier()
            if confirmed.is_error():
                return Error(confirmed.error)
            version = state.configuration.version
            is_resent = state.plans.find_request(plan_request.key) is not None
            if plan_request.base_version != version and not is_resent:
                return Ok(VersionMoved(version, state.configuration_plan))
        command = self._build_command(plan_request)
        is_resent = state.plans.find_request(plan_request.key) is not None
        fault = None if is_resent else _find_customer_fault(state.configuration, command.changes)
        if fault is None:
            return await self._propose(command)
        # This voter may lag behind the log: the conflict may be with customers removed since.
        confirmed = await self.control.barrier()
        if confirmed.is_error():
            return Error(confirmed.error)
        if state.configuration.version != command.base_version:
            return Ok(VersionMoved(state.configuration.version, state.configuration_plan))
        return Ok(fault)

    def _build_command(self, plan_request: PlanRequest) -> CreatePlan:
        configuration = self.control.state.configuration
        changes = compute_changes(configuration, plan_request.intent)
        digest = hashlib.sha256(msgspec.msgpack.encode(plan_request.intent)).digest()
        return CreatePlan(
            plan_request.key,
            digest,
            configuration.version,
            changes,
            self.wall_ms(),
            plan_request.ttl_ms,
        )

    async def confirm_plan(self, plan_id: str) -> Response:
        """Confirm a plan and return its outcome."""
        index = parse_plan_id(plan_id)
        if index is None:
            return command_error(UnknownPlan(plan_id))
        outcome = await self._propose(ConfirmPlan(index, self.wall_ms()))
        match outcome:
            case Result(tag="error", error=error):
                return self._report_failure(error, plan_id)
            case Result(tag="ok", ok=Confirmed() as confirmed):
                detail = f"version {confirmed.version}"
                self.recorder.record(EventKind.PLAN_CONFIRMED, plan=plan_id, detail=detail)
                return json_response(200, make_outcome_view(confirmed))
            case Result(tag="ok", ok=Superseded() as superseded):
                detail = f"{superseded.plan} is in force as version {superseded.version}"
                self.recorder.record(EventKind.PLAN_LOST, plan=plan_id, detail=detail)
                return json_response(409, make_outcome_view(superseded))
            case Result(tag="ok", ok=Expired() as expired):
                self.recorder.record(EventKind.PLAN_LOST, plan=plan_id, detail="expired")
                return json_response(410, make_outcome_view(expired))
            case Result(tag="ok", ok=refusal):
                return command_error(refusal)
        raise AssertionError(outcome)

    async def get_plan(self, plan_id: str) -> Response:
        """Return a plan, as confirmed by a quorum."""
        confirmed = await self.control.barrier()
        if confirmed.is_error():
            return control_error(confirmed.error)
        return await self._make_plan_response(plan_id, 200)

    async def list_plans(self) -> Response:
        """Return every plan that is still stored, newest first."""
        confirmed = await self.control.barrier()
        if confirmed.is_error():
            return control_error(confirmed.error)
        plans = self.control.state.plans.list_newest_first()
        return json_response(200, PlansView(tuple(summarize_plan(plan) for plan in plans)))

    async def get_configuration(self) -> Response:
        """Return the configuration in force, as confirmed by a quorum."""
        confirmed = await self.control.barrier()
        if confirmed.is_error():
            return control_error(confirmed.error)
        return json_response(200, make_configuration_view(self.control.state))

    async def mark_draining(self, target: DrainTarget, name: str, draining: bool) -> Response:
        """Set or clear the drain mark of an instance or upstream."""
        outcome = await self._propose(MarkDraining(target, name, draining))
        match outcome:
            case Result(tag="error", error=error):
                return self._report_failure(error)
            case Result(tag="ok", ok=DrainMarked()):
                word = "set" if draining else "cleared"
                detail = f"{word} for {target} {name}"
                upstream = name if target is DrainTarget.UPSTREAM else ""
                self.recorder.record(EventKind.DRAIN_MARKED, upstream=upstream, detail=detail)
                version = self.control.state.configuration.version
                return json_response(200, MarkView(name, draining, version))
            case Result(tag="ok", ok=refusal):
                return command_error(refusal)
        raise AssertionError(outcome)

    async def _propose(self, command: Command) -> Result[CommandResult, ControlError]:
        return await propose_command(self.control, command)

    async def _make_plan_response(self, plan_id: str, status: int) -> Response:
        found = self.control.state.find_plan(plan_id)
        if not isinstance(found, Plan):
            return command_error(found)
        # Both are immutable, so that a thread may read them. An open plan is based on the
        # configuration in force.
        before, upstreams = self.control.state.configuration, tuple(self.source.upstreams())
        size = (len(found.changes.put) + len(found.changes.customers.put)) * BYTES_PER_SERVICE
        view = await run_in_thread_if_large(size, make_plan_view, found, before, upstreams)
        return json_response(status, view)

    def _report_failure(self, error: ControlError, plan_id: str = "") -> Response:
        if isinstance(error, OutcomeUnknown):
            detail = error.detail
            self.recorder.record(EventKind.PLAN_OUTCOME_UNKNOWN, plan=plan_id, detail=detail)
        elif isinstance(error, CommandFault):
            self.recorder.record(EventKind.COMMAND_REFUSED, plan=plan_id, detail=str(error))
        return control_error(error)


def _find_customer_fault(before: Configuration, changes: Changes) -> CustomerFault | None:
    """Find a conflict between the customers in an intent and those that it does not name."""
    if not changes.customers.put:
        return None
    return find_customer_fault(apply_changes(before, changes, before.version).customers)


def _read_plan_request(request: Request) -> Result[PlanRequest, ErrorBody]:
    ttl_s = _read_number(request, "expires_s", 1, MAX_TTL_S)
    base_version = _read_number(request, "base_version", 0, 2**62)
    for number in (ttl_s, base_version):
        if number.is_error():
            return Error(ErrorBody(ErrorKind.BAD_REQUEST, number.error))
    key = request.headers.get("idempotency-key", "") or uuid.uuid4().hex
    if len(key) > MAX_KEY_CHARACTERS or not key.isprintable():
        text = f"Idempotency-Key: expected at most {MAX_KEY_CHARACTERS} printable characters"
        return Error(ErrorBody(ErrorKind.BAD_REQUEST, text))
    intent = parse_intent(request.body, request.query.get("file", "intent"))
    if intent.is_error():
        return Error(describe_intent_error(intent.error))
    ttl_ms = (ttl_s.ok or DEFAULT_TTL_S) * _MILLISECONDS_PER_SECOND
    return Ok(PlanRequest(intent.ok, key, ttl_ms, base_version.ok))


def _read_number(
    request: Request, name: str, smallest: int, largest: int
) -> Result[int | None, str]:
    text = request.query.get(name)
    if text is None:
        return Ok(None)
    number = read_whole_number(text, largest)
    if number is None or number < smallest:
        return Error(f"{name}: expected a whole number from {smallest} to {largest}")
    return Ok(number)
