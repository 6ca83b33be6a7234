"""Run a voter's registry of nodes: leases, configuration pushes, gossip and status."""

import random
from collections.abc import Callable, Mapping
from typing import Protocol

import trio

from bendwind_core.claims import ClaimGroup
from bendwind_core.core import Record, Seconds
from bendwind_core.membership import (
    ConfigurationAccepted,
    DrainMarksAccepted,
    LeaseTimes,
    LinkLost,
    MemberAppeared,
    MemberLost,
    MessageReceived,
    NodeStatus,
    QuorumConfirmed,
    RegistryEffect,
    RegistryEvent,
    RunOvertaken,
    SendTo,
    StatusReply,
    StatusRequest,
    Tick,
    VoterPlace,
    VoterRegistry,
    VotersChanged,
    create_voter_registry,
    is_voter,
    list_alive,
    list_status,
    step_registry,
)
from bendwind_core.messages import IncarnationReply
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Configuration, Instance
from bendwind_node.failure import HandledInput

Send = Callable[[str, Record], None]

_TICK_INTERVAL = 0.05
# Nodes detach from a voter whose last quorum confirmation is older than half a lease. With this
# value two quorum rounds start within half a lease.
_BARRIERS_PER_LEASE = 4
_MAX_BARRIER_INTERVAL = 1.0
_INBOX_SIZE = 4096
_ROWS_PER_REPLY = 200
_STATUS_TIMEOUT = 1.0


class ControlLog(Protocol):
    """Define what the registry needs from the control voter in the same process."""

    @property
    def configuration(self) -> Configuration:
        """Return the configuration as of the newest applied log entry."""

    @property
    def claim_groups(self) -> Mapping[str, ClaimGroup]:
        """Return the claim groups by service as of the newest applied log entry."""

    @property
    def drain_marks(self) -> DrainMarksAccepted:
        """Return the drain marks as of the newest applied log entry."""

    @property
    def voter_places(self) -> tuple[VoterPlace, ...]:
        """Return the current voters with their addresses."""

    async def confirm(self) -> bool:
        """Run a quorum round; True means that all entries accepted before the call are applied."""


class StateObserver(Protocol):
    """Define a component, besides the registry, that follows the voter's state."""

    def refresh_state(self) -> None:
        """Read the state as of the newest applied log entry."""

    def handle_quorum_confirmed(self, started_at: Seconds) -> None:
        """Handle a quorum's confirmation that the state was the newest at the round's start.

        Units: `started_at` is trio's clock, in seconds.
        """


class RegistryTask:
    """Run a voter's registry; `inbox` receives (sender, message) pairs from the peer links."""

    __slots__ = (
        "_claim_groups",
        "_drain_marks",
        "_has_vote",
        "_last_request_number",
        "_receive_channel",
        "_rng",
        "_status_replies",
        "control",
        "inbox",
        "observers",
        "recorder",
        "registry",
        "send",
    )

    def __init__(
        self,
        registry: VoterRegistry,
        control: ControlLog,
        send: Send,
        recorder: Recorder,
        rng: random.Random,
    ):
        self.registry = registry
        self.control = control
        self.send = send
        self.recorder = recorder
        self.observers: list[StateObserver] = []
        self._rng = rng
        self._claim_groups: Mapping[str, ClaimGroup] | None = None
        self._drain_marks = DrainMarksAccepted(frozenset(), frozenset())
        self._has_vote = trio.Event()
        self._update_has_vote()
        self._last_request_number = 0
        self._status_replies: dict[int, trio.MemorySendChannel] = {}
        self.inbox, self._receive_channel = trio.open_memory_channel[tuple[str, Record]](
            _INBOX_SIZE
        )

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Serve nodes and other voters until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._confirm)
            task_status.started()

    async def _receive(self) -> None:
        async for sender, message in self._receive_channel:
            match message:
                case StatusRequest():
                    self._handle_status_request(message)
                case StatusReply():
                    self._handle_status_reply(message)
                case _:
                    with HandledInput(message, sender):
                        self.step(MessageReceived(sender, message))

    async def _tick(self) -> None:
        while True:
            self._refresh_state()
            self.step(Tick())
            await trio.sleep(_TICK_INTERVAL)

    async def _confirm(self) -> None:
        while True:
            await self._has_vote.wait()
            started = trio.current_time()
            if await self.control.confirm():
                self._refresh_state()
                self.step(QuorumConfirmed(started))
                for observer in self.observers:
                    observer.handle_quorum_confirmed(started)
            lease = self.registry.times.lease
            await trio.sleep(min(_MAX_BARRIER_INTERVAL, lease / _BARRIERS_PER_LEASE))

    def _refresh_state(self) -> None:
        configuration = self.control.configuration
        groups = self.control.claim_groups
        is_newer = configuration.version > self.registry.configuration.version
        if is_newer or groups != self._claim_groups:
            self._claim_groups = dict(groups)
            self.step(ConfigurationAccepted(configuration, tuple(groups.values())))
        drain_marks = self.control.drain_marks
        if drain_marks != self._drain_marks:
            self._drain_marks = drain_marks
            self.step(drain_marks)
        voters = self.control.voter_places
        if voters != self.registry.voters:
            self.step(VotersChanged(voters))
            self._update_has_vote()
        for observer in self.observers:
            observer.refresh_state()

    def _update_has_vote(self) -> None:
        """Run quorum rounds on a voter only, not on a learner: nodes renew leases with voters."""
        if is_voter(self.registry):
            self._has_vote.set()
        elif self._has_vote.is_set():
            # Replaced only if it is set: a task may be waiting on an unset event, and it would miss
            # the vote if the event was replaced.
            self._has_vote = trio.Event()

    def handle_link_lost(self, peer: str) -> None:
        """Handle the loss of a link, over which pushes may have been under way to a node."""
        self.step(LinkLost(peer))

    def step(self, event: RegistryEvent) -> None:
        """Apply an event to the registry immediately, and then its effects."""
        for effect in step_registry(self.registry, event, trio.current_time(), self._rng):
            self._apply_effect(effect)

    def _apply_effect(self, effect: RegistryEffect) -> None:
        match effect:
            case SendTo(to=to, message=message):
                self.send(to, message)
            case RunOvertaken(name=name, incarnation=incarnation):
                self.send(name, IncarnationReply(incarnation))
            case MemberAppeared(node=node):
                self.recorder.record(EventKind.MEMBER_APPEARED, detail=node.name)
            case MemberLost(node=node):
                self.recorder.record(EventKind.MEMBER_LOST, detail=node.name)

    def alive(self) -> tuple[Instance, ...]:
        """Return the nodes that count as alive, for the placement of claims."""
        return list_alive(self.registry)

    async def status(self) -> tuple[NodeStatus, ...]:
        """Return the nodes attached to any voter that replies in time, ordered by name."""
        rows = {row.node: row for row in list_status(self.registry, trio.current_time())}
        self._last_request_number += 1
        number = self._last_request_number
        sender, receiver = trio.open_memory_channel[StatusReply](_INBOX_SIZE)
        self._status_replies[number] = sender
        try:
            with trio.move_on_after(_STATUS_TIMEOUT):
                await self._collect_status(number, receiver, rows)
        finally:
            del self._status_replies[number]
        return tuple(rows[name] for name in sorted(rows))

    async def _collect_status(
        self, number: int, replies: trio.MemoryReceiveChannel, rows: dict[str, NodeStatus]
    ) -> None:
        waiting = set(self.registry.peers)
        for voter in waiting:
            self.send(voter, StatusRequest(self.registry.name, number))
        while waiting:
            reply = await replies.receive()
            for row in reply.rows:
                known = rows.get(row.node)
                if known is None or row.heartbeat_age_ms < known.heartbeat_age_ms:
                    rows[row.node] = row
            if not reply.more:
                waiting.discard(reply.voter)

    def _handle_status_request(self, request: StatusRequest) -> None:
        rows = list_status(self.registry, trio.current_time())
        starts = range(0, max(len(rows), 1), _ROWS_PER_REPLY)
        for start in starts:
            part = rows[start : start + _ROWS_PER_REPLY]
            more = start != starts[-1]
            reply = StatusReply(self.registry.name, request.number, part, more)
            self.send(request.voter, reply)

    def _handle_status_reply(self, reply: StatusReply) -> None:
        waiting = self._status_replies.get(reply.number)
        if waiting is None:
            return
        try:
            waiting.send_nowait(reply)
        except (trio.WouldBlock, trio.BrokenResourceError):
            return


def create_registry_task(
    name: str,
    control: ControlLog,
    times: LeaseTimes,
    send: Send,
    recorder: Recorder,
    rng: random.Random,
) -> RegistryTask:
    """Create the registry task of a voter that has just started; call it inside a trio run."""
    registry = create_voter_registry(name, control.voter_places, times, trio.current_time())
    return RegistryTask(registry, control, send, recorder, rng)
