"""Run one end of links between two processes: `serve` or `dial PORT LINKS MESSAGES_PER_S`.

The server prints its port. The dialer prints a line once all links are open.
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
_POLL_INTERVAL_S = 0.02
_MAX_CONCURRENT_DIALS = 16


class HeartbeatResponder:
    """Answer heartbeats and count open links."""

    def __init__(self):
        self.open_links = 0

    def link_opened(self, link: Link, hello: Hello) -> None:
        """Increment the number of open links."""
        self.open_links += 1

    def link_closed(self, link: Link) -> None:
        """Decrement the number of open links."""
        self.open_links -= 1

    def dial_failed(self, peer: str, unsent: tuple) -> None:
        """Raise an error, since a measurement with missing links would be wrong."""
        raise AssertionError(f"{peer} could not be reached")

    def receive(self, link: Link, message) -> None:
        """Answer a heartbeat."""
        if isinstance(message, Heartbeat):
            link.send(HeartbeatReply(message.sequence, message.version, 130.0, True))


def _make_hub(name: str, receiver: HeartbeatResponder) -> LinkHub:
    instance = Instance(name, "a", HOST, 0, 1)
    recorder = Recorder(name, lambda: time.time_ns() // 1_000_000, 10)
    return create_link_hub(instance, receiver, recorder, lambda epoch: Hello(instance, epoch))


async def serve() -> None:
    """Accept links until the process is killed."""
    listeners = await trio.open_tcp_listeners(0, host=HOST, backlog=1024)
    print(listeners[0].socket.getsockname()[1], flush=True)
    await _make_hub(SERVER, HeartbeatResponder()).run(listeners)


async def dial(port: int, links: int, rate: float) -> None:
    """Open one link from each of several hubs and send heartbeats over the first link."""
    receiver = HeartbeatResponder()
    async with trio.open_nursery() as nursery:
        hubs = [_make_hub(f"dialer-{number}", receiver) for number in range(links)]
        for number, hub in enumerate(hubs):
            hub.nursery = nursery
            hub.set_address(SERVER, HOST, port)
            hub.send(SERVER, Heartbeat(hub.own, 1, 1))
            while number + 1 - receiver.open_links > _MAX_CONCURRENT_DIALS:
                await trio.sleep(_POLL_INTERVAL_S)
        while receiver.open_links < links:
            await trio.sleep(_POLL_INTERVAL_S)
        print("open", flush=True)
        if rate:
            await _send_heartbeats(hubs[0], rate)
        await trio.sleep_forever()


async def _send_heartbeats(hub: LinkHub, rate: float) -> None:
    started = trio.current_time()
    sequence = 0
    while True:
        sequence += 1
        hub.send(SERVER, Heartbeat(hub.own, sequence, 120_000, 3, 2, 2**63))
        await trio.sleep_until(started + sequence / rate)


def main(arguments: list[str]) -> None:
    """Run the end of the links that the arguments name."""
    match arguments:
        case ["serve"]:
            trio.run(serve)
        case ["dial", port, links, rate]:
            trio.run(dial, int(port), int(links), float(rate))


if __name__ == "__main__":
    main(sys.argv[1:])
