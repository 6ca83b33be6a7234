"""Fake what surrounds a node that holds a request: the caller's bytes, voters and upstream."""

import re

import trio
from expression import Ok

from bendwind_core.claims import Granted
from bendwind_core.quotas import Grant
from bendwind_core.world import Repeat, Routing, SplitPart, create_route
from bendwind_node.calls.call_delivery import GONE_WATCH_DELAY
from bendwind_node.calls.tests.fakes import MIB
from bendwind_node.calls.tests.outcome_matrix import RequestState
from bendwind_node.calls.tests.scripted_server import OK, read_request

BODY = b"body"
# Longer than the windows and small buffers between an upstream and a caller that stops reading.
LONG_ANSWER = 4 * MIB
# After this time the connection of the caller of a running request is watched.
WATCH_DELAY_S = 2 * GONE_WATCH_DELAY
CONTENT_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


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
    """Fake the claim holders and the voters of quotas: grant everything once opened."""

    def __init__(self, *, is_open):
        self.is_reached = False
        self.opened = trio.Event()
        if is_open:
            self.opened.set()

    async def wait_open(self):
        self.is_reached = True
        await self.opened.wait()

    async def claim(self, *asked):
        await self.wait_open()
        return Granted()

    async def acquire_token(self, customer, target_at, deadline_at):
        await self.wait_open()
        return Ok(Grant("v0", 1, 1))

    def is_limited(self, customer):
        return True

    def return_token(self, grant):
        pass

    def release(self, *claim):
        pass

    def report_outcome(self, *claim):
        pass


class Upstream:
    """Run requests as the state requires: held back, or the first one with a long answer."""

    def __init__(self, state):
        self.state = state
        self.begun = 0
        self.may_answer = trio.Event()

    async def serve(self, stream, number):
        while head := await read_request(stream):
            if head.startswith(b"DELETE"):
                await stream.send_all(OK)
                continue
            self.begun += 1
            await self._read_body(stream, head)
            if self.state is RequestState.ANSWERING and self.begun == 1:
                await trio.sleep(WATCH_DELAY_S)
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % LONG_ANSWER
                )
                await stream.send_all(b"z" * LONG_ANSWER)
                continue
            await self.may_answer.wait()
            await stream.send_all(OK)

    async def _read_body(self, stream, head):
        left = int(CONTENT_LENGTH.search(head)[1]) - len(head.partition(b"\r\n\r\n")[2])
        while left > 0:
            left -= len(await stream.receive_some(left))
