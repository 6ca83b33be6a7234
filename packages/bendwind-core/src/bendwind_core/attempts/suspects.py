"""Have an owner node's desk note what speaks for and against requests, and go by it."""

from bendwind_core.attempts.desk import OwnerDesk
from bendwind_core.attempts.messages import HandOver
from bendwind_core.attempts.owner_events import OwnerEffect, UpstreamEnded
from bendwind_core.attempts.upstream_end import number_hand_over, sign_hand_over, take_unanswered
from bendwind_core.core import Seconds
from bendwind_core.suspicion import (
    EndName,
    Judgement,
    clear,
    hear_and_pass_on,
    is_quarantined,
    is_withheld,
    judge,
    note_end,
    note_served,
    take_served,
)
from bendwind_core.suspicion.table import MOST_TOGETHER
from bendwind_core.world import UpstreamState


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


def note_success(desk: OwnerDesk, hand_over: HandOver, now: Seconds) -> None:
    """Note that a request was answered with success, which clears it of suspicion."""
    note_served(desk.served, number_hand_over(hand_over), now)
    if desk.suspects.suspects:
        clear(desk.suspects, sign_hand_over(hand_over), now)


def judge_hand_over(desk: OwnerDesk, hand_over: HandOver, now: Seconds) -> Judgement:
    """Decide whether a request may run here, by what this process and its entry node know."""
    if hand_over.suspicion is not None:
        hear_and_pass_on(desk.suspects, hand_over.suspicion, now)
    return judge(desk.suspects, sign_hand_over(hand_over), now)


def is_withheld_here(desk: OwnerDesk, hand_over: HandOver, now: Seconds) -> bool:
    """Tell whether a request that waits is not to run any more."""
    return bool(desk.suspects.suspects) and is_withheld(
        desk.suspects, sign_hand_over(hand_over), now
    )


def count_other_suspects(desk: OwnerDesk, signature: bytes) -> int:
    """Count the other suspects that run or wait at the upstream; beside a trial, none may."""
    held = (*desk.running.values(), *desk.waiting.values())
    others = {attempt.suspicion for attempt in held} - {b"", signature}
    suspects = (desk.suspects.suspects.get(other) for other in others)
    has_trial = any(found and is_quarantined(desk.suspects, found) for found in suspects)
    return MOST_TOGETHER if has_trial else len(others)
