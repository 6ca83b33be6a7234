"""Probe owner nodes for the load of upstreams that got no recent calls from this node."""

import msgspec
import trio

from bendwind_core.core import Seconds
from bendwind_core.limits import ProbeBudget
from bendwind_core.routing import LoadProbe, LoadReport, plan_probes, record_load
from bendwind_node.calls.entry_node import EntryNode
from bendwind_node.calls.owner_node import OwnerNode
from bendwind_node.calls.upstream_choice import ServiceState

PROBE_INTERVAL: Seconds = 0.25
IDLE_CHECK_INTERVAL: Seconds = 1.0
# A service that gets no calls on this node needs no current load.
SERVICE_IDLE_AFTER: Seconds = 5.0


class ProbeTask(msgspec.Struct, eq=False):
    """Send the probes of one process; sent and answered probes share one budget."""

    entry: EntryNode
    owner: OwnerNode
    budget: ProbeBudget
    sent: int = 0

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            is_active = self.probe_all(trio.current_time())
            await trio.sleep(PROBE_INTERVAL if is_active else IDLE_CHECK_INTERVAL)

    def probe_all(self, now: Seconds) -> bool:
        """Probe for every service in use and return whether there is one."""
        active = [
            choice
            for choice in self.entry.service_states.values()
            if self._needs_probes(choice, now)
        ]
        for choice in active:
            self._probe(choice, now)
        return bool(active)

    def _needs_probes(self, choice: ServiceState, now: Seconds) -> bool:
        """Return whether a service is in use and its upstreams are chosen by load.

        Owners of a service with `near_first` refuse the attempts that they would answer late, so
        they need not be probed beforehand.
        """
        service = self.entry.membership.services.get(choice.table.service)
        is_near_first = service is not None and service.near_first
        return not is_near_first and now - choice.last_call_at < SERVICE_IDLE_AFTER

    def _probe(self, choice: ServiceState, now: Seconds) -> None:
        for name in plan_probes(choice.table, self.budget, now):
            owner = choice.table.upstreams[name].upstream.owner.name
            # A probe does not justify opening a link.
            if owner in self.entry.hub.dialed:
                self.entry.send(owner, LoadProbe(name))
                self.sent += 1

    def receive(self, report: LoadReport) -> None:
        """Record the reported load of an upstream."""
        choice = self.entry.service_states.get(report.service)
        if choice is not None:
            record_load(choice.table, report.upstream, report.load, trio.current_time())
