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
    MAX_QUARANTINE,
    QUARANTINE_GROWTH,
    SuspicionLimits,
)
from bendwind_core.suspicion.suspect import (
    Suspect,
    SuspectReport,
    UpstreamEnd,
    UpstreamEndId,
    UpstreamEndReport,
)

# Suspects that run at one upstream at a time. Forty harmless requests beside two that end
# upstreams were all served after 17 runs of one upstream, with one at a time after 46, with 16
# after 23 (one run a second, all sent again until they are served).
MAX_CONCURRENT_SUSPECTS = 4
# About 500 bytes each.
MAX_SUSPECTS = 512
# With more ends than this the time to the next trial no longer grows.
MAX_ENDS = 8
# Ends of upstreams within this time have one cause where the request had been served before: a loss
# of power, or a kill of many.
COMMON_CAUSE_WINDOW: Seconds = 1.0
# Where the owner that saw the last end does not try the request, others do after this time, and
# each at another moment of the next one.
OTHER_NODES_TRIAL_DELAY: Seconds = 30.0
OTHER_NODES_TRIAL_SPREAD: Seconds = 60.0
# A trial that brought neither an answer nor an end, since it never started, is made again.
TRIAL_RETRY_DELAY: Seconds = 10.0
_CRC_VALUES = 2**32


class Unrestricted(msgspec.Struct, frozen=True):
    """Say that a request may run like any other."""


class Isolated(msgspec.Struct, frozen=True):
    """Say that a request may run where at most so many other suspects do."""

    max_other_suspects: int


class Quarantined(msgspec.Struct, frozen=True):
    """Say that a request is not to run.

    Units: `wait_ms` is the time until it is tried again, in milliseconds.
    """

    wait_ms: Milliseconds


Restriction = Unrestricted | Isolated | Quarantined
_UNRESTRICTED = Unrestricted()
_ISOLATED = Isolated(MAX_CONCURRENT_SUSPECTS - 1)
_TRIAL = Isolated(0)


class SuspectTable(msgspec.Struct):
    """Hold the suspects that one process knows; `news` are those it has not told of yet.

    `own` is the name of the process's node.
    """

    node: str = ""
    limits: SuspicionLimits = SuspicionLimits()
    suspects: dict[bytes, Suspect] = msgspec.field(default_factory=dict)
    unreported: dict[bytes, None] = msgspec.field(default_factory=dict)


def record_end(
    table: SuspectTable,
    signature: bytes,
    service: str,
    end_id: UpstreamEndId,
    now: Seconds,
    *,
    is_served: bool = False,
) -> None:
    """Note that an upstream ended under a request; `is_served` if it was served there lately."""
    suspect = _get_or_add(table, signature, service, now)
    if any(end.id == end_id for end in suspect.ends):
        return
    excused_at = next((end.at for end in suspect.ends if end.is_excused), now)
    is_excused = is_served and now - excused_at < COMMON_CAUSE_WINDOW
    suspect.service = service
    _set_ends(suspect, (*suspect.ends, UpstreamEnd(end_id, now, is_excused)))
    table.unreported[signature] = None


def _get_or_add(table: SuspectTable, signature: bytes, service: str, now: Seconds) -> Suspect:
    suspect = table.suspects.get(signature)
    if suspect is None:
        if len(table.suspects) >= MAX_SUSPECTS:
            _evict_least_suspected(table)
        suspect = table.suspects[signature] = Suspect(signature, service, recorded_at=now)
    return suspect


def _evict_least_suspected(table: SuspectTable) -> None:
    """Forget the suspect that least speaks against, of those the one known longest."""
    least = min(table.suspects.values(), key=lambda suspect: suspect.count)
    del table.suspects[least.signature]
    table.unreported.pop(least.signature, None)


def _set_ends(suspect: Suspect, ends: tuple[UpstreamEnd, ...]) -> None:
    suspect.ends = tuple(sorted(ends, key=lambda end: end.at)[-MAX_ENDS:])


def clear_suspect(table: SuspectTable, signature: bytes, now: Seconds) -> bool:
    """Drop all that speaks against a request; False if nothing did."""
    suspect = table.suspects.get(signature)
    if suspect is None or not suspect.ends:
        return False
    suspect.cleared += 1
    suspect.ends = ()
    suspect.recorded_at = now
    suspect.tried_at = None
    table.unreported[signature] = None
    return True


def find_restriction(table: SuspectTable, signature: bytes, now: Seconds) -> Restriction:
    """Decide whether a request may run at this process's upstreams now."""
    suspect = table.suspects.get(signature)
    if suspect is None or is_expired(table, suspect, now):
        return _UNRESTRICTED
    if suspect.count < table.limits.apart_from:
        return _UNRESTRICTED
    if not is_quarantined(table, suspect):
        return _ISOLATED
    tried_at = find_trial_at(table, suspect)
    if now < tried_at:
        return Quarantined((tried_at - now) * MILLISECONDS_PER_SECOND)
    return _TRIAL


def record_trial(table: SuspectTable, signature: bytes, now: Seconds) -> None:
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
    if suspect is None or is_expired(table, suspect, now):
        return False
    is_tried = suspect.tried_at is not None and suspect.tried_at >= suspect.last.at
    return is_quarantined(table, suspect) and not is_tried


def find_trial_at(table: SuspectTable, suspect: Suspect) -> Seconds:
    """Return when this process lets a quarantined request run for a trial."""
    trial_at = suspect.last.at + _compute_quarantine(table, suspect)
    if suspect.last.id.owner != table.node:
        trial_at += OTHER_NODES_TRIAL_DELAY + OTHER_NODES_TRIAL_SPREAD * _hash_to_fraction(
            table.node, suspect
        )
    if suspect.tried_at is not None and suspect.tried_at >= suspect.last.at:
        trial_at = max(trial_at, suspect.tried_at + TRIAL_RETRY_DELAY)
    return trial_at


def _hash_to_fraction(node: str, suspect: Suspect) -> float:
    """Return a share that differs between nodes and trials and is the same whenever it is asked."""
    drawn = b"".join((node.encode(), suspect.signature, bytes([suspect.count])))
    return zlib.crc32(drawn) / _CRC_VALUES


def _compute_quarantine(table: SuspectTable, suspect: Suspect) -> Seconds:
    limits = table.limits
    extra_ends = suspect.count - limits.quarantine_from
    return min(MAX_QUARANTINE, limits.quarantine * QUARANTINE_GROWTH**extra_ends)


def is_expired(table: SuspectTable, suspect: Suspect, now: Seconds) -> bool:
    """Tell whether too long has passed for what speaks against a request to count."""
    since = suspect.last.at if suspect.ends else suspect.recorded_at
    keep = table.limits.keep
    if is_quarantined(table, suspect):
        keep += _compute_quarantine(table, suspect)
    return now - since >= keep


def remove_expired(table: SuspectTable, now: Seconds) -> None:
    """Drop the suspects whose time is over."""
    over = [s.signature for s in table.suspects.values() if is_expired(table, s, now)]
    for signature in over:
        del table.suspects[signature]
        table.unreported.pop(signature, None)


def merge_report(table: SuspectTable, report: SuspectReport, now: Seconds) -> bool:
    """Take over what another process tells; tell whether it was news."""
    known = table.suspects.get(report.signature)
    if known is None and not report.ends:
        return False
    suspect = known or _get_or_add(table, report.signature, report.service, now)
    if report.cleared < suspect.cleared:
        return False
    is_cleared = report.cleared > suspect.cleared
    if is_cleared:
        suspect.cleared = report.cleared
        suspect.ends = ()
        suspect.recorded_at = now
    return _merge_ends(suspect, report, now) or is_cleared


def merge_and_queue_report(table: SuspectTable, report: SuspectReport, now: Seconds) -> bool:
    """Take over what another process tells, as something to tell others; tell if it was news."""
    is_new = merge_report(table, report, now)
    if is_new:
        table.unreported[report.signature] = None
    return is_new


def _merge_ends(suspect: Suspect, report: SuspectReport, now: Seconds) -> bool:
    # An end keeps the earliest time heard of it: else it would grow younger with each telling.
    ends = {end.id: end for end in suspect.ends}
    before = frozenset(ends)
    for end in report.ends:
        at = now - end.age_ms / MILLISECONDS_PER_SECOND
        known = ends.get(end.id)
        if known is None or at < known.at:
            ends[end.id] = UpstreamEnd(end.id, at, end.is_excused)
    _set_ends(suspect, tuple(ends.values()))
    is_new = frozenset(end.id for end in suspect.ends) != before
    if is_new:
        suspect.service = report.service
    return is_new


def find_report(table: SuspectTable, signature: bytes, now: Seconds) -> SuspectReport | None:
    """Return what an owner node is told that is handed a request, None if nothing is against it."""
    suspect = table.suspects.get(signature)
    return create_report(suspect, now) if suspect is not None and suspect.ends else None


def create_report(suspect: Suspect, now: Seconds) -> SuspectReport:
    """Write down what is known against a request for another process."""
    ends = tuple(
        UpstreamEndReport(end.id, (now - end.at) * MILLISECONDS_PER_SECOND, end.is_excused)
        for end in suspect.ends
    )
    return SuspectReport(suspect.signature, suspect.service, suspect.cleared, ends)


def list_unreported(table: SuspectTable, now: Seconds) -> tuple[SuspectReport, ...]:
    """Return what other processes have not been told yet."""
    return tuple(create_report(table.suspects[signature], now) for signature in table.unreported)


def pop_unreported(table: SuspectTable, now: Seconds) -> tuple[SuspectReport, ...]:
    """Return what other processes have not been told yet, as told from now on."""
    unreported = list_unreported(table, now)
    table.unreported.clear()
    return unreported


def list_restricted(table: SuspectTable, now: Seconds) -> tuple[SuspectReport, ...]:
    """Return the suspects that have a consequence, which are told again and again."""
    restricted = [s for s in table.suspects.values() if s.count >= table.limits.apart_from]
    return tuple(create_report(suspect, now) for suspect in restricted)
