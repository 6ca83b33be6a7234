"""Run the registry of a voter over real links and report the resources of the process.

It prints its port. Then it prints a JSON line with its usage for each of two lines that it reads
from standard input; the second one stops it.
"""

import json
import random
import resource
import sys
import time
from pathlib import Path

import trio

from bendwind_bench.slopes_membership.fixture import LEASE_TIMES, make_service
from bendwind_core.membership import DrainMarksAccepted, Heartbeat, VoterPlace
from bendwind_core.messages import Hello
from bendwind_core.timeline import Recorder
from bendwind_core.world import Configuration, Instance
from bendwind_node.control.registry import RegistryTask, create_registry_task
from bendwind_node.links import create_link_hub

NAME = "voter"


class UnchangingControlLog:
    """Simulate a control log that always has a quorum and never changes."""

    def __init__(self):
        self.configuration = Configuration(7, (make_service("service-000"),))
        self.claim_groups = {}
        self.drain_marks = DrainMarksAccepted(frozenset(), frozenset())
        self.voter_places = (VoterPlace(NAME),)

    async def confirm(self) -> bool:
        """Confirm the quorum immediately."""
        return True


class RegistryReceiver:
    """Pass messages from links to the registry and count heartbeats."""

    def __init__(self):
        self.registry: RegistryTask | None = None
        self.heartbeat_count = 0

    def link_opened(self, link, hello) -> None:
        """Ignore the event."""

    def link_closed(self, link) -> None:
        """Ignore the event."""

    def dial_failed(self, peer, unsent) -> None:
        """Ignore the event."""

    def receive(self, link, message) -> None:
        """Pass a message to the registry."""
        self.heartbeat_count += isinstance(message, Heartbeat)
        self.registry.inbox.send_nowait((link.peer.name, message))


def make_recorder(name: str) -> Recorder:
    """Make a recorder that keeps 100 events."""
    return Recorder(name, lambda: time.time_ns() // 1_000_000, 100)


def read_resident_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


def _print_usage(receiver: RegistryReceiver) -> None:
    used = resource.getrusage(resource.RUSAGE_SELF)
    result = {
        "processor_s": used.ru_utime + used.ru_stime,
        "resident": read_resident_bytes(),
        "beats": receiver.heartbeat_count,
    }
    print(json.dumps(result), flush=True)


async def serve() -> None:
    """Serve links until two lines have been read from standard input."""
    instance = Instance(NAME, "a", "127.0.0.1", 0, 1)
    receiver = RegistryReceiver()
    recorder = make_recorder(NAME)
    hub = create_link_hub(instance, receiver, recorder, lambda epoch: Hello(instance, epoch))
    rng = random.Random(1)
    receiver.registry = create_registry_task(
        NAME, UnchangingControlLog(), LEASE_TIMES, hub.send, recorder, rng
    )
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=1024)
        print(listeners[0].socket.getsockname()[1], flush=True)
        nursery.start_soon(hub.run, listeners)
        nursery.start_soon(receiver.registry.run)
        for _ in range(2):
            await trio.to_thread.run_sync(sys.stdin.readline, abandon_on_cancel=True)
            _print_usage(receiver)
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(serve)
