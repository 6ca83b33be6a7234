"""Ask an upstream, on its health path, who it is, whether it stays and how it fares."""

import msgspec
from expression import Result

from bendwind_node.calls import headers as names
from bendwind_node.calls.dialect import Dialect, read_slots, read_slow_factor
from bendwind_node.calls.upstream_h11 import UpstreamAnswer, UpstreamPool
from bendwind_node.calls.upstream_request import UpstreamRequest

_OK = 200


class HealthAnswer(msgspec.Struct, frozen=True):
    """Hold what an upstream says on its health path; None is what it does not tell.

    `slow_factor` is how much longer than usual work takes there.
    """

    name: str
    is_well: bool
    slots: int | None = None
    slow_factor: float | None = None


async def ask_health(pool: UpstreamPool, path: str, dialect: Dialect) -> HealthAnswer | None:
    """Return what the upstream says of itself, None without an answer that names it."""
    if not path or dialect.answering_upstream is None:
        return None
    answer = await _ask(pool, path)
    name = None if answer is None else names.find_header(answer.headers, dialect.answering_upstream)
    if not name:
        return None
    load = None if dialect.load is None else names.find_header(answer.headers, dialect.load)
    return HealthAnswer(
        name.decode("latin-1"), answer.status == _OK, read_slots(load), read_slow_factor(load)
    )


async def ask_load(pool: UpstreamPool, path: str, load_header: bytes) -> bytes | None:
    """Return what the upstream says of its load, None without an answer that tells."""
    answer = await _ask(pool, path)
    return None if answer is None else names.find_header(answer.headers, load_header)


async def _ask(pool: UpstreamPool, path: str) -> UpstreamAnswer | None:
    host = ((names.HOST, f"{pool.host}:{pool.port}".encode()),)
    match await pool.start(UpstreamRequest(b"GET", path.encode(), host, b"")):
        case Result(tag="ok", ok=answer):
            while (await answer.next_part()).default_value(b""):
                continue
            await answer.aclose()
            return answer
    return None
