"""Keep the open plans and a bounded number of past outcomes."""

from collections.abc import Iterable

import msgspec

from bendwind_core.plans.changes import Changes
from bendwind_core.plans.plan import Expired, Plan, PlanOutcome, Superseded
from bendwind_core.plans.results import EvictedPlan, UnknownPlan

MAX_OPEN_PLANS = 32
# Four whole configurations of the largest size planned for, 650 services.
MAX_OPEN_SERVICES = 2_600
# Two whole lists of the most customers that there may be.
MAX_OPEN_CUSTOMERS = 40_000
# A day of changes at the largest size planned for, 6,200 a day.
MAX_OUTCOMES = 6_200


class PlanTable(msgspec.Struct):
    """Hold plans by the log index of their creation.

    `open` is in the order of creation, `decided` in the order of the outcomes: an outcome is
    remembered until MAX_OUTCOMES later ones have come, however old its plan is. `forgotten` is
    the highest index whose outcome was dropped. Every voter must use the same bounds.
    """

    open: dict[int, Plan] = msgspec.field(default_factory=dict)
    decided: dict[int, Plan] = msgspec.field(default_factory=dict)
    requests: dict[str, int] = msgspec.field(default_factory=dict)
    forgotten: int = 0

    def find(self, index: int) -> Plan | None:
        """Return the plan of a creation index, or None."""
        return self.open.get(index) or self.decided.get(index)

    def find_request(self, request: str) -> Plan | None:
        """Return the plan that an idempotency key made, or None."""
        index = self.requests.get(request)
        return None if index is None else self.find(index)

    def explain_absence(self, plan_id: str, index: int) -> UnknownPlan | EvictedPlan:
        """Tell an id too old to be remembered from one that never existed."""
        return EvictedPlan(plan_id) if index <= self.forgotten else UnknownPlan(plan_id)

    def list_newest_first(self) -> list[Plan]:
        """Return every plan, the one created last first."""
        plans = [*self.open.values(), *self.decided.values()]
        return sorted(plans, key=lambda plan: plan.index, reverse=True)

    def has_room_for(self, changes: Changes) -> bool:
        """Tell whether one more plan that makes these changes may be kept open."""
        services = sum(len(plan.changes.put) for plan in self.open.values())
        customers = sum(len(plan.changes.customers.put) for plan in self.open.values())
        return (
            len(self.open) < MAX_OPEN_PLANS
            and services + len(changes.put) <= MAX_OPEN_SERVICES
            and customers + len(changes.customers.put) <= MAX_OPEN_CUSTOMERS
        )

    def add(self, plan: Plan) -> None:
        """Keep an open plan."""
        self.open[plan.index] = plan
        self.requests[plan.request] = plan.index

    def decide(self, index: int, outcome: PlanOutcome) -> None:
        """Record the outcome of an open plan, and forget the oldest beyond the bound."""
        self.decided[index] = self.open.pop(index).decide(outcome)
        if len(self.decided) > MAX_OUTCOMES:
            self._forget(next(iter(self.decided.values())))

    def _forget(self, plan: Plan) -> None:
        del self.decided[plan.index]
        del self.requests[plan.request]
        self.forgotten = max(self.forgotten, plan.index)

    def expire(self, now_ms: int) -> None:
        """Record as expired every open plan whose time has passed."""
        for plan in list(self.open.values()):
            if plan.expires_ms <= now_ms:
                self.decide(plan.index, Expired(plan.id))

    def supersede(self, winner: Plan, version: int) -> None:
        """Record for every plan still open that another one won."""
        self._lose_open(winner.id, version)

    def withdraw(self, version: int) -> None:
        """Record for every plan still open that a whole configuration came first."""
        self._lose_open("", version)

    def _lose_open(self, winner: str, version: int) -> None:
        for plan in list(self.open.values()):
            self.decide(plan.index, Superseded(winner, version))


def create_plan_table(
    open_plans: Iterable[Plan], decided: Iterable[Plan], forgotten: int
) -> PlanTable:
    """Build a table out of plans in the orders that a table keeps them in."""
    table = PlanTable(
        open={plan.index: plan for plan in open_plans},
        decided={plan.index: plan for plan in decided},
        forgotten=forgotten,
    )
    for plan in table.list_newest_first():
        table.requests[plan.request] = plan.index
    return table
