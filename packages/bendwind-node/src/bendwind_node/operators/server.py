"""Serve the operators' API over HTTP."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from bendwind_core.core import Seconds
from bendwind_node.operators.app import OperatorsApp

# Time that requests in flight get to end when the process stops.
GRACEFUL_TIMEOUT_S: Seconds = 5.0


@dataclass(frozen=True, slots=True)
class OperatorsTls:
    """Name the PEM files of the server; `client_authority` demands client certificates."""

    certificate: str
    key: str
    client_authority: str | None = None


async def serve_operators(
    app: OperatorsApp,
    host: str,
    port: int,
    *,
    tls: OperatorsTls | None = None,
    shutdown_trigger: Callable[[], Awaitable[None]] | None = None,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until the trigger returns; report the URLs listened on, which settle port 0."""
    # Both are heavy, and a process that only checks its settings needs neither.
    import hypercorn.config
    import hypercorn.trio

    config = hypercorn.config.Config()
    config.bind = [f"{host}:{port}"]
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    if tls is not None:
        _add_tls(config, tls)
    await hypercorn.trio.serve(
        app, config, shutdown_trigger=shutdown_trigger, task_status=task_status, mode="asgi"
    )


def _add_tls(config, tls: OperatorsTls) -> None:
    import ssl

    config.certfile = tls.certificate
    config.keyfile = tls.key
    if tls.client_authority is not None:
        config.ca_certs = tls.client_authority
        config.verify_mode = ssl.VerifyMode.CERT_REQUIRED
