"""Follow the rate limit of an owner's upstream."""

from bendwind_core.admission import LimitChange
from bendwind_core.attempts.owner_events import LimitChanged, OwnerEffect
from bendwind_core.attempts.owner_state import OwnerState


def report_limit(
    owner_state: OwnerState, change: LimitChange | None, effects: list[OwnerEffect]
) -> None:
    """Report a change of the limit, if there was one."""
    if change is not None:
        effects.append(LimitChanged(change, owner_state.rate_limit.per_second))
