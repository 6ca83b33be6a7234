"""Tell a voter what an owner node knows against requests."""

from collections.abc import Callable

import msgspec

from bendwind_core.core import Seconds
from bendwind_core.membership.suspicions import REPEAT_EVERY
from bendwind_core.suspicion import (
    SuspectReport,
    SuspectTable,
    list_restricted,
    list_unreported,
    remove_expired,
)

# Returns False if there is no way to the voter now.
SendSuspects = Callable[[tuple[SuspectReport, ...]], bool]


class SuspectReporter(msgspec.Struct):
    """Hold what is to be reported, and when the rest was reported last."""

    table: SuspectTable
    send: SendSuspects = lambda reports: False
    resent_at: Seconds = 0.0

    def report_new(self, now: Seconds) -> None:
        """Tell what is new; it stays to be reported while no voter is reached."""
        if self.send(list_unreported(self.table, now)):
            self.table.unreported.clear()

    def resend_restricted(self, services: frozenset[str], now: Seconds) -> None:
        """Tell again what has a consequence for these services, once in a while.

        The voter may have missed it, or be another one.
        """
        if now - self.resent_at < REPEAT_EVERY:
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
