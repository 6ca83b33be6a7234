"""Show the requests during which upstreams end, and clear them of suspicion."""

from collections.abc import Iterator
from urllib.parse import quote

from expression import Result

from bendwind_cli.client import Client
from bendwind_cli.commands import Release
from bendwind_cli.outcome import Failure
from bendwind_cli.replies import ReleaseReply, SuspectsReply


def show(client: Client) -> Result[str, Failure]:
    """List the suspected requests that control knows.

    Errors: no answer.
    """
    return client.request_control("GET", "/v1/suspects", SuspectsReply).map(_render)


def _render(reply: SuspectsReply) -> str:
    return "\n".join(_list_lines(reply)) or "no upstream ended under a request lately"


def _list_lines(reply: SuspectsReply) -> Iterator[str]:
    for suspect in reply.suspects:
        state = "quarantined" if suspect.quarantined else "noted"
        age = f"{suspect.last_ms / 1000:.1f} s ago"
        ended = f"{suspect.ends} ended under it, the last one {age}: {' '.join(suspect.upstreams)}"
        yield f"{suspect.signature} {state} {suspect.service} {ended}"


def release(client: Client, command: Release) -> Result[str, Failure]:
    """Clear one request of suspicion.

    Errors: a request that is not suspected, or no answer.
    """
    path = f"/v1/suspects/{quote(command.signature, safe='')}/release"
    released = client.request_control("POST", path, ReleaseReply)
    return released.map(lambda reply: f"{reply.released}: released")
