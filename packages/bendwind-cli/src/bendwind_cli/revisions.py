"""Put whole configurations into force and show the newest one."""

from pathlib import Path
from urllib.parse import urlencode

from expression import Error, Result

from bendwind_cli.client import Client
from bendwind_cli.outcome import ExitCode, Failure
from bendwind_cli.replies import RevisionReply


def put(client: Client, file: str) -> Result[str, Failure]:
    """Put the configuration in a file into force, unless its revision or a higher one is in force.

    Errors: an invalid file, or no answer.
    """
    try:
        body = Path(file).read_bytes()
    except OSError as error:
        reason = f"{file}: expected a readable file: {error.strerror or error}"
        return Error(Failure(ExitCode.BAD_TOML, reason))
    path = f"/v1/revision?{urlencode({'file': file})}"
    return client.request_control("PUT", path, RevisionReply, body).map(_render)


def _render(reply: RevisionReply) -> str:
    if reply.is_new:
        return f"revision {reply.revision} is in force as version {reply.version}"
    return f"nothing changed: revision {reply.revision} holds, as version {reply.version}"


def show(client: Client) -> Result[str, Failure]:
    """Show the newest configuration as it was put.

    Errors: no answer.
    """
    return client.request_text("GET", "/v1/revision")
