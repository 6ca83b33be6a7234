"""Accept the connections that wait at a listening socket before it closes."""

import select

import trio

# Closing the listening socket resets the connections in its backlog. It holds fewer than this many;
# new ones may come as fast as they are accepted.
MAX_LAST_ACCEPTS = 8192


async def wait_until_accepted(sockets: list[trio.socket.SocketType]) -> None:
    """Wait until no connection waits at listening sockets; each look lets one be accepted."""
    for _ in range(MAX_LAST_ACCEPTS):
        await trio.lowlevel.checkpoint()
        if not any(map(_has_waiting, sockets)):
            return


def _has_waiting(socket: trio.socket.SocketType) -> bool:
    poll = select.poll()
    poll.register(socket.fileno(), select.POLLIN)
    return bool(poll.poll(0))
