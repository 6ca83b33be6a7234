"""Keep the requests that may end the upstreams which run them, and judge them.

All that speaks against a request is that upstreams ended while they ran it; many others ran beside
it. So one end has no consequence. After two, it runs beside few other such requests: the next end
tells it from those that run elsewhere. After three it is refused, but for a trial by itself, after
a time that grows with each further end. An answer with success clears it.
"""

import zlib

import msgspec

from bendwind_core.core import MILLISECONDS_PER_SECOND, Milliseconds, Seconds
from bendwind_core.suspicion.limits import (
    LONGEST_QUARANTINE,
    QUARANTINE_GROWTH,
    SuspicionLimits,
)
from bendwind_core.suspicion.suspect import (
    EndName,
    Suspect,
    SuspectTold,
    UpstreamEnd,
    UpstreamEndTold,
)

# Suspects that run at one upstream at a time. Forty harmless requests beside two that end
# upstreams were all served after 17 runs of one upstream, with one at a time after 46, with 16
# after 23 (one run a second, all sent again until they are served).
MOST_TOGETHER = 4
# About 500 bytes each.
MAX_SUSPECTS = 512
# With more ends than this the time to the next trial no longer grows.
MAX_ENDS = 8
# Ends of upstreams within this time have one cause where the request had been served before: a loss
# of power, or a kill of many.
ONE_CAUSE: Seconds = 1.0
# Where the owner that saw the last end does not try the request, others do after this time, and
# each at another moment of the next one.
OTHERS_AFTER: Seconds = 30.0
OTHERS_SPREAD: Seconds = 60.0
# A trial that brought neither an answer nor an end, since it never started, is made again.
TRIAL_AGAIN: Seconds = 10.0
_CRC_VALUES = 2**32


class Unsuspected(msgspec.Struct, frozen=True):
    """Say that a request may run like any other."""


class RunApart(msgspec.Struct, frozen=True):
    """Say that a request may run where at most so many other suspects do."""

    others: int


class Quarantined(msgspec.Struct, frozen=True):
    """Say that a request is not to run.

    Units: `wait_ms` is the time until it is tried again, in milliseconds.
    """

    wait_ms: Milliseconds


Judgement = Unsuspected | RunApart | Quarantined
_UNSUSPECTED = Unsuspected()
_RUN_APART = RunApart(MOST_TOGETHER - 1)
_TRIAL = RunApart(0)


class SuspectTable(msgspec.Struct):
    """Hold the suspects that one process knows; `news` are those it has not told of yet.

    `own` is the name of the process's node.
    """

    own: str = ""
    limits: SuspicionLimits = SuspicionLimits()
    suspects: dict[bytes, Suspect] = msgspec.field(default_factory=dict)
    news: dict[bytes, None] = msgspec.field(default_factory=dict)


def note_end(
    table: SuspectTable,
    signature: bytes,
    service: str,
    name: EndName,
    now: Seconds,
    *,
    is_served: bool = False,
) -> None:
    """Note that an upstream ended under a request; `is_served` if it was served there lately."""
    suspect = _find_or_add(table, signature, service, now)
    if any(end.name == name for end in suspect.ends):
        return
    excused_at = next((end.at for end in suspect.ends if end.is_excused), now)
    is_excused = is_served and now - excused_at < ONE_CAUSE
    suspect.service = service
    _put_ends(suspect, (*suspect.ends, UpstreamEnd(name, now, is_excused)))
    table.news[signature] = None


def _find_or_add(table: SuspectTable, signature: bytes, service: str, now: Seconds) -> Suspect:
    suspect = table.suspects.get(signature)
    if suspect is None:
        if len(table.suspects) >= MAX_SUSPECTS:
            _drop_least(table)
        suspect = table.suspects[signature] = Suspect(signature, service, known_at=now)
    return suspect


def _drop_least(table: SuspectTable) -> None:
    """Forget the suspect that least speaks against, of those the one known longest."""
    least = min(table.suspects.values(), key=lambda suspect: suspect.count)
    del table.suspects[least.signature]
    table.news.pop(least.signature, None)


def _put_ends(suspect: Suspect, ends: tuple[UpstreamEnd, ...]) -> None:
    suspect.ends = tuple(sorted(ends, key=lambda end: end.at)[-MAX_ENDS:])


def clear(table: SuspectTable, signature: bytes, now: Seconds) -> bool:
    """Drop all that speaks against a request; False if nothing did."""
    suspect = table.suspects.get(signature)
    if suspect is None or not suspect.ends:
        return False
    suspect.cleared += 1
    suspect.ends = ()
    suspect.known_at = now
    suspect.tried_at = None
    table.news[signature] = None
    return True


def judge(table: SuspectTable, signature: bytes, now: Seconds) -> Judgement:
    """Decide whether a request may run at this process's upstreams now."""
    suspect = table.suspects.get(signature)
    if suspect is None or is_over(table, suspect, now):
        return _UNSUSPECTED
    if suspect.count < table.limits.apart_from:
        return _UNSUSPECTED
    if not is_quarantined(table, suspect):
        return _RUN_APART
    tried_at = find_trial_at(table, suspect)
    if now < tried_at:
        return Quarantined((tried_at - now) * MILLISECONDS_PER_SECOND)
    return _TRIAL


def note_let_in(table: SuspectTable, signature: bytes, now: Seconds) -> None:
    """Note that a suspect runs now: the next trial of it has to wait for what comes of this one."""
    suspect = table.suspects.get(signature)
    if suspect is not None and is_quarantined(table, suspect):
        suspect.tried_at = now


def is_quarantined(table: SuspectTable, suspect: Suspect) -> bool:
    """Tell whether so many upstreams ended under a request that it runs for trials only."""
    return suspect.count >= table.limits.quarantine_from


def is_withheld(table: SuspectTable, signature: bytes, now: Seconds) -> bool:
    """Tell whether a request that was let in has become one that is not to run."""
    suspect = table.suspects.get(signature)
    if suspect is None or is_over(table, suspect, now):
        return False
    is_tried = suspect.tried_at is not None and suspect.tried_at >= suspect.last.at
    return is_quarantined(table, suspect) and not is_tried


def find_trial_at(table: SuspectTable, suspect: Suspect) -> Seconds:
    """Return when this process lets a quarantined request run for a trial."""
    trial_at = suspect.last.at + _find_quarantine(table, suspect)
    if suspect.last.name.owner != table.own:
        trial_at += OTHERS_AFTER + OTHERS_SPREAD * _draw_share(table.own, suspect)
    if suspect.tried_at is not None and suspect.tried_at >= suspect.last.at:
        trial_at = max(trial_at, suspect.tried_at + TRIAL_AGAIN)
    return trial_at


def _draw_share(own: str, suspect: Suspect) -> float:
    """Return a share that differs between nodes and trials and is the same whenever it is asked."""
    drawn = b"".join((own.encode(), suspect.signature, bytes([suspect.count])))
    return zlib.crc32(drawn) / _CRC_VALUES


def _find_quarantine(table: SuspectTable, suspect: Suspect) -> Seconds:
    limits = table.limits
    further = suspect.count - limits.quarantine_from
    return min(LONGEST_QUARANTINE, limits.quarantine * QUARANTINE_GROWTH**further)


def is_over(table: SuspectTable, suspect: Suspect, now: Seconds) -> bool:
    """Tell whether too long has passed for what speaks against a request to count."""
    since = suspect.last.at if suspect.ends else suspect.known_at
    keep = table.limits.keep
    if is_quarantined(table, suspect):
        keep += _find_quarantine(table, suspect)
    return now - since >= keep


def forget_over(table: SuspectTable, now: Seconds) -> None:
    """Drop the suspects whose time is over."""
    over = [s.signature for s in table.suspects.values() if is_over(table, s, now)]
    for signature in over:
        del table.suspects[signature]
        table.news.pop(signature, None)


def hear(table: SuspectTable, told: SuspectTold, now: Seconds) -> bool:
    """Take over what another process tells; tell whether it was news."""
    known = table.suspects.get(told.signature)
    if known is None and not told.ends:
        return False
    suspect = known or _find_or_add(table, told.signature, told.service, now)
    if told.cleared < suspect.cleared:
        return False
    is_cleared = told.cleared > suspect.cleared
    if is_cleared:
        suspect.cleared = told.cleared
        suspect.ends = ()
        suspect.known_at = now
    return _add_ends(suspect, told, now) or is_cleared


def hear_and_pass_on(table: SuspectTable, told: SuspectTold, now: Seconds) -> bool:
    """Take over what another process tells, as something to tell others; tell if it was news."""
    is_news = hear(table, told, now)
    if is_news:
        table.news[told.signature] = None
    return is_news


def _add_ends(suspect: Suspect, told: SuspectTold, now: Seconds) -> bool:
    # An end keeps the earliest time heard of it: else it would grow younger with each telling.
    ends = {end.name: end for end in suspect.ends}
    before = frozenset(ends)
    for end in told.ends:
        at = now - end.age_ms / MILLISECONDS_PER_SECOND
        known = ends.get(end.name)
        if known is None or at < known.at:
            ends[end.name] = UpstreamEnd(end.name, at, end.is_excused)
    _put_ends(suspect, tuple(ends.values()))
    is_news = frozenset(end.name for end in suspect.ends) != before
    if is_news:
        suspect.service = told.service
    return is_news


def find_told(table: SuspectTable, signature: bytes, now: Seconds) -> SuspectTold | None:
    """Return what an owner node is told that is handed a request, None if nothing is against it."""
    suspect = table.suspects.get(signature)
    return tell(suspect, now) if suspect is not None and suspect.ends else None


def tell(suspect: Suspect, now: Seconds) -> SuspectTold:
    """Write down what is known against a request for another process."""
    ends = tuple(
        UpstreamEndTold(end.name, (now - end.at) * MILLISECONDS_PER_SECOND, end.is_excused)
        for end in suspect.ends
    )
    return SuspectTold(suspect.signature, suspect.service, suspect.cleared, ends)


def list_news(table: SuspectTable, now: Seconds) -> tuple[SuspectTold, ...]:
    """Return what other processes have not been told yet."""
    return tuple(tell(table.suspects[signature], now) for signature in table.news)


def take_news(table: SuspectTable, now: Seconds) -> tuple[SuspectTold, ...]:
    """Return what other processes have not been told yet, as told from now on."""
    news = list_news(table, now)
    table.news.clear()
    return news


def list_serious(table: SuspectTable, now: Seconds) -> tuple[SuspectTold, ...]:
    """Return the suspects that have a consequence, which are told again and again."""
    serious = [s for s in table.suspects.values() if s.count >= table.limits.apart_from]
    return tuple(tell(suspect, now) for suspect in serious)
