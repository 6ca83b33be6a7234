"""Answer readiness checks, for the component that routes callers to this process."""

from bendwind_node.calls.caller_exchange import CallerExchange
from bendwind_node.daemon.state import Daemon

_READY = 200
_NOT_FOUND = 404
_NOT_READY = 503


def is_ready(daemon: Daemon) -> bool:
    """Return whether this process has a configuration and no request to stop."""
    return daemon.dispatcher.membership.view.version > 0 and not daemon.stopping.is_set()


class ReadinessPage:
    """Answer HTTP readiness checks."""

    __slots__ = ("daemon", "path")

    def __init__(self, daemon: Daemon, path: str):
        self.daemon = daemon
        self.path = path

    async def handle(self, exchange: CallerExchange) -> None:
        """Answer one request."""
        status = _NOT_FOUND
        if exchange.request.path == self.path:
            status = _READY if is_ready(self.daemon) else _NOT_READY
        await exchange.send_head(status, ((b"content-length", b"0"),))
        await exchange.send_part(b"", more=False)
