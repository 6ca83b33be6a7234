"""Serve a process's metrics on a separate address."""

import trio

from bendwind_core.timeline import EventKind
from bendwind_node.calls import headers as names
from bendwind_node.calls.caller_exchange import CallerExchange
from bendwind_node.daemon.serve import create_metrics, serve_auxiliary
from bendwind_node.daemon.state import Daemon
from bendwind_node.metrics import Metrics
from bendwind_node.settings.tables import MetricsTable

_OK = 200
_NOT_FOUND = 404
_ACCEPT = b"accept"


class MetricsPage:
    """Answer HTTP requests for the metrics."""

    __slots__ = ("metrics", "path")

    def __init__(self, metrics: Metrics, path: str):
        self.metrics = metrics
        self.path = path

    async def handle(self, exchange: CallerExchange) -> None:
        """Answer one request."""
        if exchange.request.path != self.path:
            await exchange.send_head(_NOT_FOUND, ((b"content-length", b"0"),))
            await exchange.send_part(b"", more=False)
            return
        accept = names.find_header(exchange.request.headers, _ACCEPT) or b""
        rendered = self.metrics.render(accept.decode("latin-1"))
        length = str(len(rendered.body)).encode()
        head = ((b"content-type", rendered.content_type.encode()), (b"content-length", length))
        await exchange.send_head(_OK, head)
        await exchange.send_part(rendered.body, more=False)


async def serve_metrics(daemon: Daemon, table: MetricsTable, nursery: trio.Nursery) -> None:
    """Start to serve metrics.

    If their port cannot be opened the process continues, since calls are more important.
    """
    try:
        listeners = await trio.open_tcp_listeners(table.port, host=table.host)
    except OSError as error:
        detail = f"{table.host}:{table.port}: {error.strerror or error}"
        daemon.recorder.record(EventKind.METRICS_NOT_SERVED, detail=detail)
        return
    daemon.listeners.extra["metrics"] = listeners
    page = MetricsPage(create_metrics(daemon), table.path)
    serve_auxiliary(daemon, "metrics", listeners, page.handle, nursery)
