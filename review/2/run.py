"""A configuration names a health path with a letter beyond ASCII; see claim.txt."""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins.case import run_case
from stand_ins.fleet import CannotRunError
from stand_ins.http import call
from stand_ins.platform import (
    Client,
    Operator,
    Upstream,
    make_configuration,
    make_route,
    wait_served,
)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PLAIN_PATH = "/salud/agil"
TROUBLE_PATH = "/salud/ágil"
# "A process that ends or is killed is started again after a short delay."
RESTART_DELAY_S = 0.5
BEFORE_S = 6.0
DOWN_S = 1.0
RECOVER_S = 15.0
WATCHED_S = 12.0
SERVED_SHARE = 0.25
PROBE_S = 1.0
MISSES = 2


class Readiness:
    """Ask each node once a second, and tell which machines' clients get work, as the platform does.

    A machine is out after two misses until its node answers 200. While fewer than half of a zone's
    nodes are in, the clients of all its machines get work.
    """

    def __init__(self, machines):
        self.machines = machines
        self.misses = dict.fromkeys((machine.name for machine in machines), 0)

    async def probe(self, machine):
        while True:
            answer = await call(
                machine.address("readiness"), "GET", "/bendwind/readyz", timeout=PROBE_S
            )
            is_ready = answer is not None and answer.status == 200
            self.misses[machine.name] = 0 if is_ready else self.misses[machine.name] + 1
            await asyncio.sleep(PROBE_S)

    def gets_work(self, machine):
        zone = [one for one in self.machines if one.zone == machine.zone]
        within = [one for one in zone if self.misses[one.name] < MISSES]
        return machine in within or 2 * len(within) < len(zone)


async def send_work(client, readiness):
    """Send requests of both services ten times a second while the machine's clients get work."""
    tasks = set()
    while True:
        if readiness.gets_work(client.machine):
            for task in (
                client.send("lookup.example", "/lookup/2"),
                client.send("booking.example", "/booking/2", method="POST", body=b"book"),
            ):
                started = asyncio.create_task(task)
                tasks.add(started)
                started.add_done_callback(tasks.discard)
        await asyncio.sleep(0.1)


async def restart_ended(machine, record, ends):
    """Start a process again each time it ended by itself, and count its ends."""
    while True:
        code = machine.process.poll()
        if code is not None:
            ends[machine.name] = ends.get(machine.name, 0) + 1
            record.write(f"the process of {machine.name} ended by itself with {code}")
            await asyncio.sleep(RESTART_DELAY_S)
            machine.start()
        await asyncio.sleep(0.05)


async def kill_all(fleet, record):
    """Kill every process at the same moment, and start all of them again."""
    for machine in fleet.machines:
        machine.signal(signal.SIGKILL)
    record.write("the final fault: every process is killed")
    for machine in fleet.machines:
        machine.process.wait()
    await asyncio.sleep(DOWN_S)
    for machine in fleet.machines:
        machine.start()
    record.write("all machines return")


def find_served_share(clients, since, until):
    """Return the share of requests sent in a time that were served, and their number."""
    answers = [
        client.answers[id]
        for client in clients
        for id, at in client.sent_at.items()
        if since <= at < until and id in client.answers
    ]
    if len(answers) < 20:
        raise CannotRunError(f"only {len(answers)} requests were sent")
    return answers.count(200) / len(answers), len(answers)


async def play(fleet, record):
    fleet.start_all()
    await fleet.wait_listening()
    hosts = {
        "lookup.example": [make_route("r-lookup", "/lookup/", "lookup")],
        "booking.example": [make_route("r-booking", "/booking/", "booking", kind="non_idempotent")],
    }
    services = ("lookup", "booking")
    operator = Operator(fleet, record)
    if not await operator.put(make_configuration(7, services, hosts, health_path=PLAIN_PATH)):
        raise CannotRunError("the first configuration is refused")
    # The upstreams serve both health paths all the time, in UTF-8 or percent-encoded.
    upstreams = [
        Upstream(machine, machine.service, record, health_paths=(PLAIN_PATH, TROUBLE_PATH))
        for machine in fleet.sidecars
    ]
    for upstream in upstreams:
        await upstream.start()
    clients = [Client(machine, record) for machine in fleet.sidecars]
    for client in clients:
        await wait_served(client, "lookup.example", "/lookup/1", record)
        await wait_served(client, "booking.example", "/booking/1", record)
    readiness = Readiness(fleet.sidecars)
    tasks = [asyncio.create_task(readiness.probe(machine)) for machine in fleet.sidecars]
    tasks += [asyncio.create_task(send_work(client, readiness)) for client in clients]
    since = record.now()
    await asyncio.sleep(BEFORE_S)
    ended = [machine.name for machine in fleet.machines if machine.process.poll() is not None]
    if ended:
        raise CannotRunError(f"processes ended before the change: {ended}")
    before = find_served_share(clients, since, record.now() - 1.5)
    health_path = TROUBLE_PATH if HAS_TROUBLE else PLAIN_PATH
    is_taken = await operator.put(make_configuration(9, services, hosts, health_path=health_path))
    record.say(f"the change was {'acknowledged' if is_taken else 'refused as invalid'}")
    await kill_all(fleet, record)
    returned_at = record.now()
    ends = {}
    tasks += [
        asyncio.create_task(restart_ended(machine, record, ends)) for machine in fleet.machines
    ]
    await asyncio.sleep(RECOVER_S + WATCHED_S)
    after = find_served_share(clients, returned_at + RECOVER_S, record.now() - 2.5)
    for task in tasks:
        task.cancel()
    record.say(f"processes that ended by themselves: {ends or 'none'}")
    record.say(f"served before the final fault: {before[0]:.3f} of {before[1]} requests")
    record.say(f"served later than recover_s after it: {after[0]:.3f} of {after[1]} requests")
    if before[0] < SERVED_SHARE:
        raise CannotRunError("too little was served before the final fault")
    if after[0] >= SERVED_SHARE:
        return []
    return [f"{after[0]:.3f} of {after[1]} requests were served, {before[0]:.3f} before"]


if __name__ == "__main__":
    services = ("lookup", "lookup", "booking", "booking")
    sys.exit(run_case(HERE, "RECOVER", play, cores=5, sidecars=services))
