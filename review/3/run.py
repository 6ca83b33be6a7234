"""A node forgets that an upstream has left when it is killed and started again; see claim.txt."""

import asyncio
import os
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
DRAIN_S = 2.0
CONTACT_S = 3.0
KILLED_AFTER_S = 0.3
RESTARTED_AFTER_S = 0.5
# The last two heartbeats before the departure arrive so long after it, 4 s and 2.6 s late.
LATE_ARRIVAL_S = 2.4
SERVES_ON_S = 12.0


async def deliver_late(upstream, beats):
    """Deliver heartbeats that were held up on their way, each as soon as the node takes it."""
    for beat in beats:
        for _ in range(20):
            answer = await upstream.send_beat(beat)
            if answer is not None:
                break
            await asyncio.sleep(0.2)
        else:
            raise CannotRunError("the node takes no heartbeat")
        await asyncio.sleep(0.1)


async def play(fleet, record):
    machine = fleet.sidecars[2]
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
    if not await Operator(fleet, record).put(configuration):
        raise CannotRunError("the configuration is refused")
    upstreams = [Upstream(one, one.service, record) for one in fleet.sidecars]
    for upstream in upstreams:
        await upstream.start()
    # The clients of the machine that is killed send nothing here. Two of these are in its zone.
    clients = [Client(fleet.sidecars[number], record) for number in (0, 1, 5, 8)]
    for client in clients:
        await wait_served(client, "lookup.example", "/lookup/1", record)
        await wait_served(client, "booking.example", "/booking/1", record)
    senders = [
        asyncio.create_task(
            client.send_steadily("booking.example", "/booking/2", 0.05, method="POST", body=b"book")
        )
        for client in clients
    ]
    await asyncio.sleep(4.0)
    leaving = upstreams[2]
    held = []
    if HAS_TROUBLE:
        leaving.beats.cancel()
        held.append(leaving.make_beat())
        record.write(f"heartbeat {held[-1]['seq']} of {leaving.id} goes out and is held up")
        await asyncio.sleep(HEARTBEAT_S)
        held.append(leaving.make_beat())
        record.write(f"heartbeat {held[-1]['seq']} of {leaving.id} goes out and is held up")
        await asyncio.sleep(0.1)
    answer = await leaving.leave()
    if answer is None or answer.status != 200:
        raise CannotRunError("the departure is not acknowledged")
    left_at = record.now()
    in_touch_from = left_at
    if HAS_TROUBLE:
        await asyncio.sleep(KILLED_AFTER_S)
        machine.kill()
        record.write(f"the node of {machine.name} is killed")
        await asyncio.sleep(RESTARTED_AFTER_S)
        machine.start()
        record.write(f"the node of {machine.name} is started")
        in_touch_from = record.now() + CONTACT_S
        await asyncio.sleep(left_at + LATE_ARRIVAL_S - record.now())
        await deliver_late(leaving, held)
    await asyncio.sleep(left_at + SERVES_ON_S - record.now())
    for sender in senders:
        sender.cancel()
    await leaving.stop()
    late_from = max(left_at + DRAIN_S, in_touch_from)
    late = [at for at in leaving.run_times if at > late_from]
    record.say(
        f"{leaving.id} left at {left_at:.3f}; from {late_from:.3f} on, which is later than "
        f"drain_ms and in touch, it ran {len(late)} requests of {len(leaving.runs)}"
    )
    others = sum(len(upstream.runs) for upstream in upstreams if upstream is not leaving)
    if len(leaving.runs) < 20 or others < 100:
        raise CannotRunError("too few requests ran")
    return [f"a request reached {leaving.id} {at - left_at:.3f} s after its leave" for at in late]


if __name__ == "__main__":
    # In the zone of the machine that is killed no other upstream serves `booking`, so that the
    # clients there prefer that one.
    services = ("lookup", "lookup", "booking", "booking", "booking", *["lookup"] * 5)
    sys.exit(run_case(HERE, "DRAIN", play, cores=5, sidecars=services))
