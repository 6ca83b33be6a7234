"""An upstream of another service takes the address of one that has ended; see claim.txt."""

import asyncio
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins.case import run_case
from stand_ins.fleet import HEARTBEAT_S, CannotRunError
from stand_ins.platform import (
    Client,
    Operator,
    Upstream,
    make_configuration,
    make_route,
    wait_served,
)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# `reuse_after_s` is 2: the address is free for another upstream after that.
REUSED_AFTER_S = 2.2
# "The node receives SIGTERM after its upstream has ended."
STOPPED_AFTER_S = 1.5
GRACE_S = 6.0
WATCHED_S = 12.0


async def replace_node(machine, service, record):
    """Stop the node, and start it for another service once it has ended, as the platform does."""
    record.write(f"the node of {machine.name} gets SIGTERM")
    machine.signal(signal.SIGTERM)
    machine.service = service
    machine.write_settings(bootstrap=False)
    try:
        await asyncio.wait_for(asyncio.to_thread(machine.process.wait), GRACE_S)
    except TimeoutError:
        machine.kill()
    record.write(f"the node of {machine.name} ended and starts for {service}")
    machine.start()


async def play(fleet, record):
    first, second, third, fourth = fleet.sidecars
    fleet.start_all()
    await fleet.wait_listening()
    configuration = make_configuration(
        7,
        ("lookup", "booking"),
        {
            "lookup.example": [make_route("r-lookup", "/lookup/", "lookup")],
            "booking.example": [
                make_route("r-booking", "/booking/", "booking", kind="non_idempotent")
            ],
        },
    )
    await Operator(fleet, record).put(configuration)
    ending = Upstream(first, "lookup", record)
    upstreams = [
        ending,
        Upstream(second, "lookup", record),
        Upstream(third, "booking", record),
        Upstream(fourth, "booking", record),
    ]
    for upstream in upstreams:
        await upstream.start()
    # The clients of the machine whose node is stopped send nothing here.
    clients = [Client(machine, record) for machine in (second, third, fourth)]
    for client in clients:
        await wait_served(client, "lookup.example", "/lookup/1", record)
        await wait_served(client, "booking.example", "/booking/1", record)
    senders = [
        asyncio.create_task(client.send_steadily("lookup.example", "/lookup/2", 0.1))
        for client in clients
    ]
    senders += [
        asyncio.create_task(
            client.send_steadily(
                "booking.example", "/booking/2", 0.2, method="POST", body=b"book"
            )
        )
        for client in clients
    ]
    await asyncio.sleep(5.0)
    if HAS_TROUBLE:
        await ending.stop()
        upstreams.remove(ending)
        await asyncio.sleep(STOPPED_AFTER_S)
        restart = asyncio.create_task(replace_node(first, "booking", record))
        await asyncio.sleep(REUSED_AFTER_S - STOPPED_AFTER_S)
        # Heartbeats come about every `heartbeat_ms`: the first one so long after the start.
        taking = Upstream(first, "booking", record, first_beat_s=HEARTBEAT_S)
        await taking.start()
        upstreams.append(taking)
        await restart
    await asyncio.sleep(WATCHED_S)
    for sender in senders:
        sender.cancel()
    await asyncio.sleep(1.5)
    sent = {id: place for client in clients for id, place in client.sent.items()}
    return judge(record, [*upstreams, ending] if HAS_TROUBLE else upstreams, sent)


def judge(record, upstreams, sent):
    """Return the requests that ran at a service to which no configuration lets them go."""
    allowed = {"lookup.example": "lookup", "booking.example": "booking"}
    total = 0
    broken = []
    for upstream in upstreams:
        wrong = [id for id in upstream.runs if allowed[sent[id][0]] != upstream.service]
        total += len(upstream.runs)
        record.say(
            f"{upstream.id} of {upstream.service}: {len(upstream.runs)} runs, "
            f"{len(wrong)} of requests for another service, "
            f"{upstream.beats_acknowledged} heartbeats acknowledged"
        )
        broken += [f"{upstream.service} ran {id}, sent to {''.join(sent[id])}" for id in wrong]
    if total < 100:
        raise CannotRunError(f"only {total} requests ran")
    return broken


if __name__ == "__main__":
    services = ("lookup", "lookup", "booking", "booking")
    sys.exit(run_case(HERE, "ROUTE", play, cores=5, sidecars=services))
