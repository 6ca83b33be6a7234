"""Query the health path of an upstream for its name, health, load and notices."""

import msgspec
from expression import Result

from bendwind_core.core import Milliseconds
from bendwind_core.world import encode_target
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
    """Hold an answer on the health path; None, or an empty name, stands for an absent value.

    `slow_factor` is the time that work takes there, divided by its usual time.
    `notice` is the notice that any answer may carry.
    Units: `warm_up_left_ms` is the remaining warm-up time, None if the answer does not show it.
    """

    name: str
    is_healthy: bool
    slots: int | None = None
    slow_factor: float | None = None
    warm_up_left_ms: Milliseconds | None = None
    notice: UpstreamNotice = UpstreamNotice()


def shows_serving(answer: HealthAnswer | None, name: str) -> bool:
    """Return whether an answer is the word of the named upstream that it serves and stays."""
    if answer is None or answer.name != name:
        return False
    return answer.is_healthy and not answer.notice.is_leaving


async def query_health(pool: UpstreamPool, path: str, dialect: Dialect) -> HealthAnswer | None:
    """Return the answer on an upstream's health path, None if there is no path or no answer."""
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
        _find_warm_up_left(answer, name, dialect),
        read_notice(answer.headers, dialect),
    )


def _find_warm_up_left(
    answer: UpstreamAnswer, name: bytes | None, dialect: Dialect
) -> Milliseconds | None:
    """Return the remaining warm-up time that an answer shows; only a named upstream's word counts.

    An upstream may leave the time out once it is warm. A refusal need not come from the part of it
    that knows the time, so one without a time shows nothing.
    """
    if dialect.warm_up is None or not name:
        return None
    stated = [value for header, value in answer.headers if header == dialect.warm_up]
    if not stated:
        return 0.0 if answer.status == _OK else None
    return read_warm_up_ms(stated[0]) if len(stated) == 1 else None


async def _send_query(pool: UpstreamPool, path: str) -> UpstreamAnswer | None:
    host = ((names.HOST, f"{pool.host}:{pool.port}".encode()),)
    match await pool.start(UpstreamRequest(b"GET", encode_target(path), host, b"")):
        case Result(tag="ok", ok=answer):
            try:
                await answer.discard_body()
            finally:
                await answer.aclose()
            return answer
    return None
