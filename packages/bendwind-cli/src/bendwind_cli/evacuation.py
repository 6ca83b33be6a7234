"""Evacuate and readmit data centres."""

from collections.abc import Iterator
from urllib.parse import quote

from expression import Result

from bendwind_cli.client import Client
from bendwind_cli.commands import Evacuate
from bendwind_cli.outcome import Failure
from bendwind_cli.replies import EvacuationReply


def mark(client: Client, command: Evacuate) -> Result[str, Failure]:
    """Stop sending new requests to a data centre's upstreams, or readmit the data centre.

    Errors: an unknown data centre, or no answer.
    """
    method = "POST" if command.evacuated else "DELETE"
    path = f"/v1/data-centres/{quote(command.data_centre, safe='')}/evacuation"
    return client.request_control(method, path, EvacuationReply).map(_render)


def _render(reply: EvacuationReply) -> str:
    return "\n".join(_list_lines(reply))


def _list_lines(reply: EvacuationReply) -> Iterator[str]:
    state = "evacuated" if reply.evacuated else "readmitted"
    since = f"as of version {reply.version}" if reply.is_new else "nothing changed"
    yield f"{reply.data_centre}: {state}, {since}"
    for warning in reply.warnings:
        yield f"warning: {warning.service}: {warning.kind}: {warning.detail}"
