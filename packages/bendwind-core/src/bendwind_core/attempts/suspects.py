"""Have an owner node's desk note what speaks for and against requests, and go by it."""

import msgspec

from bendwind_core.attempts.desk import OwnerDesk, QueuedAttempt, RunningAttempt
from bendwind_core.attempts.messages import NotRunReason
from bendwind_core.attempts.owner_events import OwnerEffect, UpstreamEnded
from bendwind_core.attempts.upstream_end import number_hand_over, sign_hand_over, take_unanswered
from bendwind_core.core import Milliseconds, Seconds
from bendwind_core.suspicion import (
    EndName,
    Quarantined,
    RunApart,
    clear,
    hear_and_pass_on,
    is_quarantined,
    is_withheld,
    judge,
    note_end,
    note_let_in,
    note_served,
    take_served,
)
from bendwind_core.suspicion.table import MOST_TOGETHER
from bendwind_core.world import UpstreamState


class Withheld(msgspec.Struct, frozen=True):
    """Say why a request that upstreams ended under is not let in.

    Units: `wait_ms` is when it would be, in milliseconds, None where that is not known.
    """

    reason: NotRunReason
    wait_ms: Milliseconds | None = None


def note_upstream_end(desk: OwnerDesk, now: Seconds, effects: list[OwnerEffect]) -> None:
    """Note that the upstream has ended, and hold that against what it had not answered."""
    under = take_unanswered(desk.ends, now)
    # One that leaves as it said may break off what it runs.
    if not under or desk.state is not UpstreamState.READY:
        return
    name = EndName(desk.suspects.own, desk.incarnation, desk.upstream, desk.ends.ends)
    for ended in under:
        is_served = take_served(desk.served, ended.number, now)
        note_end(desk.suspects, ended.signature, ended.service, name, now, is_served=is_served)
    effects.append(UpstreamEnded(under))


def note_success(desk: OwnerDesk, running: RunningAttempt, now: Seconds) -> None:
    """Note that a request was answered with success, which clears it of suspicion."""
    hand_over = running.hand_over
    note_served(desk.served, number_hand_over(hand_over), now)
    if desk.suspects.suspects:
        clear(desk.suspects, running.signature or sign_hand_over(hand_over), now)


def find_suspicion(desk: OwnerDesk, queued: QueuedAttempt, now: Seconds) -> Withheld | None:
    """Return why a request is not let in, by what this process and its entry node know, or None."""
    hand_over = queued.hand_over
    queued.signature = sign_hand_over(hand_over)
    if hand_over.suspicion is not None:
        hear_and_pass_on(desk.suspects, hand_over.suspicion, now)
    match judge(desk.suspects, queued.signature, now):
        case Quarantined(wait_ms=wait_ms):
            return Withheld(NotRunReason.QUARANTINED, wait_ms)
        case RunApart(others=others):
            if _count_other_suspects(desk, queued.signature) > others:
                return Withheld(NotRunReason.KEPT_APART)
            queued.is_suspect = True
            note_let_in(desk.suspects, queued.signature, now)
    return None


def _count_other_suspects(desk: OwnerDesk, signature: bytes) -> int:
    """Count the other suspects that run or wait at the upstream; beside a trial, none may."""
    held = (*desk.running.values(), *desk.waiting.values())
    others = {attempt.signature for attempt in held if attempt.is_suspect} - {signature}
    suspects = (desk.suspects.suspects.get(other) for other in others)
    has_trial = any(found and is_quarantined(desk.suspects, found) for found in suspects)
    return MOST_TOGETHER if has_trial else len(others)


def is_withheld_here(desk: OwnerDesk, queued: QueuedAttempt, now: Seconds) -> bool:
    """Tell whether a request that waits is not to run any more."""
    if not desk.suspects.suspects:
        return False
    signature = queued.signature or sign_hand_over(queued.hand_over)
    return is_withheld(desk.suspects, signature, now)
