"""Start a process and run it until its planned stop."""

import gc
import signal

import trio
from expression import Ok, Result

from bendwind_core.core import Seconds
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.calls.caller_h11 import FIRST_REQUEST_TIMEOUT
from bendwind_node.calls.owned_upstream import UpstreamAddress
from bendwind_node.claims.task import LeaseProven
from bendwind_node.daemon.build import (
    build_daemon,
    choose_incarnation,
    keep_incarnation,
    prepare_daemon,
)
from bendwind_node.daemon.dispatcher import Dispatcher
from bendwind_node.daemon.extension import NO_EXTENSION, Extension
from bendwind_node.daemon.listeners import find_port, open_listeners
from bendwind_node.daemon.metrics_page import serve_metrics
from bendwind_node.daemon.reload import watch_settings
from bendwind_node.daemon.run_marker import RunMarker
from bendwind_node.daemon.serve import serve_all
from bendwind_node.daemon.state import Daemon
from bendwind_node.daemon.stop_times import find_stop_times
from bendwind_node.early_signals import STOP_SIGNALS, is_stop_requested
from bendwind_node.failure import run_named
from bendwind_node.guarded_tasks import GuardedNursery
from bendwind_node.security import watch_keys
from bendwind_node.settings import Settings

IDLE_POLL_INTERVAL: Seconds = 0.02
# Requests to the auxiliary servers take milliseconds; one that waits for the control log may take
# longer.
AUXILIARY_TIMEOUT: Seconds = 0.25
LEASE_POLL_INTERVAL: Seconds = 0.5


async def run_daemon(
    settings: Settings,
    extension: Extension = NO_EXTENSION,
    recorder: Recorder | None = None,
    marker: RunMarker | None = None,
) -> Result[None, str]:
    """Run a process until it is requested to stop.

    Errors: a text with the reason why the process could not start.
    """
    opened = await open_listeners(settings)
    if opened.is_error():
        return opened
    async with trio.open_nursery() as nursery:
        prepared = prepare_daemon(settings, opened.ok, recorder)
        if prepared.is_error():
            return prepared
        daemon = prepared.ok
        incarnation = await choose_incarnation(daemon)
        built = build_daemon(daemon, nursery, extension, incarnation)
        if built.is_error():
            return built
        if is_stop_requested():
            # No server has started yet, so no request has to be finished.
            return Ok(None)
        keep_incarnation(daemon, incarnation)
        if marker is not None:
            marker.begin(daemon.recorder)
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
    account_totals = "; ".join(account.describe() for account in daemon.accounts)
    daemon.recorder.record(EventKind.PROCESS_STOPPED, detail=account_totals)
    if marker is not None:
        marker.end_planned(daemon.recorder)
    return Ok(None)


async def _start(daemon: Daemon, nursery: trio.Nursery, extension: Extension) -> None:
    dispatcher = daemon.dispatcher
    nursery.start_soon(run_named, dispatcher.hub.run, daemon.listeners.peers)
    if dispatcher.control is not None:
        await nursery.start(run_named, dispatcher.control.run)
    await nursery.start(run_named, dispatcher.membership.run)
    nursery.start_soon(run_named, dispatcher.claims.run)
    nursery.start_soon(run_named, dispatcher.quotas.run)
    nursery.start_soon(run_named, dispatcher.owner.run_clock)
    guarded = GuardedNursery(nursery, daemon.recorder)
    guarded.start_repeatedly(dispatcher.runs.run)
    guarded.start_repeatedly(dispatcher.probes.run)
    if daemon.settings.beside is not None:
        beside = daemon.settings.beside
        address = UpstreamAddress(beside.host, beside.port)
        guarded.start_repeatedly(dispatcher.owner.register.queries.register_known, address)
    guarded.start_repeatedly(_report_lease_proof, dispatcher)
    nursery.start_soon(run_named, _watch_signals, daemon)
    if daemon.keys is not None:
        guarded.start_repeatedly(watch_keys, daemon.keys)
    if extension.settings_file is not None and extension.load is not None:
        file, load = extension.settings_file, extension.load
        guarded.start_repeatedly(watch_settings, daemon, file, load)
    serve_all(daemon, nursery)
    if daemon.settings.metrics is not None:
        await serve_metrics(daemon, daemon.settings.metrics, nursery)
    # The objects created so far live as long as the process. Excluding them from garbage collection
    # saves later scans, and also a scan now, while callers wait for the process to start.
    gc.freeze()


def _describe_start(daemon: Daemon) -> str:
    tables = ("peers", "callers", "upstreams", "operators", "readiness")
    opened = {table: getattr(daemon.listeners, table) for table in tables} | daemon.listeners.extra
    ports = " ".join(f"{name}={find_port(listeners)}" for name, listeners in opened.items())
    return f"{ports} data_centre={daemon.settings.instance.data_centre}"


async def _report_lease_proof(dispatcher: Dispatcher) -> None:
    """Report to the claim holders until when their claim groups are proven to be the newest."""
    membership = dispatcher.membership
    await dispatcher.claims.has_holders.wait()
    while True:
        confirmed_at = membership.view.groups_confirmed_at
        if confirmed_at is not None:
            until = confirmed_at + membership.view.times.provable_lease
            await dispatcher.claims.inbox.send(LeaseProven(until))
        await trio.sleep(LEASE_POLL_INTERVAL)


async def _watch_signals(daemon: Daemon) -> None:
    # The receiver stays open until the process ends: without it a second signal would end the
    # process while requests are in progress.
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        if is_stop_requested():
            daemon.stopping.set()
        async for number in signals:
            if daemon.stopping.is_set():
                detail = signal.Signals(number).name
                daemon.recorder.record(EventKind.STOP_ASKED_AGAIN, detail=detail)
            daemon.stopping.set()


async def _stop(daemon: Daemon) -> None:
    """Stop as planned: drain, send callers elsewhere, leave claim groups, finish requests."""
    dispatcher = daemon.dispatcher
    times = find_stop_times(daemon.settings.stop, trio.current_time())
    daemon.recorder.record(EventKind.PROCESS_STOPPING)
    # A connection that was made at the end of the notice brings its first request a little later.
    last_start_at = times.notice_ends_at + FIRST_REQUEST_TIMEOUT
    dispatcher.entry.stop_limit.set_times(last_start_at, times.earliest_end)
    dispatcher.owner.begin_stop(times.earliest_end)
    # During this time callers are redirected to other nodes. The upstream stays in use: it keeps
    # running, and draining it now would take its capacity from its service for that time.
    await trio.sleep_until(times.notice_ends_at)
    dispatcher.owner.register.drain()
    daemon.callers_drain.set()
    with trio.move_on_at(times.claims_end_at):
        await dispatcher.claims.leave_groups()
    with trio.move_on_at(times.find_drain_end(trio.current_time())):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_end_starts, daemon)
            await _wait_for_calls(daemon)
            nursery.cancel_scope.cancel()
    # Cancelled requests are answered as not run or unknown, see H11Exchange.send_failure.
    daemon.callers_scope.cancel()
    await _close_auxiliary_servers(daemon)
    if dispatcher.control is not None:
        # Without the transfer the other voters have no leader for an election timeout.
        with trio.move_on_at(times.find_transfer_end(trio.current_time())):
            await dispatcher.control.voter.transfer_leadership()
    dispatcher.owner.register.withdraw_all()
    await trio.sleep(IDLE_POLL_INTERVAL)
    # Answers to callers of other nodes may still be queued on links.
    await dispatcher.hub.flush()


async def _close_auxiliary_servers(daemon: Daemon) -> None:
    """Wait until the auxiliary servers finish their requests; cancel the rest after a timeout."""
    daemon.auxiliary_drain.set()
    with trio.move_on_after(AUXILIARY_TIMEOUT):
        for closed in daemon.auxiliary_closed:
            await closed.wait()
    # A request that began after this point could not finish; its caller receives the answer that
    # it has not run.
    for scope in daemon.auxiliary_scopes:
        scope.cancel()


async def _end_starts(daemon: Daemon) -> None:
    """Make sure that no attempt starts so late that the stop would cut off its request."""
    entry = daemon.dispatcher.entry
    await trio.sleep_until(entry.stop_limit.last_start_at)
    entry.end_starts()


async def _wait_for_calls(daemon: Daemon) -> None:
    # Once no caller is connected, no request can arrive after the last check for work.
    if daemon.settings.callers is not None:
        await daemon.callers_closed.wait()
    while _has_work(daemon):
        await trio.sleep(IDLE_POLL_INTERVAL)


def _has_work(daemon: Daemon) -> bool:
    dispatcher = daemon.dispatcher
    has_requests = any(account.in_flight for account in daemon.accounts)
    has_calls = bool(dispatcher.entry.runs) or not dispatcher.owner.is_idle()
    # While no claim holder has confirmed an outcome, a resent request would be answered as unknown.
    return has_requests or has_calls or bool(dispatcher.claims.entry.pending_settlements)
