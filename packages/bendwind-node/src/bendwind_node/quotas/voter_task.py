"""Grant customers' tokens to nodes, and lend them to other voters."""

import math
from collections.abc import Callable
from typing import Protocol

import trio

from bendwind_core.core import Record, Seconds
from bendwind_core.quotas import (
    QuotaBounds,
    QuotaLoan,
    QuotaLoanRequest,
    QuotaRequest,
    QuotaReturn,
    QuotaSend,
    VoterQuotas,
    create_voter_quotas,
    handle_quota_loan,
    handle_quota_loan_request,
    handle_quota_request,
    handle_quota_return,
    record_confirmation,
    tick_voter,
    update_configuration,
    update_voters,
)
from bendwind_core.world import Configuration, Customer

Send = Callable[[str, Record], object]

# While nodes wait for a loan, a lender that does not answer is detected with at most this delay, a
# quarter of the time that it has.
_BUSY_TICK: Seconds = 0.01
# The interval between searches for full buckets, which no request waits for.
_IDLE_TICK: Seconds = 0.5


class QuotaControl(Protocol):
    """Define what the quotas need from the control voter in the same process."""

    @property
    def configuration(self) -> Configuration:
        """Return the configuration as of the newest applied log entry."""

    @property
    def voter_id(self) -> int | None:
        """Return this process's id among the committed voters, None if it is none."""

    @property
    def voter_names(self) -> tuple[str, ...]:
        """Return the names of the committed voters."""


class VoterQuotaTask:
    """Own a voter's quotas."""

    __slots__ = ("_customers", "_has_work", "_voters", "control", "quotas", "send")

    def __init__(self, quotas: VoterQuotas, control: QuotaControl, send: Send):
        self.quotas = quotas
        self.control = control
        self.send = send
        self._customers: tuple[Customer, ...] | None = None
        self._voters: tuple[int | None, tuple[str, ...]] | None = None
        self._has_work = trio.Event()

    async def run(self) -> None:
        """Answer nodes that wait for a loan and remove full buckets, until cancelled."""
        while True:
            if self.quotas.busy:
                await trio.sleep(_BUSY_TICK)
            else:
                await self._wait_for_work()
            self._send_effects(tick_voter(self.quotas, trio.current_time()))

    async def _wait_for_work(self) -> None:
        self._has_work = trio.Event()
        with trio.move_on_after(_IDLE_TICK if self.quotas.accounts else math.inf):
            await self._has_work.wait()

    def refresh_state(self) -> None:
        """Apply the current voters and the customers' limits."""
        now = trio.current_time()
        voters = (self.control.voter_id, self.control.voter_names)
        if voters != self._voters:
            self._voters = voters
            voter_id, names = voters
            others = tuple(name for name in names if name != self.quotas.name)
            update_voters(self.quotas, voter_id, others, now)
        configuration = self.control.configuration
        # Most changes of the configuration do not change the customers. The quotas need the first
        # configuration even if it does not either.
        is_first = configuration.version > 0 and not self.quotas.is_configured
        if is_first or configuration.customers is not self._customers:
            self._customers = configuration.customers
            update_configuration(self.quotas, configuration, now)
            self._has_work.set()

    def handle_quorum_confirmed(self, started_at: Seconds) -> None:
        """Record that this voter has applied everything that was accepted before a time."""
        record_confirmation(self.quotas, started_at)

    def receive(self, sender: str, message: Record) -> None:
        """Handle a message of a node or of another voter."""
        now = trio.current_time()
        had_accounts = bool(self.quotas.accounts)
        match message:
            case QuotaRequest():
                self._send_effects(handle_quota_request(self.quotas, sender, message, now))
            case QuotaLoanRequest():
                self._send_effects(handle_quota_loan_request(self.quotas, sender, message, now))
            case QuotaLoan():
                self._send_effects(handle_quota_loan(self.quotas, sender, message, now))
            case QuotaReturn():
                handle_quota_return(self.quotas, message, now)
        if self.quotas.busy or not had_accounts:
            self._has_work.set()

    def _send_effects(self, effects: list[QuotaSend]) -> None:
        for effect in effects:
            self.send(effect.to, effect.message)


def create_voter_quota_task(
    name: str,
    run: int,
    bounds: QuotaBounds,
    kept_voters: int,
    confirmed_for: Seconds,
    control: QuotaControl,
    send: Send,
) -> VoterQuotaTask:
    """Create the task of a voter that has just started; call it inside a trio run."""
    quotas = create_voter_quotas(name, run, bounds, kept_voters, confirmed_for)
    return VoterQuotaTask(quotas, control, send)
