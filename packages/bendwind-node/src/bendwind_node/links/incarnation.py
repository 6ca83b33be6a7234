"""Choose the number of a process's run so that it is above those of its earlier runs.

The wall clock alone does not do: it may have been stepped back since the earlier run began, and
the voters, which hold the number of that run, would take the new run for an outdated one.
"""

import ssl
from collections.abc import Iterable

import trio
from expression import Result
from websockets.exceptions import ConnectionClosed, InvalidHandshake
from websockets.trio.client import connect

from bendwind_core.core import Seconds
from bendwind_core.messages import (
    Frame,
    IncarnationQuery,
    IncarnationReply,
    decode_frame,
    encode_frame,
)
from bendwind_node.links.hub import Address
from bendwind_node.streams import open_direct_stream

# Voters answer within a few milliseconds; one that is down or cut off must not hold up the start.
QUESTION_TIMEOUT: Seconds = 0.3

_FAILURES = (OSError, ConnectionClosed, InvalidHandshake, trio.BrokenResourceError)


async def query_incarnation(
    name: str, voters: Iterable[Address], secure: ssl.SSLContext | None = None
) -> int:
    """Return the highest incarnation that the first voter to answer knows of a name, 0 if none."""
    known: list[int] = []
    with trio.move_on_after(QUESTION_TIMEOUT):
        async with trio.open_nursery() as nursery:

            async def ask(address: Address) -> None:
                answer = await _ask_one(name, address, secure)
                if answer is not None:
                    known.append(answer)
                    nursery.cancel_scope.cancel()

            for address in voters:
                nursery.start_soon(ask, address)
    return max(known, default=0)


async def _ask_one(name: str, address: Address, secure: ssl.SSLContext | None) -> int | None:
    scheme = "ws" if secure is None else "wss"
    try:
        stream = await open_direct_stream(address.host, address.port)
        async with connect(
            f"{scheme}://{address.host}:{address.port}/",
            stream=stream,
            ssl=secure,
            compression=None,
            proxy=None,
        ) as socket:
            await socket.send(encode_frame(Frame(0, 0, (IncarnationQuery(name),))))
            match decode_frame(await socket.recv()):
                case Result(tag="ok", ok=Frame(messages=(IncarnationReply(incarnation=known),))):
                    return known
    except _FAILURES:
        # Not an error: at the first start nobody listens yet, and the clock then has to do.
        return None
    return None
