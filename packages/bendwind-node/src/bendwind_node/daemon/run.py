"""Run a process until a planned stop."""

import gc
import signal

import trio
from expression import Ok, Result

from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds
from bendwind_core.timeline import EventKind
from bendwind_node.calls.owned_upstream import UpstreamAddress
from bendwind_node.claims.task import LeaseProven
from bendwind_node.daemon.build import build_daemon, choose_incarnation, prepare_daemon
from bendwind_node.daemon.dispatcher import Dispatcher
from bendwind_node.daemon.extension import NO_EXTENSION, Extension
from bendwind_node.daemon.listeners import find_port, open_listeners
from bendwind_node.daemon.metrics_page import serve_metrics
from bendwind_node.daemon.reload import watch_settings
from bendwind_node.daemon.serve import serve_all
from bendwind_node.daemon.state import Daemon
from bendwind_node.early_signals import STOP_SIGNALS, is_stop_requested
from bendwind_node.security import watch_keys
from bendwind_node.settings import Settings

LEAD_TIMEOUT: Seconds = 2.0
IDLE_POLL: Seconds = 0.02
# Calls to the other addresses take milliseconds; one that waits for the log may take longer.
PAGES_TIMEOUT: Seconds = 0.25
LEASE_POLL: Seconds = 0.5


async def run_daemon(settings: Settings, extension: Extension = NO_EXTENSION) -> Result[None, str]:
    """Run a process until it is told to stop.

    Errors: a text that says why it could not start.
    """
    opened = await open_listeners(settings)
    if opened.is_error():
        return opened
    async with trio.open_nursery() as nursery:
        prepared = prepare_daemon(settings, opened.ok)
        if prepared.is_error():
            return prepared
        daemon = prepared.ok
        incarnation = await choose_incarnation(daemon)
        built = build_daemon(daemon, nursery, extension, incarnation)
        if built.is_error():
            return built
        if is_stop_requested():
            # Nothing is served yet, so that nothing has to be finished.
            return Ok(None)
        await _start(daemon, nursery, extension)
        if extension.serve is not None:
            served = await extension.serve(daemon, nursery)
            if served.is_error():
                nursery.cancel_scope.cancel()
                return served
        daemon.recorder.record(EventKind.PROCESS_STARTED, detail=_describe_start(daemon))
        await daemon.stopping.wait()
        await _stop(daemon)
        nursery.cancel_scope.cancel()
    endings = "; ".join(account.describe() for account in daemon.accounts)
    daemon.recorder.record(EventKind.PROCESS_STOPPED, detail=endings)
    return Ok(None)


async def _start(daemon: Daemon, nursery: trio.Nursery, extension: Extension) -> None:
    dispatcher = daemon.dispatcher
    nursery.start_soon(dispatcher.hub.run, daemon.listeners.peers)
    if dispatcher.control is not None:
        await nursery.start(dispatcher.control.run)
    await nursery.start(dispatcher.membership.run)
    nursery.start_soon(dispatcher.claims.run)
    nursery.start_soon(dispatcher.quotas.run)
    nursery.start_soon(dispatcher.owner.run_clock)
    nursery.start_soon(dispatcher.probes.run)
    if daemon.settings.beside is not None:
        beside = daemon.settings.beside
        place = UpstreamAddress(beside.service, beside.host, beside.port)
        nursery.start_soon(dispatcher.owner.register.register_by_health_path, place)
    nursery.start_soon(_prove_lease, dispatcher)
    nursery.start_soon(_watch_signals, daemon)
    if daemon.keys is not None:
        nursery.start_soon(watch_keys, daemon.keys)
    if extension.settings_file is not None and extension.load is not None:
        file, load = extension.settings_file, extension.load
        nursery.start_soon(watch_settings, daemon, file, load)
    serve_all(daemon, nursery)
    if daemon.settings.metrics is not None:
        await serve_metrics(daemon, daemon.settings.metrics, nursery)
    # What is built now lives as long as the process: the collector need not look at it again, nor
    # now, while callers wait for the process to start.
    gc.freeze()


def _describe_start(daemon: Daemon) -> str:
    tables = ("peers", "callers", "upstreams", "operators", "readiness")
    opened = {table: getattr(daemon.listeners, table) for table in tables} | daemon.listeners.extra
    ports = " ".join(f"{name}={find_port(listeners)}" for name, listeners in opened.items())
    return f"{ports} data_centre={daemon.settings.instance.data_centre}"


async def _prove_lease(dispatcher: Dispatcher) -> None:
    """Tell the claim holders until when the claim groups they know are proven the newest."""
    membership = dispatcher.membership
    await dispatcher.claims.has_holders.wait()
    while True:
        confirmed_at = membership.view.groups_confirmed_at
        if confirmed_at is not None:
            until = confirmed_at + membership.view.times.provable_lease
            await dispatcher.claims.inbox.send(LeaseProven(until))
        await trio.sleep(LEASE_POLL)


async def _watch_signals(daemon: Daemon) -> None:
    # Open until the process ends: without it a second signal would end the process while requests
    # are in hand.
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        if is_stop_requested():
            daemon.stopping.set()
        async for number in signals:
            if daemon.stopping.is_set():
                detail = signal.Signals(number).name
                daemon.recorder.record(EventKind.STOP_ASKED_AGAIN, detail=detail)
            daemon.stopping.set()


async def _stop(daemon: Daemon) -> None:
    """Stop as planned: drain, send callers away, hand claims over, finish what is in flight."""
    dispatcher = daemon.dispatcher
    limits = daemon.settings.stop
    daemon.recorder.record(EventKind.PROCESS_STOPPING)
    # Time for callers to be sent elsewhere. The upstream stays in use: it runs on, and each second
    # that it is spared is missing to its service.
    await trio.sleep(limits.notice_ms / MILLISECONDS_PER_SECOND)
    dispatcher.owner.register.drain()
    daemon.callers_done.set()
    with trio.move_on_after(limits.claims_ms / MILLISECONDS_PER_SECOND):
        await dispatcher.claims.leave_groups()
    with trio.move_on_after(limits.drain_ms / MILLISECONDS_PER_SECOND):
        await _finish_calls(daemon)
    # Cancelled requests are answered as not run or unknown, see H11Exchange.give_up.
    daemon.callers_scope.cancel()
    await _close_pages(daemon)
    if dispatcher.control is not None:
        # Otherwise the other voters wait out an election timeout without a leader.
        with trio.move_on_after(LEAD_TIMEOUT):
            await dispatcher.control.voter.hand_over()
    for name in tuple(dispatcher.owner.register.owned):
        dispatcher.owner.register.handle_departure(name)
    await trio.sleep(IDLE_POLL)
    # Answers for other nodes' callers may be on their way.
    await dispatcher.hub.flush()


async def _close_pages(daemon: Daemon) -> None:
    """Let the other addresses finish what they have in hand, then cancel the rest."""
    daemon.pages_done.set()
    with trio.move_on_after(PAGES_TIMEOUT):
        for closed in daemon.pages_closed:
            await closed.wait()
    # What would begin from here on could not end; its caller is told that it has not run.
    for scope in daemon.pages_scopes:
        scope.cancel()


async def _finish_calls(daemon: Daemon) -> None:
    # Once no caller is connected, no request can come after the last look at the work.
    if daemon.settings.callers is not None:
        await daemon.callers_closed.wait()
    while _has_work(daemon):
        await trio.sleep(IDLE_POLL)


def _has_work(daemon: Daemon) -> bool:
    dispatcher = daemon.dispatcher
    has_requests = any(account.in_flight for account in daemon.accounts)
    has_calls = bool(dispatcher.entry.runs) or not dispatcher.owner.is_idle()
    # An outcome that no claim holder has confirmed yet would be told as unknown to a resend.
    return has_requests or has_calls or bool(dispatcher.claims.entry.pending_settlements)
