"""Show, drain and stop instances and upstreams."""

from collections.abc import Iterator
from urllib.parse import quote

import msgspec
from expression import Error, Ok, Result

from bendwind_cli.client import Client
from bendwind_cli.commands import Drain, ShowStatus
from bendwind_cli.outcome import ExitCode, Failure
from bendwind_cli.replies import DrainReply, NoticeReply, ReplacementReply, StatusReply, StopReply

_KINDS = ("instance", "upstream")


def status(client: Client, command: ShowStatus) -> Result[str, Failure]:
    """Show the state of every process that control knows.

    Errors: no answer.
    """
    found = fetch_status(client)
    if command.json:
        return found.map(lambda reply: msgspec.json.encode(reply).decode())
    return found.map(_render_status)


def drain(client: Client, command: Drain) -> Result[str, Failure]:
    """Set or remove the drain mark of an instance or upstream.

    Errors: a name that belongs to neither or to both, or no answer.
    """
    if command.kind and command.kind not in _KINDS:
        line = f"kind: expected instance or upstream, got {command.kind!r}"
        return Error(Failure(ExitCode.USAGE, line))
    kind = Ok(command.kind) if command.kind else _find_kind(client, command.name)
    method = "POST" if command.draining else "DELETE"
    name = quote(command.name, safe="")
    marked = kind.bind(
        lambda found: client.request_control(method, f"/v1/{found}s/{name}/drain", DrainReply)
    )
    return marked.map(_render_drain)


def stop(client: Client, name: str) -> Result[str, Failure]:
    """Order one process to stop after its pending requests are answered.

    Errors: an unknown address, or no answer.
    """
    address = _find_address(client, name)
    if address is None:
        line = f"{name}: address not known; add it to [instances] of the client settings"
        return Error(Failure(ExitCode.USAGE, line))
    reply = client.request_from(address, "POST", "/v1/stop", StopReply)
    return reply.bind(lambda found: _check_stopped(found, name))


def fetch_status(client: Client) -> Result[StatusReply, Failure]:
    """Fetch the status from the leader, or from any voter that answers if there is no leader.

    Errors: no answer.
    """
    last: Result[StatusReply, Failure] | None = None
    for address in client.addresses:
        reply = client.request_from(address, "GET", "/v1/status", StatusReply)
        if reply.is_ok() and reply.ok.leader == reply.ok.instance:
            return reply
        if last is None or last.is_error():
            last = reply
    assert last is not None
    return last


def find_addresses(client: Client) -> dict[str, str]:
    """Return a map from the name of each process to its operators' address, where known."""
    found: dict[str, str] = {}
    for address in client.addresses:
        reply = client.request_from(address, "GET", "/v1/status", StatusReply)
        if reply.is_error():
            continue
        found[reply.ok.instance] = address
        found |= {node.name: node.operators for node in reply.ok.nodes if node.operators}
    return found | client.settings.instances


def _find_address(client: Client, name: str) -> str | None:
    return client.settings.instances.get(name) or find_addresses(client).get(name)


def _check_stopped(reply: StopReply, name: str) -> Result[str, Failure]:
    if reply.instance != name:
        line = f"{name}: the process at its address is {reply.instance}, which now stops"
        return Error(Failure(ExitCode.REFUSED, line))
    return Ok(f"{name}: stopping once its calls are answered")


def _find_kind(client: Client, name: str) -> Result[str, Failure]:
    return fetch_status(client).bind(lambda reply: _resolve_kind(reply, name))


def _resolve_kind(reply: StatusReply, name: str) -> Result[str, Failure]:
    upstreams = {found.name for found in reply.upstreams} | set(reply.draining.upstreams)
    instances = {found.name for found in reply.nodes} | set(reply.draining.instances)
    instances |= {found.name for found in reply.voters}
    is_upstream, is_instance = name in upstreams, name in instances
    if is_upstream and is_instance:
        line = f"{name}: both an instance and an upstream; add --kind=instance or --kind=upstream"
        return Error(Failure(ExitCode.USAGE, line))
    if not is_upstream and not is_instance:
        line = f"{name}: no such instance or upstream; --kind marks one that is not there now"
        return Error(Failure(ExitCode.REFUSED, line))
    return Ok("upstream" if is_upstream else "instance")


def _render_drain(reply: DrainReply) -> str:
    state = "draining" if reply.draining else "not draining"
    return f"{reply.name}: {state}"


def _render_status(reply: StatusReply) -> str:
    return "\n".join(_list_status(reply))


def _list_status(reply: StatusReply) -> Iterator[str]:
    proof = "confirmed by a quorum" if reply.confirmed else _render_age(reply.confirmed_age_ms)
    yield f"version {reply.version}, {proof}; told by {reply.instance}"
    yield f"leader: {reply.leader or 'none'}"
    for voter in reply.voters:
        applied = f", applied {voter.applied}" if voter.applied else ""
        yield f"voter {voter.name}: {voter.role}{applied}"
    if reply.replacement is not None:
        yield _render_replacement(reply.replacement)
    for node in reply.nodes:
        mark = "  (not there yet)" if node.name in reply.not_there_yet else ""
        yield f"node {node.name} in {node.data_centre}: version {node.version}{mark}"
    for upstream in reply.upstreams:
        place = f"owner {upstream.owner}, slots {upstream.slots}"
        yield f"upstream {upstream.name} of {upstream.service}: {upstream.state}, {place}"
    for notice in reply.notices:
        yield f"upstream {notice.upstream} says: {_render_notice(notice)}"
    for name in reply.draining.instances:
        yield f"draining instance {name}"
    for name in reply.draining.upstreams:
        yield f"draining upstream {name}"
    for name in reply.evacuated:
        yield f"evacuated data centre {name}"
    absent = set(reply.not_there_yet) - {node.name for node in reply.nodes}
    if absent:
        yield f"not there yet: {', '.join(sorted(absent))}"


def _render_notice(reply: NoticeReply) -> str:
    limit = () if reply.limit_per_s is None else (f"at most {reply.limit_per_s:g} a second",)
    return ", ".join((*limit, *(("it leaves",) if reply.is_leaving else ())))


def _render_replacement(reply: ReplacementReply) -> str:
    since = "" if reply.for_ms is None else f" for {reply.for_ms:.0f} ms"
    awaited = f", waiting for {', '.join(reply.awaited)}" if reply.awaited else ""
    pair = f"{', '.join(reply.leaving)} by {', '.join(reply.joining)}"
    return f"replacing voter {pair}{since}{awaited}"


def _render_age(age_ms: float | None) -> str:
    return "never confirmed" if age_ms is None else f"last confirmed {age_ms:.0f} ms ago"
