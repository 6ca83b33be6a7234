"""Ask an upstream, on its health path, who it is, whether it stays and how it fares."""

from expression import Result

from bendwind_node.calls import headers as names
from bendwind_node.calls.upstream_h11 import UpstreamAnswer, UpstreamPool
from bendwind_node.calls.upstream_request import UpstreamRequest

_OK = 200


async def is_well(pool: UpstreamPool, path: str, name: str, name_header: bytes) -> bool:
    """Return true if the upstream answers 200 under this name."""
    answer = await _ask(pool, path)
    if answer is None or answer.status != _OK:
        return False
    return names.find_header(answer.headers, name_header) == name.encode()


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
