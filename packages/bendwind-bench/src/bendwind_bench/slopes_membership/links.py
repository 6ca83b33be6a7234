"""Measure what a node costs a voter over a real link on loopback, and print it as JSON.

Run it with `python -m bendwind_bench.slopes_membership.links`; nodes share this process, the
voter has one of its own, of which alone the figures are.
"""

import dataclasses
import json
import random
import subprocess
import sys

import trio

from bendwind_bench.slopes_membership.link_voter import NAME, make_recorder
from bendwind_bench.slopes_membership.scene import TIMES
from bendwind_bench.slopes_membership.slope import MICROSECONDS, Point, fit
from bendwind_core.membership import VoterPlace
from bendwind_core.messages import Hello
from bendwind_core.world import Instance
from bendwind_node.links import create_link_hub
from bendwind_node.membership import MembershipTask, create_membership_task

COUNTS = (25, 100, 200, 400)
SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 8.0


class Reception:
    """Hand messages of a link to the node's membership."""

    def __init__(self):
        self.membership: MembershipTask | None = None

    def link_opened(self, link, hello) -> None:
        """Ignore it."""

    def link_closed(self, link) -> None:
        """Ignore it."""

    def dial_failed(self, peer, unsent) -> None:
        """Ignore it."""

    def receive(self, link, message) -> None:
        """Pass a message on."""
        self.membership.inbox.send_nowait((link.peer.name, message))


async def run_node(index: int, port: int) -> None:
    """Run the membership of one node over a link of its own."""
    own = Instance(f"node-{index:04d}", "a", "127.0.0.1", 0, 1)
    reception = Reception()
    recorder = make_recorder(own.name)
    hub = create_link_hub(own, reception, recorder, lambda epoch: Hello(own, epoch))
    hub.set_address(NAME, "127.0.0.1", port)
    rng = random.Random(index)
    places = (VoterPlace(NAME),)
    reception.membership = create_membership_task(
        own, places, TIMES, hub.send, recorder, rng, ("service-000",)
    )
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(hub.run, listeners)
        nursery.start_soon(reception.membership.run)


async def measure(count: int) -> tuple[float, float]:
    """Return the voter's resident bytes and its processor time a heartbeat in microseconds."""
    command = [sys.executable, "-m", "bendwind_bench.slopes_membership.link_voter"]
    pipe = subprocess.PIPE
    with subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) as voter:
        port = int(voter.stdout.readline())
        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(run_node, index, port)
            await trio.sleep(SETTLE_SECONDS)
            begin = await _ask(voter)
            await trio.sleep(MEASURE_SECONDS)
            end = await _ask(voter)
            nursery.cancel_scope.cancel()
    spent = end["processor_s"] - begin["processor_s"]
    return end["resident"], spent / (end["beats"] - begin["beats"]) * MICROSECONDS


async def _ask(voter: subprocess.Popen) -> dict:
    voter.stdin.write("\n")
    voter.stdin.flush()
    return json.loads(await trio.to_thread.run_sync(voter.stdout.readline))


async def main() -> None:
    """Measure every count and print JSON."""
    memory, beats = [], []
    for count in COUNTS:
        resident, spent = await measure(count)
        memory.append(Point(count, resident))
        beats.append(Point(count, spent))
    slopes = {
        "voter_link_memory": fit("resident bytes", "attached node", memory),
        "voter_link_heartbeat": fit("us each, links included", "attached node", beats),
    }
    json.dump({name: dataclasses.asdict(slope) for name, slope in slopes.items()}, sys.stdout)
    print()


if __name__ == "__main__":
    trio.run(main)
