"""Find the service of a request, the rule that applies to it and the customer that sends it."""

import msgspec
import trio
from expression import Error, Ok, Result

from bendwind_core.attempts import NotRunReason
from bendwind_core.core import Seconds
from bendwind_core.membership.registration import MAX_WATCHED
from bendwind_core.routing import choose_part, find_route
from bendwind_core.world import Customer, Rule, Service, StaleAction, find_rule
from bendwind_node.calls import headers as names
from bendwind_node.calls import outcomes
from bendwind_node.calls.authentication import authenticate
from bendwind_node.calls.caller_exchange import CallerRequest
from bendwind_node.calls.entry_node import EntryNode
from bendwind_node.calls.refusal import Refusal
from bendwind_node.membership import ConfigurationBasis

SERVICE_WAIT: Seconds = 2.0
SERVICE_POLL: Seconds = 0.01
FIRST_CONFIRMATION_WAIT: Seconds = 2.0
# The route of a request is looked up without waiting, but the configuration of its service may not
# have arrived at this node yet.
ROUTED_SERVICE_WAIT: Seconds = 0.25

_UNKNOWN_SERVICE = Refusal(404, outcomes.REFUSED, "unknown-service")
_NO_ROUTE = Refusal(404, outcomes.REFUSED, "no-route")


class ResolvedRequest(msgspec.Struct, frozen=True):
    """Hold a request's service, the rule that applies to it and its customer.

    `basis` is the configuration that these were taken from.
    """

    service: Service
    rule: Rule
    customer: Customer | None = None
    basis: ConfigurationBasis = ConfigurationBasis()


class RequestResolver:
    """Resolve the requests that one process receives, by the configuration in force."""

    __slots__ = ("entry",)

    def __init__(self, entry: EntryNode):
        self.entry = entry

    async def resolve(self, request: CallerRequest) -> Result[ResolvedRequest, Refusal]:
        """Find the service, rule and customer of a request, or why it is refused."""
        find = (
            self._resolve_by_route if self.entry.routes.by_host else self._resolve_by_service_name
        )
        found = await find(request)
        refuses_stale = found.is_ok() and found.ok.service.on_stale is StaleAction.REFUSE
        if refuses_stale and not self.entry.membership.is_fresh():
            return Error(Refusal.not_run(NotRunReason.STALE))
        return found

    async def _resolve_by_service_name(
        self, request: CallerRequest
    ) -> Result[ResolvedRequest, Refusal]:
        """Resolve a request by the service that it names."""
        if self.entry.dialect.service is None:
            # If callers cannot name a service, only routes lead to one.
            return Error(self._refuse_if_fresh(_UNKNOWN_SERVICE))
        # Authentication comes after the wait for the service: only the rules of the service state
        # whether a key is needed, and a node without a configuration learns the keys in this wait.
        service = await self._find_service(request.headers)
        basis = self.entry.membership.read_basis()
        rule = None if service is None else find_rule(service, request.method, request.path)
        authenticated = self._authenticate(request, is_open=rule is not None and rule.is_open)
        if authenticated.is_error():
            return authenticated
        if rule is None or service.routed_only:
            return Error(self._refuse_if_fresh(_UNKNOWN_SERVICE))
        return Ok(ResolvedRequest(service, rule, authenticated.ok, basis))

    def _refuse_if_fresh(self, refusal: Refusal) -> Refusal:
        """Return the refusal if the configuration is fresh, otherwise a refusal as stale."""
        # A node without proof of freshness does not know what the newest configuration contains.
        is_fresh = self.entry.membership.is_fresh()
        return refusal if is_fresh else Refusal.not_run(NotRunReason.STALE)

    async def _resolve_by_route(self, request: CallerRequest) -> Result[ResolvedRequest, Refusal]:
        """Resolve a request by the routes; wait briefly for a service that is not known yet."""
        table = self.entry.routes
        basis = self.entry.membership.read_basis()
        route = find_route(table, names.find_host(request.headers), request.path)
        if route is None:
            return Error(self._refuse_if_fresh(_NO_ROUTE))
        authenticated = self._authenticate(request, is_open=route.is_open)
        if authenticated.is_error():
            return authenticated
        name = choose_part(table, route, self.entry.rng)
        membership = self.entry.membership
        service = membership.services.get(name)
        if service is None:
            membership.watch(name)
            with trio.move_on_after(ROUTED_SERVICE_WAIT):
                while name in membership.view.pending:
                    await trio.sleep(SERVICE_POLL)
            service = membership.services.get(name)
        if service is None:
            return Error(Refusal.not_run(NotRunReason.STALE))
        return Ok(ResolvedRequest(service, route.rule, authenticated.ok, basis))

    def _authenticate(
        self, request: CallerRequest, *, is_open: bool
    ) -> Result[Customer | None, Refusal]:
        entry = self.entry
        authenticated = authenticate(
            entry.membership.customers, request.headers, entry.dialect, is_open=is_open
        )
        if authenticated.is_ok():
            return authenticated
        refusal = self._refuse_if_fresh(authenticated.error)
        if refusal is authenticated.error:
            entry.unknown_keys += 1
        return Error(refusal)

    async def _find_service(self, headers: tuple) -> Service | None:
        name = self._find_service_name(headers)
        membership = self.entry.membership
        if not name:
            return None
        await self._wait_first_confirmation()
        service = membership.services.get(name)
        if service is not None:
            return service
        if len(membership.view.cache.watched) >= MAX_WATCHED:
            return None
        membership.watch(name)
        with trio.move_on_after(SERVICE_WAIT):
            while name in membership.view.pending:
                await trio.sleep(SERVICE_POLL)
        return membership.services.get(name)

    async def _wait_first_confirmation(self) -> None:
        """Wait until a node that has just started has received the configuration."""
        view = self.entry.membership.view
        if view.confirmed_at is not None:
            return
        with trio.move_on_after(FIRST_CONFIRMATION_WAIT):
            while view.confirmed_at is None:
                await trio.sleep(SERVICE_POLL)

    def _find_service_name(self, headers: tuple) -> str:
        dialect = self.entry.dialect
        named = names.find_header(headers, dialect.service)
        if named is not None:
            return named.decode("latin-1")
        host = names.find_host(headers)
        for service in self.entry.membership.services.values():
            if host in service.hosts:
                return service.name
        return host
