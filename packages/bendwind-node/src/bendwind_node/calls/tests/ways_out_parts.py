"""Stand in for what surrounds a node that holds a request: its caller's words and its upstream."""

import re

import trio
from expression import Ok

from bendwind_core.claims import Granted
from bendwind_core.quotas import Grant
from bendwind_core.world import Repeat, Routing, SplitPart, create_route
from bendwind_node.calls.call_delivery import GONE_WATCH_DELAY
from bendwind_node.calls.tests.fakes import MIB
from bendwind_node.calls.tests.scripted_server import OK, read_request
from bendwind_node.calls.tests.ways_out import Held

BODY = b"body"
# Longer than what windows and small buffers hold between an upstream and a caller that rests.
LONG_ANSWER = 4 * MIB
# From then on the caller of a request that is under way is watched.
WATCHED_AFTER_S = 2 * GONE_WATCH_DELAY
STATED = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


def make_request(*, has_key=False):
    """Return the head of a request that must not be repeated."""
    names = "host: shop.example\r\nbendwind-key: k1\r\n"
    if has_key:
        names += "idempotency-key: i1\r\n"
    return f"POST /a/1 HTTP/1.1\r\n{names}content-length: {len(BODY)}\r\n\r\n".encode()


def make_routing(revision, host="shop.example", prefix="/a/", name="r-1"):
    route = create_route(
        name,
        host,
        prefix,
        (SplitPart("svc"),),
        repeat=Repeat.NEVER,
        timeout_ms=20_000,
        target_latency_ms=None,
        attempts=3,
        priority=1,
    )
    return Routing(revision, (route,))


class Gate:
    """Stand for the claim holders and the voters of quotas: grant once it is open."""

    def __init__(self, *, is_open):
        self.is_asked = False
        self.opened = trio.Event()
        if is_open:
            self.opened.set()

    async def pass_through(self):
        self.is_asked = True
        await self.opened.wait()

    async def claim(self, *asked):
        await self.pass_through()
        return Granted()

    async def take(self, customer, target_at, deadline_at):
        await self.pass_through()
        return Ok(Grant("v0", 1, 1))

    def is_limited(self, customer):
        return True

    def give_back(self, grant):
        pass

    def release(self, *claim):
        pass

    def record(self, *claim):
        pass


class Upstream:
    """Run requests as the state wants it: held, or the first one with a long answer."""

    def __init__(self, held):
        self.held = held
        self.begun = 0
        self.let_go = trio.Event()

    async def serve(self, stream, number):
        while head := await read_request(stream):
            if head.startswith(b"DELETE"):
                await stream.send_all(OK)
                continue
            self.begun += 1
            await self._read_body(stream, head)
            if self.held is Held.ANSWERING and self.begun == 1:
                await trio.sleep(WATCHED_AFTER_S)
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % LONG_ANSWER
                )
                await stream.send_all(b"z" * LONG_ANSWER)
                continue
            await self.let_go.wait()
            await stream.send_all(OK)

    async def _read_body(self, stream, head):
        left = int(STATED.search(head)[1]) - len(head.partition(b"\r\n\r\n")[2])
        while left > 0:
            left -= len(await stream.receive_some(left))
