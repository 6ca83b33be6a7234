"""Send the suspect reports of an owner node to a voter."""

from collections.abc import Callable

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.membership.suspicions import REPEAT_INTERVAL
from bendwind_core.suspicion import (
    SuspectReport,
    SuspectTable,
    list_restricted,
    list_unreported,
    remove_expired,
)

# Returns False if no voter is reachable at present.
SendSuspects = Callable[[tuple[SuspectReport, ...]], bool]


class SuspectReporter(msgspec.Struct):
    """Hold the suspects to report, and when the restricted ones were last resent."""

    table: SuspectTable
    send: SendSuspects = lambda reports: False
    resent_at: Seconds = 0.0

    def report_new(self, now: Seconds) -> None:
        """Send the new reports; they stay queued while no voter is reachable."""
        if self.send(list_unreported(self.table, now)):
            self.table.unreported.clear()

    def resend_restricted(self, services: frozenset[str], now: Seconds) -> None:
        """Resend the reports that restrict requests of these services, at a fixed interval.

        The voter may have missed them, or another voter may have taken its place.
        """
        if now - self.resent_at < REPEAT_INTERVAL:
            return
        self.resent_at = now
        remove_expired(self.table, now)
        restricted = [
            report for report in list_restricted(self.table, now) if report.service in services
        ]
        if restricted:
            self.send(tuple(restricted))
        if self.table.unreported:
            self.report_new(now)
