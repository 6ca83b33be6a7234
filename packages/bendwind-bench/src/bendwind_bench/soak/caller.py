"""Send requests on connections that are kept until their process is gone."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from bendwind_bench.http import HttpBrokenError, HttpPool, create_pool
from bendwind_bench.load import (
    Outcome,
    RequestKind,
    Sample,
    Send,
    classify,
    create_sample,
    list_headers,
)
from bendwind_bench.upstream import make_body
from bendwind_core.core import MILLISECONDS_PER_SECOND, Seconds

TIMEOUT_S = 20.0
MEAN_PAUSE_S = 0.2
CONNECT_PAUSE_S = 0.1
MAX_SENDS = 3
NO_ANSWER = "no answer in time"
CONNECTION_ENDED = "connection ended"


@dataclass(slots=True)
class StickyCaller:
    """Send one request at a time, to one node as long as it takes connections.

    `record` receives each sample and the time at which its send ended, both counted from `start`.
    """

    name: str
    entries: list[str]
    kinds: list[RequestKind]
    rng: random.Random
    start: Seconds
    record: Callable[[Sample, Seconds], None]
    entry: int = 0
    pools: dict[str, HttpPool] = field(default_factory=dict)
    sent: int = 0

    async def run(self, until: Seconds) -> None:
        """Send requests until this time."""
        while trio.current_time() < until:
            await self._send_request(f"{self.name}-{self.sent}")
            self.sent += 1
            await trio.sleep(self.rng.expovariate(1.0 / MEAN_PAUSE_S))
        for pool in self.pools.values():
            pool.close()

    async def _send_request(self, request: str) -> None:
        number = self.rng.randrange(len(self.kinds))
        kind = self.kinds[number]
        size = self.rng.randint(*kind.answer_bytes)
        is_chunked = self.rng.random() < kind.chunked
        for index in range(MAX_SENDS):
            at_s = trio.current_time() - self.start
            address = self.entries[self.entry]
            send = Send(at_s, request, index, number, address, size, is_chunked)
            outcome = await self._send(send, kind)
            if outcome is Outcome.WHOLE or not (kind.keyed or outcome is Outcome.NOT_RUN):
                return
            await trio.sleep(self.rng.expovariate(1.0 / MEAN_PAUSE_S))

    async def _send(self, send: Send, kind: RequestKind) -> Outcome:
        body = make_body(send.request, kind.request_bytes)
        outcome, reason, status = Outcome.UNKNOWN, NO_ANSWER, 0
        with trio.move_on_after(TIMEOUT_S):
            try:
                answer = await self._find_pool(send.address).request(
                    kind.method, kind.path, list_headers(send, kind), body
                )
                status = answer.status
                outcome, reason = classify(send, body, answer)
            except HttpBrokenError as error:
                reason = f"{CONNECTION_ENDED}: {error}"
            except OSError:
                outcome, reason = Outcome.NOT_RUN, "no connection"
                self.entry = (self.entry + 1) % len(self.entries)
                await trio.sleep(CONNECT_PAUSE_S)
        self._record(send, kind, outcome, status, reason)
        return outcome

    def _find_pool(self, address: str) -> HttpPool:
        if address not in self.pools:
            self.pools[address] = create_pool(address, max_idle_s=math.inf)
        return self.pools[address]

    def _record(self, send: Send, kind: RequestKind, outcome: Outcome, status: int, reason: str):
        ended_s = trio.current_time() - self.start
        latency_ms = (ended_s - send.at_s) * MILLISECONDS_PER_SECOND
        sample = create_sample(send, kind, latency_ms, outcome, status, reason)
        self.record(sample, ended_s)
