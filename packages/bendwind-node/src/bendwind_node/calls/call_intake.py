"""Admit one request: read its deadline, key and body within limits."""

import math

import trio
from expression import Error, Ok, Result

from bendwind_core.admission import CallerTime, RequestIdentity, pop_first_arrived_at
from bendwind_core.attempts import Header, NotRunReason
from bendwind_core.attempts.call import create_call
from bendwind_core.claims import fingerprint_request
from bendwind_core.claims.messages import MAX_KEY_CHARACTERS
from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.limits import acquire_call, release_call
from bendwind_core.world import Repeat, Rule, Service
from bendwind_node.calls import headers as names
from bendwind_node.calls import outcomes
from bendwind_node.calls.body_flow import ByteBudget
from bendwind_node.calls.call_facts import find_request_id
from bendwind_node.calls.call_run import CallRun
from bendwind_node.calls.caller_exchange import CallerExchange, CallerRequest
from bendwind_node.calls.entry_node import EntryNode
from bendwind_node.calls.refusal import Refusal
from bendwind_node.calls.request_resolver import RequestResolver, ResolvedRequest

_BODY_TOO_LARGE = Refusal(413, outcomes.REFUSED, "body-too-large")
_HEADERS_TOO_LARGE = Refusal(431, outcomes.REFUSED, "headers-too-large")
_BODY_TOO_SLOW = Refusal(408, outcomes.REFUSED, "request-timeout")
# Shared results: creating one takes about 7 microseconds, and most calls have neither key nor body.
_NO_KEY: Result[str, Refusal] = Ok("")
_EMPTY: Result[bytes, Refusal] = Ok(b"")
# CONNECT requests a tunnel, which no upstream supports. An answer to TRACE repeats the request with
# everything that was added to it on the way (RFC 9110, 9.3.6 and 9.3.8).
_UNSUPPORTED_METHODS = frozenset({"CONNECT", "TRACE"})
_METHOD_NOT_SERVED = Refusal(501, outcomes.REFUSED, "method-not-served")


class CallIntake:
    """Admit the requests that one process receives."""

    __slots__ = (
        "budget",
        "entry",
        "in_flight",
        "max_body_bytes",
        "max_header_bytes",
        "max_in_flight",
        "resolver",
    )

    def __init__(
        self,
        entry: EntryNode,
        max_in_flight: int,
        max_header_bytes: int,
        max_body_bytes: int,
        budget: ByteBudget,
    ):
        self.entry = entry
        self.resolver = RequestResolver(entry)
        self.max_in_flight = max_in_flight
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.budget = budget
        self.in_flight = 0

    async def admit_request(
        self, exchange: CallerExchange, call_id: str
    ) -> Result[CallRun, Refusal]:
        """Read a request whole; the calling code returns the bytes of its body to the budget."""
        arrived_at = trio.current_time()
        if self.in_flight > self.max_in_flight:
            return Error(Refusal.not_run(NotRunReason.OVERLOADED))
        if exchange.request.method in _UNSUPPORTED_METHODS:
            return Error(_METHOD_NOT_SERVED)
        if self._is_head_too_large(exchange.request):
            return Error(_HEADERS_TOO_LARGE)
        found = await self.resolver.resolve(exchange.request)
        if found.is_error():
            return found
        target = found.ok
        service = target.service
        share = self.entry.share
        self.entry.find_or_create_service_state(service)
        if not acquire_call(share, service.name, service.limits.in_flight_per_entry):
            return Error(Refusal.not_run(NotRunReason.OVERLOADED))
        taken: Result[CallRun, Refusal] = Error(_BODY_TOO_SLOW)
        try:
            taken = await self._read_request(exchange, call_id, target, arrived_at)
        finally:
            if taken.is_error():
                release_call(share, service.name)
        return taken

    def _is_head_too_large(self, request: CallerRequest) -> bool:
        stated = self.entry.routes.routing.limits.header_bytes
        limit = self.max_header_bytes if stated is None else stated
        return names.measure_head(request.method, request.target, request.headers) > limit

    async def _read_request(
        self, exchange: CallerExchange, call_id: str, target: ResolvedRequest, arrived_at: Seconds
    ) -> Result[CallRun, Refusal]:
        request = exchange.request
        service, rule = target.service, target.rule
        key = _read_key(request.headers, service, rule)
        if key.is_error():
            return key
        stated = names.find_header(request.headers, self.entry.dialect.timeout_ms)
        timeout_ms = _read_timeout_ms(stated, service, rule)
        if timeout_ms.is_error():
            return timeout_ms
        longest_ms = rule.longest_wait_ms or service.longest_wait_ms
        deadline_at = arrived_at + min(timeout_ms.ok, longest_ms) / MILLISECONDS_PER_SECOND
        span = self._find_caller_time(request, rule, arrived_at, timeout_ms.ok)
        limit = self._find_body_limit(service)
        if request.may_have_body:
            body = await self._read_body_until(exchange, limit, deadline_at)
        else:
            # There is nothing to wait for, and for most calls a cancel scope would take longer than
            # everything else here.
            body = await self._read_body(exchange, limit)
        return body.map(
            lambda whole: self._create_run(
                request, call_id, target, arrived_at, span, deadline_at, key.ok, whole
            )
        )

    def _find_caller_time(
        self, request: CallerRequest, rule: Rule, arrived_at: Seconds, timeout_ms: Milliseconds
    ) -> CallerTime:
        """Return when the caller first sent the request and when its time ends."""
        timeout_at = arrived_at + timeout_ms / MILLISECONDS_PER_SECOND
        if rule.target_latency_ms is None or not math.isfinite(timeout_at):
            return CallerTime(arrived_at, timeout_at)
        asked = RequestIdentity(rule.name, request.method, request.target)
        # The time counts from the first arrival: otherwise callers that retry displace new callers,
        # whose answers could still be in time.
        return CallerTime(
            pop_first_arrived_at(self.entry.refused_callers, asked, arrived_at, timeout_at),
            timeout_at,
        )

    def _find_body_limit(self, service: Service) -> int:
        stated = self.entry.routes.routing.limits.body_bytes
        if stated is not None and service.routed_only:
            return min(self.max_body_bytes, stated)
        return min(self.max_body_bytes, service.limits.body_bytes)

    def _create_run(
        self,
        request: CallerRequest,
        call_id: str,
        target: ResolvedRequest,
        arrived_at: Seconds,
        span: CallerTime,
        deadline_at: Seconds,
        key: str,
        body: bytes,
    ) -> CallRun:
        service, rule, customer = target.service, target.rule, target.customer
        budget = self.entry.find_or_create_service_state(service).budget
        target_at = None
        if rule.target_latency_ms is not None:
            target_at = span.first_arrived_at + rule.target_latency_ms / MILLISECONDS_PER_SECOND
        call = create_call(
            call_id,
            service,
            rule,
            deadline_at,
            self.entry.ids,
            budget,
            has_key=bool(key),
            target_at=target_at,
            rank=None if customer is None else customer.rank,
            customer="" if customer is None else customer.name,
            near=self.entry.own.data_centre if service.near_first else "",
        )
        headers = self._make_headers(request, call.customer)
        run = CallRun(
            call,
            self.entry.apply,
            request.method,
            request.target,
            headers,
            body,
            arrived_at,
            find_request_id(request.headers, self.entry.dialect),
            span=span,
            basis=target.basis,
        )
        if call.has_key:
            run.key = _scope_key(call.customer, key)
            run.fingerprint = fingerprint_request(request.method, request.target, body)
        return run

    def _make_headers(self, request: CallerRequest, customer: str) -> tuple[Header, ...]:
        dialect = self.entry.dialect
        kept = names.keep_request_headers(request.headers, dialect.not_forwarded)
        if customer and dialect.customer is not None:
            kept = (*kept, (dialect.customer, customer.encode()))
        if dialect.origin_service is None:
            return (*kept, names.VIA)
        return (*kept, (dialect.origin_service, self.entry.find_origin().encode()))

    async def _read_body_until(
        self, exchange: CallerExchange, limit: int, deadline_at: Seconds
    ) -> Result[bytes, Refusal]:
        """Read the body of a request until its deadline, or until it could no longer begin."""
        stop_limit = self.entry.stop_limit
        with trio.CancelScope(deadline=stop_limit.find_read_end(deadline_at)) as scope:
            stop_limit.reading.add(scope)
            try:
                return await self._read_body(exchange, limit)
            finally:
                stop_limit.reading.discard(scope)
        if trio.current_time() < deadline_at:
            return Error(Refusal.not_run(NotRunReason.DRAINING))
        return Error(_BODY_TOO_SLOW)

    async def _read_body(self, exchange: CallerExchange, limit: int) -> Result[bytes, Refusal]:
        length = names.find_header(exchange.request.headers, names.CONTENT_LENGTH)
        if length is not None and int(length) > limit:
            return Error(_BODY_TOO_LARGE)
        reading = _BodyBuffer(self.budget, limit)
        is_kept = False
        try:
            while (part := await exchange.receive_part()) is not None:
                refusal = reading.add(part)
                if refusal is not None:
                    return Error(refusal)
            is_kept = True
            return Ok(b"".join(reading.parts)) if reading.size else _EMPTY
        finally:
            if not is_kept:
                self.budget.release(reading.size)


class _BodyBuffer:
    """Hold the parts of a body that is being read."""

    __slots__ = ("budget", "limit", "parts", "size")

    def __init__(self, budget: ByteBudget, limit: int):
        self.budget = budget
        self.limit = limit
        self.parts: list[bytes] = []
        self.size = 0

    def add(self, part: bytes) -> Refusal | None:
        """Add a part; return a refusal if the body exceeds its limit or the budget."""
        if self.size + len(part) > self.limit:
            return _BODY_TOO_LARGE
        if not self.budget.reserve(len(part)):
            return Refusal.not_run(NotRunReason.OVERLOADED)
        self.parts.append(part)
        self.size += len(part)
        return None


def _scope_key(customer: str, key: str) -> str:
    # Customers choose their keys independently, so equal keys of two customers must differ here. A
    # header value contains no line break, so no caller can forge the key of another customer.
    return f"{customer}\n{key}" if customer else key


def _read_timeout_ms(
    stated: bytes | None, service: Service, rule: Rule
) -> Result[Milliseconds, Refusal]:
    """Return the timeout that the caller states, or else the longest that its rule permits."""
    if stated is None:
        return Ok(rule.longest_wait_ms or service.longest_wait_ms)
    try:
        timeout_ms = float(stated)
    except ValueError:
        timeout_ms = math.nan
    if not timeout_ms > 0:
        return Error(Refusal(400, outcomes.REFUSED, "bad-timeout"))
    return Ok(timeout_ms)


def _read_key(headers: tuple, service: Service, rule: Rule) -> Result[str, Refusal]:
    if service.routed_only:
        # Routes have no keys, and their services no claim group: the header is only forwarded.
        return _NO_KEY
    key = (names.find_header(headers, names.IDEMPOTENCY_KEY) or b"").decode("latin-1")
    if len(key) > MAX_KEY_CHARACTERS:
        return Error(Refusal(400, outcomes.REFUSED, "key-too-long"))
    if rule.key_required and rule.repeat is Repeat.NEVER and not key:
        return Error(Refusal(400, outcomes.REFUSED, "key-missing"))
    return Ok(key) if key else _NO_KEY
