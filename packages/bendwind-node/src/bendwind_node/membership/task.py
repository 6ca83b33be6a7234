"""Keep a node attached to a control voter and provide its view to the other tasks."""

import random
from collections.abc import Callable, Mapping

import msgspec
import trio

from bendwind_core.claims import ClaimGroup
from bendwind_core.core import Milliseconds, Record, Seconds
from bendwind_core.customers import CustomerTable
from bendwind_core.membership import (
    AttachmentChanged,
    ConfigurationApplied,
    ConfigurationDiffers,
    ConfigurationDropped,
    ConfigurationFetched,
    CustomersChanged,
    FreshnessChanged,
    LeaseTimes,
    LinkLost,
    MessageReceived,
    NodeView,
    PeerVersionReceived,
    PushLost,
    SendTo,
    ServiceWatched,
    SuspectReports,
    Tick,
    UpstreamAnnounced,
    ViewEffect,
    ViewEvent,
    VoterPlace,
    create_node_view,
    set_seeds,
    step_view,
)
from bendwind_core.suspicion import SuspectReport
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Customer, Instance, Routing, Service, Upstream
from bendwind_node.failure import HandledInput

Send = Callable[[str, Record], bool]
Listener = Callable[[ViewEffect], None]

# Share of the heartbeat interval between ticks. The view only acts on heartbeats and timeouts, so
# that a finer interval is not needed.
_TICK_SHARE = 0.25
# Until a voter has replied, the view sends heartbeats faster and needs a shorter tick interval.
_FIRST_TICK: Seconds = 0.02
_INBOX_CAPACITY = 256
# Maximum number of customer names in an event, so that its text remains one line however many
# customers change at once.
_NAMES_SHOWN = 8


class ConfigurationBasis(msgspec.Struct, frozen=True):
    """Hold what a node knew of the configuration when it decided something.

    `newest` is a newer version that a peer had stated, 0 if none had.
    Units: `age_ms` is the age of the proof of freshness in milliseconds, None without one.
    """

    version: int = 0
    age_ms: Milliseconds | None = None
    newest: int = 0


class MembershipTask:
    """Own a node's view; `inbox` receives (sender, message) from the peer links.

    `has_lost_push` is set when a configuration found no room in the inbox.
    """

    __slots__ = (
        "_receive_channel",
        "_rng",
        "has_lost_push",
        "inbox",
        "listeners",
        "recorder",
        "send",
        "view",
    )

    def __init__(self, view: NodeView, send: Send, recorder: Recorder, rng: random.Random):
        self.view = view
        self.send = send
        self.recorder = recorder
        self.listeners: list[Listener] = []
        self.has_lost_push = False
        self._rng = rng
        self.inbox, self._receive_channel = trio.open_memory_channel[tuple[str, Record]](
            _INBOX_CAPACITY
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Send heartbeats, handle messages and notify listeners until cancelled."""
        task_status.started()
        wake_at = trio.current_time() + self._find_tick_interval()
        while True:
            with trio.move_on_at(wake_at):
                sender, message = await self._receive_channel.receive()
                with HandledInput(message, sender):
                    self.step(MessageReceived(sender, message))
            self._recover_push()
            # Checked after messages too, so that a steady stream of them does not delay heartbeats.
            if trio.current_time() >= wake_at:
                self.step(Tick())
                wake_at = trio.current_time() + self._find_tick_interval()

    def _recover_push(self) -> None:
        """Have a lost configuration sent again once there is room for it."""
        is_empty = not self._receive_channel.statistics().current_buffer_used
        if self.has_lost_push and is_empty:
            self.has_lost_push = False
            self.step(PushLost())

    def _find_tick_interval(self) -> Seconds:
        tick = self.view.times.heartbeat * _TICK_SHARE
        return tick if self.view.attachment.has_received_reply else min(tick, _FIRST_TICK)

    def step(self, event: ViewEvent) -> None:
        """Apply an event immediately and carry out its effects."""
        for effect in step_view(self.view, event, trio.current_time(), self._rng):
            self._apply_effect(effect)

    def _apply_effect(self, effect: ViewEffect) -> None:
        match effect:
            case SendTo(to=to, message=message):
                self.send(to, message)
                return
            case AttachmentChanged(voter=voter, reason=reason):
                self.recorder.record(EventKind.VOTER_CHANGED, detail=f"{voter}: {reason}")
            case ConfigurationApplied(version=version):
                detail = _describe_applied(version, self.view)
                self.recorder.record(EventKind.CONFIGURATION_APPLIED, detail=detail)
            case ConfigurationDiffers(version=version):
                self.recorder.record(EventKind.CONFIGURATION_DIFFERS, detail=str(version))
            case ConfigurationDropped(version=version, reason=reason):
                detail = f"{version}: {reason}"
                self.recorder.record(EventKind.CONFIGURATION_DROPPED, detail=detail)
            case ConfigurationFetched(version=version, voter=voter):
                detail = f"{version} from {voter}"
                self.recorder.record(EventKind.CONFIGURATION_FETCHED, detail=detail)
            case CustomersChanged():
                detail = _describe_customers(effect)
                self.recorder.record(EventKind.CUSTOMERS_CHANGED, detail=detail)
            case FreshnessChanged(is_fresh=is_fresh):
                kind = EventKind.FRESHNESS_GAINED if is_fresh else EventKind.FRESHNESS_LOST
                self.recorder.record(kind, detail=str(self.view.version))
        for listener in self.listeners:
            listener(effect)

    def set_seeds(self, seeds: tuple[VoterPlace, ...]) -> None:
        """Replace the seeds by the voters listed in changed settings."""
        set_seeds(self.view, seeds)

    def is_fresh(self) -> bool:
        """Return whether calls may be served from the applied configuration."""
        return self.view.is_fresh(trio.current_time())

    def confirmed_age_ms(self) -> Milliseconds | None:
        """Return the age of the proof of freshness, None without one."""
        return self.view.confirmed_age_ms(trio.current_time())

    def read_basis(self) -> ConfigurationBasis:
        """Return the configuration on which a decision made now is based."""
        view = self.view
        newest = view.newest_peer_version if view.newest_peer_version > view.version else 0
        return ConfigurationBasis(view.version, self.confirmed_age_ms(), newest)

    def list_voters(self) -> tuple[str, ...]:
        """List the voters in the order of preference, rotated to begin with the one in use."""
        attachment = self.view.attachment
        index = attachment.index
        return attachment.order[index:] + attachment.order[:index]

    @property
    def services(self) -> Mapping[str, Service]:
        """Return the applied configuration of the watched services that exist."""
        return self.view.services

    @property
    def routing(self) -> Routing:
        """Return the applied routes."""
        return self.view.routing

    @property
    def evacuated(self) -> frozenset[str]:
        """Return the data centres whose upstreams receive no new attempts."""
        return self.view.evacuated

    @property
    def customers(self) -> CustomerTable | None:
        """Return the applied customers, None if requests need no key."""
        return self.view.customers

    def find_customer(self, name: str) -> Customer | None:
        """Return the customer of a name, None if there is none."""
        table = self.view.customers
        return None if table is None else table.by_name.get(name)

    @property
    def claim_groups(self) -> Mapping[str, ClaimGroup]:
        """Return the claim groups of the watched services."""
        return self.view.claim_groups

    def upstreams(self, service: str) -> tuple[Upstream, ...]:
        """List the upstreams of a watched service."""
        return self.view.upstreams(service)

    def watch(self, service: str) -> None:
        """Start to watch a service."""
        self.step(ServiceWatched(service))

    def announce(self, upstream: Upstream) -> None:
        """Register an upstream on this node's instance, or its new state; GONE unregisters it."""
        detail = f"{upstream.service} {upstream.state}"
        self.recorder.record(EventKind.UPSTREAM_ANNOUNCED, upstream=upstream.name, detail=detail)
        self.step(UpstreamAnnounced(upstream))

    def send_suspects(self, suspects: tuple[SuspectReport, ...]) -> bool:
        """Send suspect reports to the voter; return False if it cannot be reached now."""
        return self.send(self.view.voter, SuspectReports(suspects))

    def handle_link_lost(self, peer: str) -> None:
        """Handle the loss of the link to a peer."""
        self.step(LinkLost(peer))

    def handle_peer_version(
        self, peer: str, version: int, confirmed_age_ms: Milliseconds | None
    ) -> None:
        """Handle the version that another process stated in its Hello or in a later frame."""
        self.step(PeerVersionReceived(peer, version, confirmed_age_ms))


def _describe_applied(version: int, view: NodeView) -> str:
    return f"{version} d={view.cache.content.routing.digest:016x} n={len(view.routing.routes)}"


def _describe_customers(changed: CustomersChanged) -> str:
    names = changed.names[:_NAMES_SHOWN]
    more = len(changed.names) - len(names)
    listed = " ".join((*names, f"and {more} more") if more else names)
    if changed.customers is None:
        return f"keys are no longer required; {len(changed.names)} customers removed: {listed}"
    held = f"{changed.customers} customers with {changed.keys} keys"
    return f"{held}; {len(changed.names)} changed: {listed}"


def create_membership_task(
    instance: Instance,
    voters: tuple[VoterPlace, ...],
    times: LeaseTimes,
    send: Send,
    recorder: Recorder,
    rng: random.Random,
    services: tuple[str, ...] = (),
) -> MembershipTask:
    """Create the task of a node that has just started; call it inside a trio run."""
    view = create_node_view(instance, voters, times, trio.current_time(), rng, services)
    return MembershipTask(view, send, recorder, rng)
