"""Measure the cost of a node for a voter over a real link on loopback, and print it as JSON.

Run it with `python -m bendwind_bench.slopes_membership.links`. The nodes share this process; the
voter runs in a separate process, and the figures are those of the voter's process alone.
"""

import dataclasses
import json
import random
import subprocess
import sys

import trio

from bendwind_bench.slopes_membership.fixture import LEASE_TIMES
from bendwind_bench.slopes_membership.link_voter import NAME, make_recorder
from bendwind_bench.slopes_membership.slope import MICROSECONDS, Point, fit
from bendwind_core.membership import VoterPlace
from bendwind_core.messages import Hello
from bendwind_core.world import Instance
from bendwind_node.links import create_link_hub
from bendwind_node.membership import MembershipTask, create_membership_task

COUNTS = (25, 100, 200, 400)
SETTLE_SECONDS = 4.0
MEASURE_SECONDS = 8.0


class MembershipReceiver:
    """Pass messages from a link to the membership task of a node."""

    def __init__(self):
        self.membership: MembershipTask | None = None

    def link_opened(self, link, hello) -> None:
        """Ignore the event."""

    def link_closed(self, link) -> None:
        """Ignore the event."""

    def dial_failed(self, peer, unsent) -> None:
        """Ignore the event."""

    def receive(self, link, message) -> None:
        """Pass a message to the membership task."""
        self.membership.inbox.send_nowait((link.peer.name, message))


async def run_node(index: int, port: int) -> None:
    """Run the membership task of one node over its own link."""
    instance = Instance(f"node-{index:04d}", "a", "127.0.0.1", 0, 1)
    receiver = MembershipReceiver()
    recorder = make_recorder(instance.name)
    hub = create_link_hub(instance, receiver, recorder, lambda epoch: Hello(instance, epoch))
    hub.set_address(NAME, "127.0.0.1", port)
    rng = random.Random(index)
    places = (VoterPlace(NAME),)
    receiver.membership = create_membership_task(
        instance, places, LEASE_TIMES, hub.send, recorder, rng, ("service-000",)
    )
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(hub.run, listeners)
        nursery.start_soon(receiver.membership.run)


async def measure_voter(count: int) -> tuple[float, float]:
    """Return the voter's resident bytes and its processor time per heartbeat in microseconds."""
    command = [sys.executable, "-m", "bendwind_bench.slopes_membership.link_voter"]
    pipe = subprocess.PIPE
    with subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) as voter:
        port = int(voter.stdout.readline())
        async with trio.open_nursery() as nursery:
            for index in range(count):
                nursery.start_soon(run_node, index, port)
            await trio.sleep(SETTLE_SECONDS)
            usage_before = await _query_usage(voter)
            await trio.sleep(MEASURE_SECONDS)
            usage_after = await _query_usage(voter)
            nursery.cancel_scope.cancel()
    processor_s = usage_after["processor_s"] - usage_before["processor_s"]
    return (
        usage_after["resident"],
        processor_s / (usage_after["beats"] - usage_before["beats"]) * MICROSECONDS,
    )


async def _query_usage(voter: subprocess.Popen) -> dict:
    voter.stdin.write("\n")
    voter.stdin.flush()
    return json.loads(await trio.to_thread.run_sync(voter.stdout.readline))


async def main() -> None:
    """Measure the voter with each number of nodes and print JSON."""
    memory, heartbeats = [], []
    for count in COUNTS:
        resident, processor_s = await measure_voter(count)
        memory.append(Point(count, resident))
        heartbeats.append(Point(count, processor_s))
    slopes = {
        "voter_link_memory": fit("resident bytes", "attached node", memory),
        "voter_link_heartbeat": fit("us each, links included", "attached node", heartbeats),
    }
    json.dump({name: dataclasses.asdict(slope) for name, slope in slopes.items()}, sys.stdout)
    print()


if __name__ == "__main__":
    trio.run(main)
