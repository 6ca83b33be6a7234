"""Store the open plans and a bounded number of closed plans."""

from collections.abc import Iterable

import msgspec

from bendwind_core.plans.changes import Changes
from bendwind_core.plans.plan import Expired, Plan, PlanOutcome, Superseded
from bendwind_core.plans.results import EvictedPlan, UnknownPlan

MAX_OPEN_PLANS = 32
# Four complete configurations of the largest planned size, which is 650 services.
MAX_OPEN_SERVICES = 2_600
# Two whole lists of the maximum number of customers.
MAX_OPEN_CUSTOMERS = 40_000
# The changes of one day at the largest planned size, which are 6,200.
MAX_CLOSED_PLANS = 6_200


class PlanTable(msgspec.Struct):
    """Hold plans by the log index of their creation.

    `open` is in the order of creation, `closed` in the order of the outcomes: an outcome is kept
    until MAX_CLOSED_PLANS later ones exist, regardless of the age of its plan. `newest_evicted`
    is the highest index whose outcome was evicted. Every voter must use the same bounds.
    """

    open: dict[int, Plan] = msgspec.field(default_factory=dict)
    closed: dict[int, Plan] = msgspec.field(default_factory=dict)
    requests: dict[str, int] = msgspec.field(default_factory=dict)
    newest_evicted: int = 0

    def find(self, index: int) -> Plan | None:
        """Return the plan created at a log index, or None."""
        return self.open.get(index) or self.closed.get(index)

    def find_request(self, request: str) -> Plan | None:
        """Return the plan created under an idempotency key, or None."""
        index = self.requests.get(request)
        return None if index is None else self.find(index)

    def explain_missing(self, plan_id: str, index: int) -> UnknownPlan | EvictedPlan:
        """Return whether a missing plan was evicted or never existed."""
        return EvictedPlan(plan_id) if index <= self.newest_evicted else UnknownPlan(plan_id)

    def list_newest_first(self) -> list[Plan]:
        """Return every plan, newest creation first."""
        plans = [*self.open.values(), *self.closed.values()]
        return sorted(plans, key=lambda plan: plan.index, reverse=True)

    def has_capacity_for(self, changes: Changes) -> bool:
        """Return whether one more plan with these changes can be kept open."""
        services = sum(len(plan.changes.put) for plan in self.open.values())
        customers = sum(len(plan.changes.customers.put) for plan in self.open.values())
        return (
            len(self.open) < MAX_OPEN_PLANS
            and services + len(changes.put) <= MAX_OPEN_SERVICES
            and customers + len(changes.customers.put) <= MAX_OPEN_CUSTOMERS
        )

    def add(self, plan: Plan) -> None:
        """Add an open plan."""
        self.open[plan.index] = plan
        self.requests[plan.request] = plan.index

    def close(self, index: int, outcome: PlanOutcome) -> None:
        """Record the outcome of an open plan, and evict the oldest outcome beyond the bound."""
        self.closed[index] = self.open.pop(index).close(outcome)
        if len(self.closed) > MAX_CLOSED_PLANS:
            self._evict(next(iter(self.closed.values())))

    def _evict(self, plan: Plan) -> None:
        del self.closed[plan.index]
        del self.requests[plan.request]
        self.newest_evicted = max(self.newest_evicted, plan.index)

    def expire(self, now_ms: int) -> None:
        """Close every open plan whose expiry time has passed, as expired."""
        for plan in list(self.open.values()):
            if plan.expires_ms <= now_ms:
                self.close(plan.index, Expired(plan.id))

    def supersede_open(self, confirmed: Plan, version: int) -> None:
        """Close every plan that is still open, since another plan was confirmed."""
        self._close_open(confirmed.id, version)

    def invalidate_open(self, version: int) -> None:
        """Close every plan that is still open, since a revision or an evacuation came first."""
        self._close_open("", version)

    def _close_open(self, confirmed_id: str, version: int) -> None:
        for plan in list(self.open.values()):
            self.close(plan.index, Superseded(confirmed_id, version))


def create_plan_table(
    open_plans: Iterable[Plan], closed: Iterable[Plan], newest_evicted: int
) -> PlanTable:
    """Create a table from plans that are in the orders of a table."""
    table = PlanTable(
        open={plan.index: plan for plan in open_plans},
        closed={plan.index: plan for plan in closed},
        newest_evicted=newest_evicted,
    )
    for plan in table.list_newest_first():
        table.requests[plan.request] = plan.index
    return table
