"""Serve HTTP for callers, for the upstream on this instance and for operators."""

import os
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from bendwind_core.core import (
    MILLISECONDS_PER_SECOND,
    MIN_TIME_LIMIT_MS,
    Milliseconds,
    Seconds,
)
from bendwind_core.membership import ConfigurationApplied, ViewEffect
from bendwind_core.suspicion import SuspectTable
from bendwind_node.calls.announce_asgi import AnnounceApp
from bendwind_node.calls.call_intake import CallIntake
from bendwind_node.calls.call_task import CallTask
from bendwind_node.calls.caller_asgi import serve_callers_asgi
from bendwind_node.calls.caller_h11 import H11Server, Handle
from bendwind_node.calls.entry_node import EntryNode
from bendwind_node.calls.request_account import RequestAccount
from bendwind_node.daemon.build import read_wall_ms
from bendwind_node.daemon.readiness import ReadinessPage
from bendwind_node.daemon.state import Daemon
from bendwind_node.daemon.status import DaemonStatus
from bendwind_node.failure import run_named
from bendwind_node.http.asgi_server import AsgiServer, serve_asgi
from bendwind_node.metrics import Metrics
from bendwind_node.metrics.gather import (
    gather_calls,
    gather_logs,
    gather_node,
    gather_probes,
    gather_process,
    gather_quotas,
    gather_requests,
    gather_statistics,
    gather_timeline,
    gather_voter,
)
from bendwind_node.operators import (
    OperatorsApp,
    Response,
    create_certificate_authority,
    create_open_authority,
    create_token_authority,
)

KEEP_ALIVE: Seconds = 30.0
MAX_HEADER_BYTES = 16 * 1024
MAX_AUXILIARY_CONNECTIONS = 64


def serve_all(daemon: Daemon, nursery: trio.Nursery) -> None:
    """Start a server for each address in the settings."""
    settings = daemon.settings
    if settings.readiness is not None:
        page = ReadinessPage(daemon, settings.readiness.path)
        serve_auxiliary(daemon, "readiness", daemon.listeners.readiness, page.handle, nursery)
    if settings.upstreams is not None:
        serve_upstreams(daemon, nursery)
    if settings.operators is not None:
        serve_operators(daemon, nursery)
    if settings.callers is not None:
        serve_callers(daemon, nursery)


def create_account(daemon: Daemon, address: str) -> RequestAccount:
    """Create and register the request account of one address.

    The addresses for operators and upstreams have none.
    """
    account = RequestAccount(address, daemon.recorder, daemon.dispatcher.entry.dialect)
    daemon.accounts.append(account)
    return account


def serve_auxiliary(
    daemon: Daemon,
    address: str,
    listeners: list[trio.SocketListener],
    handle: Handle,
    nursery: trio.Nursery,
) -> None:
    """Start an auxiliary server, for few simple requests.

    It serves until the calls of a stopping process have ended.
    """
    server = H11Server(
        handle,
        KEEP_ALIVE,
        MAX_HEADER_BYTES,
        MAX_AUXILIARY_CONNECTIONS,
        recorder=daemon.recorder,
        account=create_account(daemon, address),
    )
    run = partial(server.run, listeners, daemon.auxiliary_drain)
    _start_auxiliary(daemon, run, nursery)


def _start_auxiliary(
    daemon: Daemon, run: Callable[[], Awaitable[None]], nursery: trio.Nursery
) -> None:
    closed, scope = trio.Event(), trio.CancelScope()
    daemon.auxiliary_closed.append(closed)
    daemon.auxiliary_scopes.append(scope)
    nursery.start_soon(_run_until_closed, run, closed, scope)


async def _run_until_closed(
    run: Callable[[], Awaitable[None]], closed: trio.Event, scope: trio.CancelScope
) -> None:
    with scope:
        await run_named(run)
    closed.set()


def serve_callers(daemon: Daemon, nursery: trio.Nursery) -> None:
    """Start to serve callers with the HTTP server that the settings select."""
    limits = daemon.settings.limits
    entry = daemon.dispatcher.entry
    intake = CallIntake(
        entry, limits.in_flight, limits.header_bytes, limits.body_bytes, daemon.body_budget
    )
    task = CallTask(entry, intake)
    match daemon.settings.callers.server:
        case "h11":
            server = H11Server(
                task.handle,
                limits.keep_alive_s,
                limits.header_bytes,
                limits.connections,
                recorder=daemon.recorder,
                account=create_account(daemon, "callers"),
                stopping=daemon.stopping,
            )
            listener = _create_limits_listener(server, entry)
            daemon.dispatcher.membership.listeners.append(listener)
            run = partial(server.run, daemon.listeners.callers, daemon.callers_drain)
        case "hypercorn":
            asgi_server = AsgiServer(
                _duplicate_socket(daemon.listeners.callers),
                limits.keep_alive_s,
                limits.header_bytes,
                daemon.callers_drain,
                recorder=daemon.recorder,
            )
            account = create_account(daemon, "callers")
            run = partial(serve_callers_asgi, task.handle, asgi_server, account)
    nursery.start_soon(_run_until_closed, run, daemon.callers_closed, daemon.callers_scope)


def _find_time_limit(stated_ms: Milliseconds | None, own: Seconds) -> Seconds:
    if stated_ms is None:
        return own
    # The control log may hold limits that an earlier release accepted and no caller can keep to.
    return max(stated_ms, MIN_TIME_LIMIT_MS) / MILLISECONDS_PER_SECOND


def _create_limits_listener(server: H11Server, entry: EntryNode) -> Callable[[ViewEffect], None]:
    """Return a listener that applies the caller limits of the configuration in force.

    Where it states none, the server's present ones apply, which come from the settings.
    """
    header_bytes = server.header_bytes
    header_timeout, keep_alive = server.header_timeout, server.keep_alive

    def apply(effect: ViewEffect) -> None:
        if not isinstance(effect, ConfigurationApplied):
            return
        stated = entry.membership.routing.limits
        server.header_bytes = header_bytes if stated.header_bytes is None else stated.header_bytes
        server.header_timeout = _find_time_limit(stated.header_timeout_ms, header_timeout)
        server.keep_alive = _find_time_limit(stated.idle_timeout_ms, keep_alive)

    return apply


def serve_upstreams(daemon: Daemon, nursery: trio.Nursery) -> None:
    """Start to receive the announcements of the upstream on this instance."""
    app = AnnounceApp(daemon.dispatcher.owner.register, daemon.settings.lease.lease_ms)
    asgi_server = AsgiServer(
        _duplicate_socket(daemon.listeners.upstreams),
        KEEP_ALIVE,
        MAX_HEADER_BYTES,
        daemon.auxiliary_drain,
        recorder=daemon.recorder,
    )
    _start_auxiliary(daemon, partial(serve_asgi, app, asgi_server), nursery)


def serve_operators(daemon: Daemon, nursery: trio.Nursery) -> None:
    """Start the operators' API."""
    dispatcher = daemon.dispatcher
    table = daemon.settings.operators
    if table.token_file is not None:
        authority = create_token_authority(table.token_file)
    elif table.client_authority is not None:
        authority = create_certificate_authority()
    else:
        authority = create_open_authority(table.host)
    source = DaemonStatus(
        dispatcher.hub.own, dispatcher.membership, dispatcher.owner, dispatcher.control
    )
    app = OperatorsApp(
        None if dispatcher.control is None else dispatcher.control.client,
        source,
        daemon.recorder,
        authority,
        read_wall_ms,
        daemon.stopping.set,
        _create_metrics_renderer(daemon),
        _find_suspects(daemon),
        None if dispatcher.control is None else dispatcher.control.quotas.quotas,
    )
    asgi_server = AsgiServer(
        _duplicate_socket(daemon.listeners.operators),
        KEEP_ALIVE,
        MAX_HEADER_BYTES,
        daemon.auxiliary_drain,
        tls=None if daemon.keys is None else daemon.keys.operators,
        recorder=daemon.recorder,
    )
    _start_auxiliary(daemon, partial(serve_asgi, app, asgi_server), nursery)


def _find_suspects(daemon: Daemon) -> SuspectTable:
    """Return the suspects that the voter knows; if this process has no voter, the node's own."""
    control = daemon.dispatcher.control
    if control is not None:
        return control.registry.registry.suspects
    return daemon.dispatcher.owner.register.suspects


def create_metrics(daemon: Daemon) -> Metrics:
    """Create the metrics of a process; their values are read at each scrape."""
    dispatcher = daemon.dispatcher

    def read():
        yield from gather_timeline(daemon.recorder)
        yield from gather_statistics(daemon.recorder.statistics)
        yield from gather_logs()
        yield from gather_calls(dispatcher.entry, dispatcher.owner)
        yield from gather_requests(daemon.accounts)
        yield from gather_probes(dispatcher.probes)
        yield from gather_node(dispatcher.hub, dispatcher.membership, dispatcher.claims)
        yield from gather_quotas(dispatcher.quotas)
        if dispatcher.control is not None:
            yield from gather_voter(dispatcher.control)
        yield from gather_process()

    return Metrics(read)


def _create_metrics_renderer(daemon: Daemon) -> Callable[[str], Response]:
    metrics = create_metrics(daemon)

    def render(accept: str) -> Response:
        rendered = metrics.render(accept)
        return Response(200, rendered.body, rendered.content_type)

    return render


def _duplicate_socket(listeners: list[trio.SocketListener]) -> int:
    # hypercorn takes a file descriptor and owns it from then on.
    return os.dup(listeners[0].socket.fileno())
