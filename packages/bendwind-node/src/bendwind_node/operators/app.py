"""Route the requests of the operators' HTTP API."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bendwind_core.plans import DrainTarget
from bendwind_core.quotas import VoterQuotas
from bendwind_core.suspicion import SuspectTable
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.http import serve_lifespan
from bendwind_node.operators.authority import OperatorAuthority
from bendwind_node.operators.claim_routes import ClaimRoutes
from bendwind_node.operators.control_client import ControlClient
from bendwind_node.operators.customer_routes import CustomerRoutes
from bendwind_node.operators.errors import ErrorKind, plain_error
from bendwind_node.operators.evacuation_routes import EvacuationRoutes
from bendwind_node.operators.http import (
    BodyTooLarge,
    Receive,
    Request,
    Response,
    Scope,
    Send,
    json_response,
    read_body,
    read_head,
    send_response,
)
from bendwind_node.operators.plan_routes import PlanRoutes
from bendwind_node.operators.quota_routes import make_quotas_response
from bendwind_node.operators.revision_routes import RevisionRoutes
from bendwind_node.operators.status_routes import StatusRoutes
from bendwind_node.operators.status_source import StatusSource
from bendwind_node.operators.suspect_routes import SuspectRoutes
from bendwind_node.operators.views import StoppingView, make_catalogue_view

_DRAIN_TARGETS = {"instances": DrainTarget.INSTANCE, "upstreams": DrainTarget.UPSTREAM}
_CONTROL_PATHS = frozenset(
    {
        "plans",
        "configuration",
        "customers",
        "instances",
        "upstreams",
        "services",
        "revision",
        "data-centres",
    }
)

_NOT_A_VOTER_DETAIL = "this process keeps no configuration; ask a voter"


@dataclass(slots=True)
class OperatorsApp:
    """Serve the operators' API as an ASGI application.

    `control` is None on a process that is not a voter. `suspects` holds the requests that the
    process suspects of ending upstreams, and `quotas` the state of customers' quotas at a voter.
    `request_stop` starts a planned stop and returns immediately. `render_metrics` receives the
    Accept header.
    """

    control: ControlClient | None
    source: StatusSource
    recorder: Recorder
    authority: OperatorAuthority
    wall_ms: Callable[[], int]
    request_stop: Callable[[], None]
    render_metrics: Callable[[str], Response]
    suspects: SuspectTable = field(default_factory=SuspectTable)
    quotas: VoterQuotas | None = None
    plans: PlanRoutes | None = field(init=False)
    claims: ClaimRoutes | None = field(init=False)
    customers: CustomerRoutes | None = field(init=False)
    revisions: RevisionRoutes | None = field(init=False)
    evacuations: EvacuationRoutes | None = field(init=False)
    status: StatusRoutes = field(init=False)

    def __post_init__(self):
        self.status = StatusRoutes(self.control, self.source, self.recorder)
        self.plans = self.claims = self.revisions = self.evacuations = self.customers = None
        if self.control is not None:
            self.plans = PlanRoutes(self.control, self.source, self.recorder, self.wall_ms)
            self.claims = ClaimRoutes(self.control, self.source, self.recorder, random.Random())
            self.customers = CustomerRoutes(self.control)
            self.revisions = RevisionRoutes(self.control, self.recorder)
            self.evacuations = EvacuationRoutes(self.control, self.source, self.recorder)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection."""
        match scope["type"]:
            case "http":
                await self._serve(scope, receive, send)
            case "lifespan":
                await serve_lifespan(receive, send)

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        head = read_head(scope)
        if not self.authority.is_allowed(head.headers.get("authorization", "")):
            self._record_refusal(scope, head)
            await send_response(send, plain_error(401, ErrorKind.REFUSED))
            return
        body = await read_body(receive)
        if body.is_ok():
            request = Request(head.method, head.path, head.query, head.headers, body.ok)
            await send_response(send, await self.answer(request))
        elif isinstance(body.error, BodyTooLarge):
            await send_response(send, plain_error(413, ErrorKind.TOO_LARGE, "at most 2 MiB"))

    def _record_refusal(self, scope: Scope, head: Request) -> None:
        client = scope.get("client") or ("unknown",)
        detail = f"{head.method} /{'/'.join(head.path)} from {client[0]}"
        self.recorder.record(EventKind.OPERATOR_REFUSED, detail=detail)

    async def answer(self, request: Request) -> Response:
        """Return the response to an authorised request."""
        match request.path:
            case ("metrics",):
                return self._answer_metrics(request)
            case ("v1", "suspects", *rest):
                return self._answer_suspects(request, tuple(rest))
            case ("v1", "quotas"):
                return self._answer_quotas(request)
            case ("v1", "events" | "timeline" | "status" | "stop" as name):
                return await self._answer_process(request, name)
            case ("v1", name, *rest) if name in _CONTROL_PATHS:
                if self.plans is None:
                    return plain_error(404, ErrorKind.NOT_A_VOTER, _NOT_A_VOTER_DETAIL)
                if name == "services":
                    return await self._answer_claims(request, tuple(rest))
                if name == "customers":
                    return await self._answer_customers(request, tuple(rest))
                if name == "revision":
                    return await self._answer_revision(request, tuple(rest))
                if name == "data-centres":
                    return await self._answer_evacuation(request, tuple(rest))
                return await _answer_control(self.plans, request, (name, *rest))
        return plain_error(404, ErrorKind.NOT_FOUND)

    async def _answer_claims(self, request: Request, path: tuple[str, ...]) -> Response:
        assert self.claims is not None
        match request.method, path:
            case "POST", (service, "accept-claim-loss"):
                return await self.claims.accept_loss(service)
            case _, (_, "accept-claim-loss"):
                return _refuse_method()
        return plain_error(404, ErrorKind.NOT_FOUND)

    def _answer_suspects(self, request: Request, path: tuple[str, ...]) -> Response:
        routes = SuspectRoutes(self.suspects, self.recorder)
        match request.method, path:
            case "GET", ():
                return routes.get_suspects()
            case "POST", (signature, "release"):
                return routes.release(signature)
            case _, () | (_, "release"):
                return _refuse_method()
        return plain_error(404, ErrorKind.NOT_FOUND)

    def _answer_quotas(self, request: Request) -> Response:
        if self.quotas is None:
            return plain_error(404, ErrorKind.NOT_A_VOTER, _NOT_A_VOTER_DETAIL)
        return make_quotas_response(self.quotas) if request.method == "GET" else _refuse_method()

    async def _answer_evacuation(self, request: Request, path: tuple[str, ...]) -> Response:
        assert self.evacuations is not None
        match request.method, path:
            case "POST" | "DELETE", (name, "evacuation"):
                return await self.evacuations.mark(name, evacuated=request.method == "POST")
            case _, (_, "evacuation"):
                return _refuse_method()
        return plain_error(404, ErrorKind.NOT_FOUND)

    async def _answer_customers(self, request: Request, path: tuple[str, ...]) -> Response:
        assert self.customers is not None
        match request.method, path:
            case "GET", ():
                return await self.customers.get_customers()
            case _, ():
                return _refuse_method()
        return plain_error(404, ErrorKind.NOT_FOUND)

    async def _answer_revision(self, request: Request, path: tuple[str, ...]) -> Response:
        assert self.revisions is not None
        match request.method, path:
            case "PUT", ():
                return await self.revisions.put(request)
            case "GET", ():
                return await self.revisions.get()
            case _, ():
                return _refuse_method()
        return plain_error(404, ErrorKind.NOT_FOUND)

    def _answer_metrics(self, request: Request) -> Response:
        if request.method != "GET":
            return _refuse_method()
        return self.render_metrics(request.headers.get("accept", ""))

    async def _answer_process(self, request: Request, name: str) -> Response:
        match request.method, name:
            case "GET", "status":
                return await self.status.get_status()
            case "GET", "timeline":
                return self.status.get_timeline(request)
            case "GET", "events":
                return json_response(200, make_catalogue_view())
            case "POST", "stop":
                self.request_stop()
                return json_response(202, StoppingView(self.source.process().name))
        return _refuse_method()


async def _answer_control(plans: PlanRoutes, request: Request, path: tuple[str, ...]) -> Response:
    match request.method, path:
        case "POST", ("plans",):
            return await plans.create_plan(request)
        case "GET", ("plans",):
            return await plans.list_plans()
        case "GET", ("plans", plan_id):
            return await plans.get_plan(plan_id)
        case "POST", ("plans", plan_id, "confirm"):
            return await plans.confirm_plan(plan_id)
        case "GET", ("configuration",):
            return await plans.get_configuration()
        case "POST" | "DELETE", ("instances" | "upstreams" as kind, name, "drain"):
            return await plans.mark_draining(_DRAIN_TARGETS[kind], name, request.method == "POST")
    is_route = _is_control_route(path)
    return _refuse_method() if is_route else plain_error(404, ErrorKind.NOT_FOUND)


def _is_control_route(path: tuple[str, ...]) -> bool:
    match path:
        case ("plans",) | ("plans", _) | ("plans", _, "confirm") | ("configuration",):
            return True
        case ("instances" | "upstreams", _, "drain"):
            return True
    return False


def _refuse_method() -> Response:
    return plain_error(405, ErrorKind.METHOD_NOT_ALLOWED)
