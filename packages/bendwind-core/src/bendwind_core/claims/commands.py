"""Define the control log's command that changes a claim group, and its effect."""

from expression import Error, Ok, Result

from bendwind_core.claims.group import ClaimGroup
from bendwind_core.core import Record


class ChangeClaimGroup(Record, frozen=True, array_like=True, tag="change-claim-group"):
    """Replace a service's claim group if its epoch is still the expected one.

    `expected_epoch` is 0 for a service without a group. `accept_loss` states that an operator
    accepts the loss of a lost group's claims; only then may members start with no claims.
    """

    group: ClaimGroup
    expected_epoch: int
    accept_loss: bool = False


def apply_group_change(
    groups: dict[str, ClaimGroup], command: ChangeClaimGroup
) -> Result[ClaimGroup, str]:
    """Check a change against the current group and store the new group.

    Errors: a text that names the rule which the change would break.
    """
    group = command.group
    current = groups.get(group.service)
    fault = _find_fault(current, command)
    if fault:
        return Error(f"claim group of {group.service}: {fault}")
    groups[group.service] = group
    return Ok(group)


def _find_fault(current: ClaimGroup | None, command: ChangeClaimGroup) -> str | None:
    group = command.group
    epoch = current.epoch if current else 0
    if command.expected_epoch != epoch:
        return f"expected epoch {command.expected_epoch}, found {epoch}"
    if group.epoch != epoch + 1:
        return f"epoch {group.epoch} does not follow {epoch}"
    if not group.members or len(set(group.members)) != len(group.members):
        return "the member list is empty or contains duplicates"
    if group.joining in group.members:
        return "the joining member is already a member"
    if current is None:
        return "a new group cannot be lost" if group.lost else None
    if command.accept_loss:
        return None if current.lost and not group.lost else "the group is not lost"
    return _find_membership_fault(current, group)


def _find_membership_fault(current: ClaimGroup, group: ClaimGroup) -> str | None:
    holders = set(current.members)
    if group.members[0] not in holders:
        return "the new primary must be a member of the current group"
    if not set(group.members) <= holders | {current.joining}:
        return "a new member must be the joining member of the current group"
    if group.lost and group.members != current.members:
        return "a lost group must keep its last members"
    return None
