"""Track the requests that may crash the upstreams that run them, and decide whether they may run.

The only evidence against a request is that upstreams ended while they ran it, and many other
requests ran beside it. So one end has no consequence. After two ends, the request runs beside few
other suspects, so that the next end distinguishes it from the suspects that run elsewhere. After
three ends it is refused, except for a trial in which it runs without other suspects, after a time
that grows with each further end. A successful answer clears the request.
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

# Suspects that run at one upstream at a time. With this limit, forty harmless requests beside two
# that crash upstreams were all served after 17 runs of one upstream; with one at a time it took 46
# runs, with 16 at a time 23 (one run a second, every request retried until it was served).
MAX_CONCURRENT_SUSPECTS = 4
# A suspect takes about 500 bytes.
MAX_SUSPECTS = 512
# Ends stored for one suspect. With more, the time to the next trial would not grow further.
MAX_ENDS = 8
# If the request had been served before, ends of upstreams within this time are excused: they have a
# common cause, such as a power loss or the killing of many processes.
COMMON_CAUSE_WINDOW: Seconds = 1.0
# If the owner that observed the last end does not try the request, the other nodes try it after the
# first of these times, each at a different moment within the second one.
OTHER_NODES_TRIAL_DELAY: Seconds = 30.0
OTHER_NODES_TRIAL_SPREAD: Seconds = 60.0
# A trial that led to neither an answer nor an end, because it never started, is repeated after this
# time.
TRIAL_RETRY_DELAY: Seconds = 10.0
_CRC_VALUES = 2**32


class Unrestricted(msgspec.Struct, frozen=True):
    """Permit a request to run like any other."""


class Isolated(msgspec.Struct, frozen=True):
    """Permit a request to run only where at most `max_other_suspects` other suspects run."""

    max_other_suspects: int


class Quarantined(msgspec.Struct, frozen=True):
    """Do not permit a request to run.

    Units: `wait_ms` is the time until its next trial, in milliseconds.
    """

    wait_ms: Milliseconds


Restriction = Unrestricted | Isolated | Quarantined
_UNRESTRICTED = Unrestricted()
_ISOLATED = Isolated(MAX_CONCURRENT_SUSPECTS - 1)
_TRIAL = Isolated(0)


class SuspectTable(msgspec.Struct):
    """Hold the suspects that one process knows, by signature.

    `node` is the name of the process's node. `unreported` holds the signatures of the suspects
    whose changes have not been reported to other processes yet.
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
    """Record that an upstream ended while it ran a request.

    `is_served` means that the upstream had served the request recently.
    """
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
    """Evict the suspect with the fewest ends; of several, the one known longest."""
    least = min(table.suspects.values(), key=lambda suspect: suspect.count)
    del table.suspects[least.signature]
    table.unreported.pop(least.signature, None)


def _set_ends(suspect: Suspect, ends: tuple[UpstreamEnd, ...]) -> None:
    suspect.ends = tuple(sorted(ends, key=lambda end: end.at)[-MAX_ENDS:])


def clear_suspect(table: SuspectTable, signature: bytes, now: Seconds) -> bool:
    """Remove all ends recorded for a request; return False if there were none."""
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
    """Return how a request may run at this process's upstreams now."""
    suspect = table.suspects.get(signature)
    if suspect is None or is_expired(table, suspect, now):
        return _UNRESTRICTED
    if suspect.count < table.limits.apart_from:
        return _UNRESTRICTED
    if not is_quarantined(table, suspect):
        return _ISOLATED
    trial_at = find_trial_at(table, suspect)
    if now < trial_at:
        return Quarantined((trial_at - now) * MILLISECONDS_PER_SECOND)
    return _TRIAL


def record_trial(table: SuspectTable, signature: bytes, now: Seconds) -> None:
    """Record that a suspect runs now.

    If it is quarantined, this is a trial, and the next trial has to wait for its result.
    """
    suspect = table.suspects.get(signature)
    if suspect is not None and is_quarantined(table, suspect):
        suspect.tried_at = now


def is_quarantined(table: SuspectTable, suspect: Suspect) -> bool:
    """Return whether enough upstreams ended while running a request to run it only as a trial."""
    return suspect.count >= table.limits.quarantine_from


def is_withheld(table: SuspectTable, signature: bytes, now: Seconds) -> bool:
    """Return whether a request that was admitted must no longer run.

    That is so if it has been quarantined since, unless it was admitted as a trial.
    """
    suspect = table.suspects.get(signature)
    if suspect is None or is_expired(table, suspect, now):
        return False
    is_tried = suspect.tried_at is not None and suspect.tried_at >= suspect.last.at
    return is_quarantined(table, suspect) and not is_tried


def find_trial_at(table: SuspectTable, suspect: Suspect) -> Seconds:
    """Return when this process lets a quarantined request run as a trial."""
    trial_at = suspect.last.at + _compute_quarantine(table, suspect)
    if suspect.last.id.owner != table.node:
        trial_at += OTHER_NODES_TRIAL_DELAY + OTHER_NODES_TRIAL_SPREAD * _hash_to_fraction(
            table.node, suspect
        )
    if suspect.tried_at is not None and suspect.tried_at >= suspect.last.at:
        trial_at = max(trial_at, suspect.tried_at + TRIAL_RETRY_DELAY)
    return trial_at


def _hash_to_fraction(node: str, suspect: Suspect) -> float:
    """Return a fraction that differs between nodes and trials and is the same on each call."""
    data = b"".join((node.encode(), suspect.signature, bytes([suspect.count])))
    return zlib.crc32(data) / _CRC_VALUES


def _compute_quarantine(table: SuspectTable, suspect: Suspect) -> Seconds:
    limits = table.limits
    extra_ends = suspect.count - limits.quarantine_from
    return min(MAX_QUARANTINE, limits.quarantine * QUARANTINE_GROWTH**extra_ends)


def is_expired(table: SuspectTable, suspect: Suspect, now: Seconds) -> bool:
    """Return whether the suspicion of a request has expired."""
    since = suspect.last.at if suspect.ends else suspect.recorded_at
    keep = table.limits.keep
    if is_quarantined(table, suspect):
        keep += _compute_quarantine(table, suspect)
    return now - since >= keep


def remove_expired(table: SuspectTable, now: Seconds) -> None:
    """Remove the suspects that have expired."""
    expired = [s.signature for s in table.suspects.values() if is_expired(table, s, now)]
    for signature in expired:
        del table.suspects[signature]
        table.unreported.pop(signature, None)


def merge_report(table: SuspectTable, report: SuspectReport, now: Seconds) -> bool:
    """Merge a report of another process; return whether it contained anything new."""
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
    """Merge a report of another process and mark the suspect as unreported if anything was new.

    Return whether anything was new.
    """
    is_new = merge_report(table, report, now)
    if is_new:
        table.unreported[report.signature] = None
    return is_new


def _merge_ends(suspect: Suspect, report: SuspectReport, now: Seconds) -> bool:
    # An end keeps the earliest time reported for it; otherwise each report would make it newer.
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
    """Return the report that goes with a request to its owner node, None if it has no ends."""
    suspect = table.suspects.get(signature)
    return create_report(suspect, now) if suspect is not None and suspect.ends else None


def create_report(suspect: Suspect, now: Seconds) -> SuspectReport:
    """Create the report of a suspect for another process."""
    ends = tuple(
        UpstreamEndReport(end.id, (now - end.at) * MILLISECONDS_PER_SECOND, end.is_excused)
        for end in suspect.ends
    )
    return SuspectReport(suspect.signature, suspect.service, suspect.cleared, ends)


def list_unreported(table: SuspectTable, now: Seconds) -> tuple[SuspectReport, ...]:
    """Return reports of the suspects that have not been reported to other processes yet."""
    return tuple(create_report(table.suspects[signature], now) for signature in table.unreported)


def pop_unreported(table: SuspectTable, now: Seconds) -> tuple[SuspectReport, ...]:
    """Return reports of the unreported suspects and mark them as reported."""
    reports = list_unreported(table, now)
    table.unreported.clear()
    return reports


def list_restricted(table: SuspectTable, now: Seconds) -> tuple[SuspectReport, ...]:
    """Return reports of the suspects that are restricted; these reports are sent repeatedly."""
    restricted = [s for s in table.suspects.values() if s.count >= table.limits.apart_from]
    return tuple(create_report(suspect, now) for suspect in restricted)
