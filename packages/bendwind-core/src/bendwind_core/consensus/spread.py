"""Choose voters so that no data centre holds a majority of them if the members permit that.

The loss of a data centre that holds one takes the quorum. A process whose data centre is unknown
shares it with no other.
"""

import collections
from collections.abc import Iterable

import msgspec

from bendwind_core.consensus.records import Voter


class Exchange(msgspec.Struct, frozen=True):
    """Name a voter and the learner that is to succeed it."""

    leaving: Voter
    joining: Voter


def _count_by_data_centre(voters: Iterable[Voter]) -> collections.Counter[str]:
    return collections.Counter(voter.data_centre for voter in voters if voter.data_centre)


def find_majority_holder(voters: tuple[Voter, ...]) -> str | None:
    """Return the data centre that holds a majority of an odd number of voters, None if none does.

    >>> find_majority_holder((Voter("a", 1, data_centre="x"), Voter("b", 2, data_centre="x")))
    'x'
    """
    counts = _count_by_data_centre(voters)
    return next((name for name, count in counts.items() if count > len(voters) // 2), None)


def order_learners(learners: Iterable[Voter], voters: Iterable[Voter]) -> list[Voter]:
    """Return the learners, first those whose data centres hold the fewest of the voters."""
    counts = _count_by_data_centre(voters)
    return sorted(learners, key=lambda learner: counts[learner.data_centre])


def choose_leaving(
    candidates: Iterable[Voter], voters: tuple[Voter, ...], joining: Voter
) -> Voter | None:
    """Return the candidate whose replacement spreads the voters best, None without candidates."""

    def find_largest_count(leaving: Voter) -> int:
        remaining = tuple(voter for voter in voters if voter != leaving)
        return max(_count_by_data_centre((*remaining, joining)).values(), default=0)

    return min(candidates, key=find_largest_count, default=None)


def find_exchange(
    voters: tuple[Voter, ...], learners: Iterable[Voter], staying: Voter
) -> Exchange | None:
    """Return an exchange that takes a voter from a data centre with a majority, None if none does.

    Each exchange makes the largest number of voters in a data centre smaller by one and no other
    as large, so that exchanges come to an end. The voter `staying` is not exchanged.
    """
    holder = find_majority_holder(voters)
    ordered = order_learners(learners, voters)
    if holder is None or not ordered:
        return None
    counts = _count_by_data_centre(voters)
    joining = ordered[0]
    if counts[joining.data_centre] + 1 >= counts[holder]:
        return None
    held = (voter for voter in voters if voter.data_centre == holder and voter != staying)
    leaving = next(held, None)
    return None if leaving is None else Exchange(leaving, joining)
