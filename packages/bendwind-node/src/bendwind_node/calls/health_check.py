"""Ask an upstream whether it is well, not leaving, and the one that it was announced to be."""

from expression import Result

from bendwind_node.calls import headers as names
from bendwind_node.calls.upstream_h11 import UpstreamPool
from bendwind_node.calls.upstream_request import UpstreamRequest

_OK = 200


async def is_well(pool: UpstreamPool, path: str, name: str, name_header: bytes) -> bool:
    """Return true if the upstream answers 200 under this name."""
    host = ((names.HOST, f"{pool.host}:{pool.port}".encode()),)
    match await pool.start(UpstreamRequest(b"GET", path.encode(), host, b"")):
        case Result(tag="ok", ok=answer):
            while (await answer.next_part()).default_value(b""):
                continue
            await answer.aclose()
            found = names.find_header(answer.headers, name_header)
            return answer.status == _OK and found == name.encode()
    return False
