"""Keep the open plans and a bounded number of past outcomes."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from bendwind_core.plans.plan import Expired, Plan, PlanOutcome, WonBy
from bendwind_core.plans.results import ForgottenPlan, UnknownPlan

MAX_OPEN_PLANS = 32
# Four whole configurations of the largest size planned for, 650 services.
MAX_OPEN_SERVICES = 2_600
# A day of changes at the largest size planned for, 6,200 a day.
MAX_OUTCOMES = 6_200


@dataclass(slots=True)
class PlanTable:
    """Hold plans by the log index of their creation, oldest first.

    Every voter must use the same bounds, or their tables would differ.
    `forgotten` is the highest index whose outcome was dropped.
    """

    plans: dict[int, Plan] = field(default_factory=dict)
    requests: dict[str, int] = field(default_factory=dict)
    open: set[int] = field(default_factory=set)
    forgotten: int = 0

    def find_request(self, request: str) -> Plan | None:
        """Return the plan that an idempotency key made, or None."""
        index = self.requests.get(request)
        return None if index is None else self.plans[index]

    def explain_absence(self, plan_id: str, index: int) -> UnknownPlan | ForgottenPlan:
        """Tell an id too old to be remembered from one that never existed."""
        return ForgottenPlan(plan_id) if index <= self.forgotten else UnknownPlan(plan_id)

    def has_room_for(self, services: int) -> bool:
        """Tell whether one more plan that puts this many services may be kept open."""
        held = sum(len(self.plans[index].changes.put) for index in self.open)
        return len(self.open) < MAX_OPEN_PLANS and held + services <= MAX_OPEN_SERVICES

    def add(self, plan: Plan) -> None:
        """Keep a plan, and forget the oldest outcomes beyond the bound."""
        self.plans[plan.index] = plan
        self.requests[plan.request] = plan.index
        if plan.outcome is None:
            self.open.add(plan.index)
        self._forget_oldest()

    def decide(self, index: int, outcome: PlanOutcome) -> None:
        """Record the outcome of an open plan."""
        self.plans[index] = self.plans[index].decide(outcome)
        self.open.discard(index)
        self._forget_oldest()

    def expire(self, now_ms: int) -> None:
        """Record as expired every open plan whose time has passed."""
        for index in sorted(self.open):
            plan = self.plans[index]
            if plan.expires_ms <= now_ms:
                self.decide(index, Expired(plan.id))

    def supersede(self, winner: Plan, version: int) -> None:
        """Record for every plan still open that another one won."""
        for index in sorted(self.open):
            self.decide(index, WonBy(winner.id, version))

    def _forget_oldest(self) -> None:
        while len(self.plans) - len(self.open) > MAX_OUTCOMES:
            oldest = next(index for index in self.plans if index not in self.open)
            plan = self.plans.pop(oldest)
            del self.requests[plan.request]
            self.forgotten = max(self.forgotten, oldest)


def create_plan_table(plans: Iterable[Plan], forgotten: int) -> PlanTable:
    """Build a table out of plans in the order of their creation."""
    table = PlanTable(forgotten=forgotten)
    for plan in plans:
        table.add(plan)
    return table
