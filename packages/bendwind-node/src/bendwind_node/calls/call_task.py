"""Run one request of a caller from its arrival to its single final outcome."""

import trio
from expression import Result
from msgspec.structs import replace

from bendwind_core.attempts import events as ev
from bendwind_core.attempts.call import may_have_run
from bendwind_core.limits import release_call
from bendwind_core.timeline import CallFacts, EventKind
from bendwind_node.calls import outcomes
from bendwind_node.calls.call_delivery import Delivery
from bendwind_node.calls.call_facts import find_request_id, make_call_facts
from bendwind_node.calls.call_intake import CallIntake
from bendwind_node.calls.call_run import CallRun
from bendwind_node.calls.caller_exchange import CallerExchange, CallerGoneError
from bendwind_node.calls.entry_node import EntryNode
from bendwind_node.calls.refusal import Refusal


class CallTask:
    """Serve callers' requests for one process."""

    __slots__ = ("entry", "intake", "next_call")

    def __init__(self, entry: EntryNode, intake: CallIntake):
        self.entry = entry
        self.intake = intake
        self.next_call = 1

    async def handle(self, exchange: CallerExchange) -> None:
        """Serve one request."""
        call_id = self._make_call_id()
        self.intake.in_flight += 1
        body_bytes = 0
        try:
            match await self.intake.admit_request(exchange, call_id):
                case Result(tag="ok", ok=run):
                    body_bytes = len(run.body)
                    await self._run(exchange, run)
                case Result(error=refusal):
                    await self._refuse(exchange, call_id, refusal)
        except CallerGoneError:
            return
        finally:
            self.intake.in_flight -= 1
            self.intake.budget.release(body_bytes)

    def _make_call_id(self) -> str:
        own = self.entry.own
        call_id = f"{own.name}/{own.incarnation}/c{self.next_call}"
        self.next_call += 1
        return call_id

    async def _refuse(
        self,
        exchange: CallerExchange,
        call_id: str,
        refusal: Refusal,
        run: CallRun | None = None,
    ) -> None:
        self._record_refusal(exchange, call_id, refusal, run)
        await outcomes.send_outcome(
            exchange,
            call_id,
            refusal.status,
            refusal.outcome,
            refusal.reason,
            refusal.retry_after_ms,
            self.entry.dialect,
        )

    def _record_refusal(
        self, exchange: CallerExchange, call_id: str, refusal: Refusal, run: CallRun | None
    ) -> None:
        entry = self.entry
        entry.recorder.record(
            EventKind.CALL_REFUSED,
            call=call_id,
            detail=refusal.reason,
            request=find_request_id(exchange.request.headers, entry.dialect),
            facts=self._make_facts(refusal, run),
        )

    def _make_facts(self, refusal: Refusal, run: CallRun | None) -> CallFacts:
        """Return the facts of a refused request; before its admission only its status is known."""
        if run is not None:
            facts = make_call_facts(run, refusal.status, trio.current_time())
            return replace(facts, quota=refusal.quota)
        basis = self.entry.membership.read_basis()
        return CallFacts(
            status=refusal.status,
            version=basis.version,
            age_ms=basis.age_ms,
            newest=basis.newest,
        )

    async def _run(self, exchange: CallerExchange, run: CallRun) -> None:
        call = run.call
        detail = f"{run.method} {call.service.name}"
        self.entry.recorder.record(EventKind.CALL_ARRIVED, call=call.call_id, detail=detail)
        service_state = self.entry.find_or_create_service_state(call.service)
        service_state.in_flight += 1
        service_state.last_call_at = trio.current_time()
        try:
            refusal = await self._acquire_quota_token(run)
            if refusal is not None:
                await self._refuse(exchange, call.call_id, refusal, run)
                return
            exchange.may_have_run = True
            run.feed(ev.Begin())
            await Delivery(self.entry, exchange, run).finish()
        finally:
            service_state.in_flight -= 1
            release_call(self.entry.share, call.service.name)
            if not call.is_finished:
                run.feed(ev.CallerGone())
            if run.quota_grant is not None and not may_have_run(call):
                self.entry.quotas.return_token(run.quota_grant)
            self.entry.remove_call(run)

    async def _acquire_quota_token(self, run: CallRun) -> Refusal | None:
        """Acquire a token of the customer's quota, which the first attempt needs to start."""
        call = run.call
        quotas = self.entry.quotas
        if quotas is None or not quotas.is_limited(call.customer):
            return None
        match await quotas.acquire_token(call.customer, call.target_at, call.deadline_at):
            case Result(tag="ok", ok=grant):
                run.quota_grant = grant
                return None
            case Result(error=refused):
                refusal = Refusal.not_run(refused.reason, refused.retry_after_ms)
                voter = f"voter {refused.voter}" if refused.voter else "no voter"
                return replace(refusal, quota=f"{call.customer}: refused by {voter}")
