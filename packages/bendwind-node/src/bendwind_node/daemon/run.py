"""Build a process's tasks from its settings and run them until a planned stop."""

import gc
import os
import random
import signal
import time
from dataclasses import dataclass
from pathlib import Path

import trio
from expression import Error, Ok, Result

from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.membership import (
    ClaimGroupsChanged,
    ConfigurationApplied,
    LeaseTimes,
    UpstreamsChanged,
    ViewEffect,
    VoterPlace,
)
from bendwind_core.messages import Hello
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Instance, Upstream
from bendwind_node.calls.announce_asgi import AnnounceApp
from bendwind_node.calls.call_task import CallTask
from bendwind_node.calls.caller_asgi import serve_asgi, serve_callers_asgi
from bendwind_node.calls.caller_h11 import H11Server
from bendwind_node.calls.entry_node import EntryNode
from bendwind_node.calls.owner_node import OwnerNode
from bendwind_node.claims.task import GroupsPushed, LeaseProven, create_claim_task
from bendwind_node.control.service import open_control
from bendwind_node.daemon.dispatcher import Dispatcher
from bendwind_node.daemon.listeners import Listeners, find_port, open_listeners
from bendwind_node.daemon.metrics import render_metrics
from bendwind_node.daemon.status import DaemonStatus
from bendwind_node.links import create_link_hub
from bendwind_node.logs import configure_logging
from bendwind_node.membership import MembershipTask, create_membership_task
from bendwind_node.operators import (
    OperatorAuthority,
    OperatorsApp,
    Response,
    create_certificate_authority,
    create_open_authority,
    create_token_authority,
)
from bendwind_node.security import Keys, load_keys, watch_keys
from bendwind_node.settings import OperatorsTable, Settings

# Time for the others to hear of a drain before callers are sent away.
DRAIN_NOTICE: Seconds = 1.0
HAND_OVER_TIMEOUT: Seconds = 10.0
DRAIN_TIMEOUT: Seconds = 60.0
IDLE_POLL: Seconds = 0.02
LEASE_POLL: Seconds = 0.5
OPERATORS_KEEP_ALIVE: Seconds = 30.0
MAX_HEADER_BYTES = 16 * 1024


@dataclass(slots=True, eq=False)
class Daemon:
    """Hold the tasks of one process."""

    settings: Settings
    listeners: Listeners
    recorder: Recorder
    dispatcher: Dispatcher
    stopping: trio.Event
    callers_done: trio.Event
    keys: Keys | None = None


async def run_daemon(settings: Settings) -> Result[None, str]:
    """Run a process until it is told to stop.

    Errors: a text that says why it could not start.
    """
    configure_logging(settings)
    opened = await open_listeners(settings)
    if opened.is_error():
        return opened
    listeners = opened.ok
    recorder = Recorder(
        settings.instance.name,
        lambda: time.time_ns() // 1_000_000,
        settings.timeline.capacity,
        lambda: time.monotonic_ns() // 1_000,
    )
    dispatcher = Dispatcher(settings.instance.name)
    daemon = Daemon(settings, listeners, recorder, dispatcher, trio.Event(), trio.Event())
    async with trio.open_nursery() as nursery:
        built = _build(daemon, nursery)
        if built.is_error():
            return built
        await _start(daemon, nursery)
        await daemon.stopping.wait()
        await _stop(daemon)
        nursery.cancel_scope.cancel()
    recorder.record(EventKind.PROCESS_STOPPED)
    return Ok(None)


def _create_instance(settings: Settings, listeners: Listeners) -> Instance:
    incarnation = time.time_ns() // 1_000_000
    return Instance(
        settings.instance.name,
        settings.instance.data_centre,
        settings.peers.host,
        find_port(listeners.peers),
        incarnation,
        f"{settings.operators.host}:{find_port(listeners.operators)}",
    )


def _build(daemon: Daemon, nursery: trio.Nursery) -> Result[None, str]:
    settings = daemon.settings
    recorder = daemon.recorder
    dispatcher = daemon.dispatcher
    rng = random.Random()
    own = _create_instance(settings, daemon.listeners)
    seconds = MILLISECONDS_PER_SECOND
    times = LeaseTimes(settings.lease.heartbeat_ms / seconds, settings.lease.lease_ms / seconds)
    voters = tuple(VoterPlace(voter.name, "") for voter in settings.voters)
    names = tuple(voter.name for voter in voters)
    membership = create_membership_task(
        own, voters, times, dispatcher.send, recorder, rng, settings.watch.services
    )
    dispatcher.membership = membership

    def make_hello(epoch: int) -> Hello:
        return Hello(own, epoch, membership.view.version, membership.confirmed_age_ms())

    loaded = _load_keys(daemon)
    if loaded.is_error():
        return loaded
    hub = create_link_hub(
        own,
        dispatcher,
        recorder,
        make_hello,
        lambda: None if daemon.keys is None else daemon.keys.server,
        lambda: None if daemon.keys is None else daemon.keys.client,
    )
    for voter in settings.voters:
        hub.learn_address(voter.name, voter.host, voter.port)
    dispatcher.hub = hub
    dispatcher.claims = create_claim_task(own, names, dispatcher.send, membership.watch, recorder)
    dispatcher.owner = OwnerNode(
        own,
        recorder,
        nursery,
        settings.lease.lease_ms,
        settings.limits.body_bytes,
        lambda upstream: _announce(membership, upstream),
    )
    dispatcher.entry = EntryNode(
        own,
        recorder,
        nursery,
        hub,
        dispatcher.owner,
        membership,
        dispatcher.claims,
        rng,
        AttemptIds(own.name, own.incarnation),
    )
    membership.listeners.append(lambda effect: _hear_membership(dispatcher, effect))
    if settings.control is None:
        return Ok(None)
    folder = Path(settings.control.data_folder)
    opened = open_control(own.name, names, folder, times, dispatcher.send, recorder, rng)
    if opened.is_error():
        return Error(f"{folder}: {opened.error}")
    dispatcher.control = opened.ok
    return Ok(None)


def _load_keys(daemon: Daemon) -> Result[None, str]:
    table = daemon.settings.tls
    if table is None:
        return Ok(None)
    match load_keys(table, daemon.recorder, daemon.settings.operators.client_authority):
        case Result(tag="ok", ok=keys):
            daemon.keys = keys
            return Ok(None)
        case Result(error=fault):
            return Error(str(fault))


def _hear_membership(dispatcher: Dispatcher, effect: ViewEffect) -> None:
    match effect:
        case UpstreamsChanged(service=service):
            for upstream in dispatcher.membership.upstreams(service):
                owner = upstream.owner
                dispatcher.hub.learn_address(owner.name, owner.host, owner.port)
                dispatcher.owner.hear_pushed(upstream)
            dispatcher.entry.refresh_upstreams(service)
        case ConfigurationApplied():
            for service in tuple(dispatcher.entry.desks):
                dispatcher.entry.refresh_upstreams(service)
        case ClaimGroupsChanged():
            groups = tuple(dispatcher.membership.claim_groups.values())
            dispatcher.claims.inbox.send_nowait(GroupsPushed(groups))


def _announce(membership: MembershipTask, upstream: Upstream) -> None:
    membership.announce(upstream)
    # What the voters push of a served service tells this node of operators' drain marks.
    membership.watch(upstream.service)


async def _start(daemon: Daemon, nursery: trio.Nursery) -> None:
    settings = daemon.settings
    dispatcher = daemon.dispatcher
    nursery.start_soon(dispatcher.hub.run, daemon.listeners.peers)
    if dispatcher.control is not None:
        await nursery.start(dispatcher.control.run)
    await nursery.start(dispatcher.membership.run)
    nursery.start_soon(dispatcher.claims.run)
    nursery.start_soon(dispatcher.owner.run_clock)
    nursery.start_soon(_prove_lease, dispatcher)
    nursery.start_soon(_watch_signals, daemon.stopping)
    if daemon.keys is not None:
        nursery.start_soon(watch_keys, daemon.keys)
    _serve_upstreams(daemon, nursery)
    _serve_operators(daemon, nursery)
    _serve_callers(daemon, nursery)
    gc.collect()
    gc.freeze()
    ports = " ".join(
        f"{name}={find_port(getattr(daemon.listeners, name))}"
        for name in ("peers", "callers", "upstreams", "operators")
    )
    daemon.recorder.record(EventKind.PROCESS_STARTED, detail=f"{settings.instance.name} {ports}")


def _serve_callers(daemon: Daemon, nursery: trio.Nursery) -> None:
    limits = daemon.settings.limits
    task = CallTask(daemon.dispatcher.entry, limits.in_flight, limits.body_bytes)

    match daemon.settings.callers.server:
        case "h11":
            server = H11Server(
                task.handle, limits.keep_alive_s, limits.header_bytes, limits.connections
            )
            nursery.start_soon(server.run, daemon.listeners.callers, daemon.callers_done)
        case "hypercorn":
            nursery.start_soon(
                serve_callers_asgi,
                task.handle,
                _detach(daemon.listeners.callers),
                limits.keep_alive_s,
                limits.header_bytes,
                daemon.callers_done,
            )


def _serve_upstreams(daemon: Daemon, nursery: trio.Nursery) -> None:
    app = AnnounceApp(daemon.dispatcher.owner, daemon.settings.lease.lease_ms)
    file_number = _detach(daemon.listeners.upstreams)
    nursery.start_soon(
        serve_asgi, app, file_number, OPERATORS_KEEP_ALIVE, MAX_HEADER_BYTES, trio.Event()
    )


def _serve_operators(daemon: Daemon, nursery: trio.Nursery) -> None:
    dispatcher = daemon.dispatcher
    table = daemon.settings.operators
    source = DaemonStatus(
        dispatcher.hub.own, dispatcher.membership, dispatcher.owner, dispatcher.control
    )
    app = OperatorsApp(
        None if dispatcher.control is None else dispatcher.control.client,
        source,
        daemon.recorder,
        _choose_authority(table),
        lambda: time.time_ns() // 1_000_000,
        daemon.stopping.set,
        lambda accept: _render_metrics(daemon, accept),
    )
    file_number = _detach(daemon.listeners.operators)
    tls = None if daemon.keys is None or table.insecure else daemon.keys.operators
    nursery.start_soon(
        serve_asgi, app, file_number, OPERATORS_KEEP_ALIVE, MAX_HEADER_BYTES, trio.Event(), tls
    )


def _render_metrics(daemon: Daemon, accept: str) -> Response:
    rendered = render_metrics(daemon.dispatcher, daemon.recorder, accept)
    return Response(200, rendered.body, rendered.content_type)


def _choose_authority(table: OperatorsTable) -> OperatorAuthority:
    if table.token_file is not None:
        return create_token_authority(table.token_file)
    if table.client_authority is not None:
        return create_certificate_authority()
    return create_open_authority(table.host)


def _detach(listeners: list[trio.SocketListener]) -> int:
    return os.dup(listeners[0].socket.fileno())


async def _prove_lease(dispatcher: Dispatcher) -> None:
    """Tell the claim holders until when the configuration is proven fresh."""
    membership = dispatcher.membership
    while True:
        confirmed_at = membership.view.confirmed_at
        if confirmed_at is not None:
            until = confirmed_at + membership.view.times.provable
            await dispatcher.claims.inbox.send(LeaseProven(until))
        await trio.sleep(LEASE_POLL)


async def _watch_signals(stopping: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopping.set()
            return


async def _stop(daemon: Daemon) -> None:
    """Stop as planned: drain, send callers away, hand claims over, finish what is in flight."""
    dispatcher = daemon.dispatcher
    daemon.recorder.record(EventKind.PROCESS_STOPPING)
    dispatcher.owner.drain()
    await trio.sleep(DRAIN_NOTICE)
    daemon.callers_done.set()
    with trio.move_on_after(HAND_OVER_TIMEOUT):
        await dispatcher.claims.hand_over()
    with trio.move_on_after(DRAIN_TIMEOUT):
        while dispatcher.entry.runs or not dispatcher.owner.is_idle():
            await trio.sleep(IDLE_POLL)
    for name in tuple(dispatcher.owner.owned):
        dispatcher.owner.left(name)
    await trio.sleep(IDLE_POLL)
