"""Query the voters for a process's last incarnation, so that its new one is higher.

The wall clock alone is not enough to number the runs of a process. It may have been set back since
the earlier run began; the voters, which store the number of that run, would then treat the new run
as outdated. A voter that has just started, or is no voter any more, does not know the earlier run.
"""

import ssl
from collections.abc import Iterable

import trio
from expression import Result
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from bendwind_core.core import Seconds
from bendwind_core.messages import (
    Frame,
    IncarnationQuery,
    IncarnationReply,
    decode_frame,
    encode_frame,
)
from bendwind_node.links.dialing import PeerConnect
from bendwind_node.links.hub import Address
from bendwind_node.streams import open_direct_stream

# Voters answer within a few milliseconds. A voter that is down or unreachable must not delay the
# start.
QUERY_TIMEOUT: Seconds = 0.3

_FAILURES = (OSError, ConnectionClosed, InvalidHandshake, trio.BrokenResourceError)


async def query_incarnation(
    name: str, voters: Iterable[Address], ssl_context: ssl.SSLContext | None = None
) -> int:
    """Return the highest incarnation of a name that the voters know, 0 if they know none.

    The answers of a majority are enough; without one, those that come in time.
    """
    addresses = tuple(voters)
    majority = len(addresses) // 2 + 1
    incarnations: list[int] = []
    with trio.move_on_after(QUERY_TIMEOUT):
        async with trio.open_nursery() as nursery:

            async def query(address: Address) -> None:
                incarnation = await _query_voter(name, address, ssl_context)
                if incarnation is not None:
                    incarnations.append(incarnation)
                if len(incarnations) >= majority:
                    nursery.cancel_scope.cancel()

            for address in addresses:
                nursery.start_soon(query, address)
    return max(incarnations, default=0)


async def _query_voter(
    name: str, address: Address, ssl_context: ssl.SSLContext | None
) -> int | None:
    scheme = "ws" if ssl_context is None else "wss"
    try:
        stream = await open_direct_stream(address.host, address.port)
        async with PeerConnect(
            f"{scheme}://{address.host}:{address.port}/",
            stream=stream,
            ssl=ssl_context,
            compression=None,
            proxy=None,
        ) as socket:
            await socket.send(encode_frame(Frame(0, 0, (IncarnationQuery(name),))))
            match decode_frame(await socket.recv()):
                case Result(tag="ok", ok=Frame(messages=(IncarnationReply(incarnation=found),))):
                    return found
    except _FAILURES:
        # Not an error: at the first start no voter listens yet, and the clock alone is used.
        return None
    return None
