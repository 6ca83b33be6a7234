"""Ask an upstream, on its health path, who it is, whether it stays and how it fares."""

import msgspec
from expression import Result

from bendwind_core.core import Milliseconds
from bendwind_node.calls import headers as names
from bendwind_node.calls.dialect import (
    Dialect,
    read_slots,
    read_slow_factor,
    read_warm_up_ms,
)
from bendwind_node.calls.upstream_h11 import UpstreamAnswer, UpstreamPool
from bendwind_node.calls.upstream_notice import UpstreamNotice, read_notice
from bendwind_node.calls.upstream_request import UpstreamRequest

_OK = 200


class HealthAnswer(msgspec.Struct, frozen=True):
    """Hold what an upstream says on its health path; None, or no name, is what it does not tell.

    `slow_factor` is how much longer than usual work takes there.
    `notice` is what it says of itself as in any answer.
    Units: `warm_up_left_ms` is how much longer it stays cold, None where upstreams never tell.
    """

    name: str
    is_healthy: bool
    slots: int | None = None
    slow_factor: float | None = None
    warm_up_left_ms: Milliseconds | None = None
    notice: UpstreamNotice = UpstreamNotice()


async def query_health(pool: UpstreamPool, path: str, dialect: Dialect) -> HealthAnswer | None:
    """Return what the upstream says of itself, None without an answer."""
    answer = await _send_query(pool, path) if path else None
    if answer is None:
        return None
    name = None
    if dialect.answering_upstream is not None:
        name = names.find_header(answer.headers, dialect.answering_upstream)
    load = None if dialect.load is None else names.find_header(answer.headers, dialect.load)
    return HealthAnswer(
        (name or b"").decode("latin-1"),
        answer.status == _OK,
        read_slots(load),
        read_slow_factor(load),
        _find_warm_up_left(answer, dialect),
        read_notice(answer.headers, dialect),
    )


def _find_warm_up_left(answer: UpstreamAnswer, dialect: Dialect) -> Milliseconds | None:
    if dialect.warm_up is None:
        return None
    return read_warm_up_ms(names.find_header(answer.headers, dialect.warm_up))


async def _send_query(pool: UpstreamPool, path: str) -> UpstreamAnswer | None:
    host = ((names.HOST, f"{pool.host}:{pool.port}".encode()),)
    match await pool.start(UpstreamRequest(b"GET", path.encode(), host, b"")):
        case Result(tag="ok", ok=answer):
            while (await answer.next_part()).default_value(b""):
                continue
            await answer.aclose()
            return answer
    return None
