"""Run one end of links between two processes: `serve`, or `dial PORT LINKS MESSAGES_PER_S`.

The server prints its port; the dialer prints a line when every link is open.
"""

import sys
import time

import trio

from bendwind_core.membership import Heartbeat, HeartbeatReply
from bendwind_core.messages import Hello
from bendwind_core.timeline import Recorder
from bendwind_core.world import Instance
from bendwind_node.links import Link, LinkHub, create_link_hub

HOST = "127.0.0.1"
SERVER = "server"
_POLL_S = 0.02
_DIALS_AT_ONCE = 16


class Echo:
    """Answer heartbeats, and count links."""

    def __init__(self):
        self.open = 0

    def link_opened(self, link: Link, hello: Hello) -> None:
        """Count it."""
        self.open += 1

    def link_closed(self, link: Link) -> None:
        """Count it."""
        self.open -= 1

    def dial_failed(self, peer: str, unsent: tuple) -> None:
        """End: a measurement with missing links would be wrong."""
        raise AssertionError(f"{peer} was not reached")

    def receive(self, link: Link, message) -> None:
        """Answer a heartbeat."""
        if isinstance(message, Heartbeat):
            link.send(HeartbeatReply(message.sequence, message.version, 130.0, True))


def _make_hub(name: str, receiver: Echo) -> LinkHub:
    own = Instance(name, "a", HOST, 0, 1)
    recorder = Recorder(name, lambda: time.time_ns() // 1_000_000, 10)
    return create_link_hub(own, receiver, recorder, lambda epoch: Hello(own, epoch))


async def serve() -> None:
    """Accept links until the process is ended."""
    listeners = await trio.open_tcp_listeners(0, host=HOST, backlog=1024)
    print(listeners[0].socket.getsockname()[1], flush=True)
    await _make_hub(SERVER, Echo()).run(listeners)


async def dial(port: int, links: int, rate: float) -> None:
    """Open links one from each of as many hubs and send heartbeats over the first."""
    receiver = Echo()
    async with trio.open_nursery() as nursery:
        hubs = [_make_hub(f"dialer-{number}", receiver) for number in range(links)]
        for number, hub in enumerate(hubs):
            hub.nursery = nursery
            hub.set_address(SERVER, HOST, port)
            hub.send(SERVER, Heartbeat(hub.own, 1, 1))
            while number + 1 - receiver.open > _DIALS_AT_ONCE:
                await trio.sleep(_POLL_S)
        while receiver.open < links:
            await trio.sleep(_POLL_S)
        print("open", flush=True)
        if rate:
            await _send_beats(hubs[0], rate)
        await trio.sleep_forever()


async def _send_beats(hub: LinkHub, rate: float) -> None:
    started = trio.current_time()
    sequence = 0
    while True:
        sequence += 1
        hub.send(SERVER, Heartbeat(hub.own, sequence, 120_000, 3, 2, 2**63))
        await trio.sleep_until(started + sequence / rate)


def main(arguments: list[str]) -> None:
    """Run the end that the arguments name."""
    match arguments:
        case ["serve"]:
            trio.run(serve)
        case ["dial", port, links, rate]:
            trio.run(dial, int(port), int(links), float(rate))


if __name__ == "__main__":
    main(sys.argv[1:])
